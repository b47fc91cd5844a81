import type {EntryState} from './peer-message.js';

/** Time without news after which another entry is left out of the list for callers, in ms; five lost heartbeats. */
const silenceMs = 2500;
/**
 * The same for entries that are heard of through summaries, in ms: a summary may be late by a heartbeat, and the change of a
 * collector takes as long as its silence is noticed.
 */
const collectedSilenceMs = 4000;

/** State of another entry as last heard. */
type PeerState = EntryState & {sequence: number; receivedAt: number};

/** What became of a piece of news. */
export const reportEffects = {
	/** Older than what is known. */
	stale: 'stale',
	/** Heard of before, in the same process and state. */
	known: 'known',
	/** New, back after silence, or ready or not where it was the opposite. */
	changed: 'changed',
	/** Another process of the same entry. */
	restarted: 'restarted',
} as const;
export type ReportEffect = (typeof reportEffects)[keyof typeof reportEffects];

/** What is known of the other entries: those that the store lists, and those that were heard of. */
export class PeerStates {
	readonly #states = new Map<string, PeerState>();
	#registeredAt = new Map<string, number>();
	#collectedIds: ReadonlySet<string> = new Set();

	/** `getNow` reads the steady clock in ms. */
	constructor(private readonly getNow: () => number) {}

	/** Applies the ids that the store lists; returns those that are gone. */
	applyRegistered(ids: readonly string[]): string[] {
		const now = this.getNow();
		this.#registeredAt = new Map(ids.map(id => [id, this.#registeredAt.get(id) ?? now]));
		const gone = [...this.#states.keys()].filter(id => !this.#registeredAt.has(id));
		for (const id of gone) {
			this.#states.delete(id);
		}

		return gone;
	}

	/** Sets the entries that are heard of through summaries. */
	setCollected(ids: ReadonlySet<string>): void {
		this.#collectedIds = ids;
	}

	/** Records news of an entry itself. */
	record(state: EntryState, sequence: number): ReportEffect {
		const known = this.#states.get(state.entryId);
		const isRestarted = known !== undefined && known.bootId !== state.bootId;
		return known !== undefined && !isRestarted && sequence <= known.sequence ? reportEffects.stale : this.#setState(state, sequence, this.getNow());
	}

	/** Records what a summary says of an entry. */
	recordCollected(state: EntryState, ageMs: number): ReportEffect {
		const receivedAt = this.getNow() - ageMs;
		const known = this.#states.get(state.entryId);
		return known !== undefined && receivedAt <= known.receivedAt ? reportEffects.stale : this.#setState(state, known?.sequence ?? 0, receivedAt);
	}

	/** True while another entry runs and is not stopping: heard of lately, or too new to have been heard of. */
	isRunning(id: string): boolean {
		const now = this.getNow();
		const limitMs = this.#collectedIds.has(id) ? collectedSilenceMs : silenceMs;
		const state = this.#states.get(id);
		if (state === undefined) {
			return now - (this.#registeredAt.get(id) ?? Number.NEGATIVE_INFINITY) <= limitMs;
		}

		return !state.isStopping && now - state.receivedAt <= limitMs;
	}

	/** True while another entry runs and is ready for callers. */
	isServing(id: string): boolean {
		return this.isRunning(id) && (this.#states.get(id)?.isReady ?? true);
	}

	/** Caller addresses of the entries that were heard of lately and are ready, whether or not the store lists them. */
	listServingAddresses(): string[] {
		return [...this.#states].filter(([id]) => this.isServing(id)).flatMap(([, {callerAddress}]) => callerAddress ?? []);
	}

	/** Entries that were heard of, of those with the given ids, with the time since then in ms. */
	listReported(ids: readonly string[]): Array<EntryState & {ageMs: number}> {
		const now = this.getNow();
		return ids.map(id => this.#states.get(id)).filter(state => state !== undefined).map(({receivedAt, sequence, ...state}) => ({...state, ageMs: Math.round(now - receivedAt)}));
	}

	/** Time since an entry was last heard of, or since it was registered, in ms. */
	computeSilenceMs(id: string): number {
		const receivedAt = this.#states.get(id)?.receivedAt ?? this.#registeredAt.get(id);
		return receivedAt === undefined ? 0 : this.getNow() - receivedAt;
	}

	#setState(state: EntryState, sequence: number, receivedAt: number): ReportEffect {
		const known = this.#states.get(state.entryId);
		const effect = this.#decideEffect(known, state, receivedAt);
		const {entryId, bootId, isReady, isStopping, callerAddress, version} = state;
		this.#states.set(entryId, {
			entryId, bootId, isReady, isStopping, callerAddress, version, sequence: effect === reportEffects.restarted ? sequence : Math.max(sequence, known?.sequence ?? 0), receivedAt,
		});
		return effect;
	}

	#decideEffect(known: PeerState | undefined, state: EntryState, receivedAt: number): ReportEffect {
		if (known === undefined) {
			return reportEffects.changed;
		}

		if (known.bootId !== state.bootId) {
			return reportEffects.restarted;
		}

		return known.isReady !== state.isReady || receivedAt - known.receivedAt > silenceMs ? reportEffects.changed : reportEffects.known;
	}
}
