import type {EntryState} from './peer-message.js';

/** Time without a message after which a peer is omitted from the list for callers, in ms: five lost heartbeats. */
const silenceMs = 2500;
/**
 * The same limit for peers whose state arrives in summaries, in ms. It is longer because a summary may be late by a heartbeat,
 * and because a new collector takes over only once the silence of the previous one is noticed.
 */
const collectedSilenceMs = 4000;

/** Last known state of a peer; `receivedAt` is when this entry, or the collector that summarized the state, received it. */
type PeerState = EntryState & {sequence: number; receivedAt: number};

/** Effect of a received state on the known one. */
export const reportEffects = {
	/** Older than the known state; ignored. */
	stale: 'stale',
	/** Same process and readiness as before. */
	known: 'known',
	/** First state of an entry, first one after a silence, or a change of readiness. */
	changed: 'changed',
	/** From another process of the same entry. */
	restarted: 'restarted',
} as const;
/** Value of `reportEffects`. */
export type EntryReportEffect = (typeof reportEffects)[keyof typeof reportEffects];

/** States of the peers: those that the store lists, and those that have sent messages. */
export class PeerStates {
	readonly #states = new Map<string, PeerState>();
	#registeredAt = new Map<string, number>();
	#collectedIds: ReadonlySet<string> = new Set();

	/** `getNow` returns a monotonic time in ms. */
	constructor(private readonly getNow: () => number) {}

	/** Applies the ids that the store lists; returns the ids whose states were removed. */
	applyRegistered(ids: readonly string[]): string[] {
		const now = this.getNow();
		this.#registeredAt = new Map(ids.map(id => [id, this.#registeredAt.get(id) ?? now]));
		const gone = [...this.#states.keys()].filter(id => !this.#registeredAt.has(id));
		for (const id of gone) {
			this.#states.delete(id);
		}

		return gone;
	}

	/** Sets the ids of the peers whose states arrive in summaries. */
	setCollected(ids: ReadonlySet<string>): void {
		this.#collectedIds = ids;
	}

	/** Records a state that the entry itself sent. */
	record(state: EntryState, sequence: number): EntryReportEffect {
		const known = this.#states.get(state.entryId);
		const isRestarted = known !== undefined && known.bootId !== state.bootId;
		return known !== undefined && !isRestarted && sequence <= known.sequence ? reportEffects.stale : this.#setState(state, sequence, this.getNow());
	}

	/** Records the state of an entry from a summary; `ageMs` is its age at the collector. */
	recordCollected(state: EntryState, ageMs: number): EntryReportEffect {
		const receivedAt = this.getNow() - ageMs;
		const known = this.#states.get(state.entryId);
		return known !== undefined && receivedAt <= known.receivedAt ? reportEffects.stale : this.#setState(state, known?.sequence ?? 0, receivedAt);
	}

	/** True while a peer runs and is not stopping: it sent a message recently, or registered too recently to have sent one. */
	isRunning(id: string): boolean {
		const now = this.getNow();
		const limitMs = this.#collectedIds.has(id) ? collectedSilenceMs : silenceMs;
		const state = this.#states.get(id);
		if (state === undefined) {
			return now - (this.#registeredAt.get(id) ?? Number.NEGATIVE_INFINITY) <= limitMs;
		}

		return !state.isStopping && now - state.receivedAt <= limitMs;
	}

	/** True while a peer runs and is ready for callers. */
	isServing(id: string): boolean {
		return this.isRunning(id) && (this.#states.get(id)?.isReady ?? true);
	}

	/** True while a peer serves callers and reaches backend servers by its own connections. */
	isReachingServers(id: string): boolean {
		return this.isServing(id) && !(this.#states.get(id)?.isCutOff ?? false);
	}

	/** Caller addresses of the peers that sent a message recently and are ready, whether or not the store lists them. */
	listServingAddresses(): string[] {
		return [...this.#states].filter(([id]) => this.isServing(id)).flatMap(([, {callerAddress}]) => callerAddress ?? []);
	}

	/** Known states of the entries with the given ids; `ageMs` is the time since each was received. */
	listReported(ids: readonly string[]): Array<EntryState & {ageMs: number}> {
		const now = this.getNow();
		return ids.map(id => this.#states.get(id)).filter(state => state !== undefined).map(({receivedAt, sequence, ...state}) => ({...state, ageMs: Math.round(now - receivedAt)}));
	}

	/** Time since the last message from a peer, or since its registration when there was none, in ms; 0 for an unknown id. */
	computeSilenceMs(id: string): number {
		const receivedAt = this.#states.get(id)?.receivedAt ?? this.#registeredAt.get(id);
		return receivedAt === undefined ? 0 : this.getNow() - receivedAt;
	}

	#setState(state: EntryState, sequence: number, receivedAt: number): EntryReportEffect {
		const known = this.#states.get(state.entryId);
		const effect = this.#decideEffect(known, state, receivedAt);
		const {entryId, bootId, isReady, isStopping, isCutOff, callerAddress, version} = state;
		this.#states.set(entryId, {
			entryId, bootId, isReady, isStopping, isCutOff, callerAddress, version, sequence: effect === reportEffects.restarted ? sequence : Math.max(sequence, known?.sequence ?? 0), receivedAt,
		});
		return effect;
	}

	#decideEffect(known: PeerState | undefined, state: EntryState, receivedAt: number): EntryReportEffect {
		if (known === undefined) {
			return reportEffects.changed;
		}

		if (known.bootId !== state.bootId) {
			return reportEffects.restarted;
		}

		return known.isReady !== state.isReady || receivedAt - known.receivedAt > silenceMs ? reportEffects.changed : reportEffects.known;
	}
}
