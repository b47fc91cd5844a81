import type {TimerService} from '@knapweedrack/entry/contracts';
import {waitFor} from '@knapweedrack/entry/timer-service';
import type {ObjectStore} from '@knapweedrack/platform-client';
import type {RegisteredEntry, StoreCodec} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {PeerReportTask} from '../peers/peer-report-task.js';
import type {StoreStateTask} from './store-state-task.js';

/** Pause before a failed registration is tried again. */
const retryMs = 500;
/** Period in which the records of ended entries are looked for. */
const cleanUpPeriodMs = 10_000;
/** Silence after which the record of an entry that ended without removing it is removed; far beyond any restart. */
const abandonedMs = 60_000;

/** What the task needs. */
export type RegistrationOptions = {
	self: RegisteredEntry;
	bootId: string;
	store: ObjectStore;
	codec: StoreCodec;
	timer: TimerService;
	log: DecisionLog;
	storeState: StoreStateTask;
	peers: PeerReportTask;
};

/** Keeps the record of this entry in the store, and removes those of entries that ended without doing so. */
export class RegistrationTask {
	readonly #options: RegistrationOptions;
	#isStopped = false;
	#isRegistering = false;
	#unsubscribe: (() => void) | undefined;

	constructor(options: RegistrationOptions) {
		this.#options = options;
	}

	/** Starts to register; resolves at once, since an entry can serve before it is registered. */
	async start(): Promise<void> {
		void this.#runRegistration();
		this.#unsubscribe = this.#options.timer.subscribe(cleanUpPeriodMs, () => {
			void this.#removeAbandoned();
		});
	}

	/** Registers again when the record was removed or belongs to a predecessor. */
	handleEntries(): void {
		if (!this.#isStopped && !this.#isRegistering && this.#unsubscribe !== undefined) {
			void this.#runRegistration();
		}
	}

	/** Removes the own record. */
	async stop(): Promise<void> {
		const {self, store, codec, log} = this.#options;
		this.#isStopped = true;
		this.#unsubscribe?.();
		const result = await store.delete(codec.entryPrefix + self.id);
		if (!result.ok) {
			log.write('registration.not_removed', {failure: result.error.kind});
		}
	}

	async #runRegistration(): Promise<void> {
		this.#isRegistering = true;
		await this.#writeRecord();
		this.#isRegistering = false;
	}

	async #writeRecord(): Promise<void> {
		const {self, store, codec, timer, log, storeState} = this.#options;
		while (!this.#isStopped && !isSameEntry(storeState.entries.get(self.id), self)) {
			const result = await store.put(codec.entryPrefix + self.id, codec.encodeEntry(self));
			if (result.ok) {
				log.write('registration.written', {revision: result.value.version});
				return;
			}

			log.write('registration.failed', {failure: result.error.kind});
			await waitFor(timer, retryMs);
		}
	}

	/** Removes records of silent entries; the first entry in order of ids does it, so that one call is made for each. */
	async #removeAbandoned(): Promise<void> {
		const {self, store, codec, log, storeState, peers} = this.#options;
		const entries = [...storeState.entries.values()];
		const [first] = entries.map(({id}) => id).filter(id => id === self.id || peers.isServing(id)).toSorted();
		if (first !== self.id) {
			return;
		}

		for (const {id} of entries) {
			if (id !== self.id && peers.computeSilenceMs(id) > abandonedMs) {
				const result = await store.delete(codec.entryPrefix + id);
				log.write('registration.abandoned_removed', {peer: id, silenceMs: Math.round(peers.computeSilenceMs(id)), removed: result.ok});
			}
		}
	}
}

const isSameEntry = (a: RegisteredEntry | undefined, b: RegisteredEntry): boolean =>
	a?.callerAddress === b.callerAddress && a.peerAddress === b.peerAddress && a.failureDomain === b.failureDomain;
