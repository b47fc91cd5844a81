import type {TimerService} from '@knapweedrack/entry/contracts';
import {waitFor} from '@knapweedrack/entry/timer-service';
import type {ObjectStore} from '@knapweedrack/platform-client';
import type {RegisteredEntry, StoreCodec} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {PeerReportTask} from '../peers/peer-report-task.js';
import type {StoreStateTask} from './store-state-task.js';

/** Delay before a failed registration is retried, in ms. */
const retryMs = 500;
/** Interval between checks for records of ended entries, in ms. */
const cleanUpIntervalMs = 10_000;
/** Time without a message from an entry after which its record is removed, in ms; much longer than a restart. */
const abandonedMs = 60_000;

/** Dependencies of the registration task. */
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

/** Keeps the record of this entry in the store, and removes the records of entries that ended without removing them. */
export class RegistrationTask {
	readonly #options: RegistrationOptions;
	#isStopped = false;
	#isRegistering = false;
	/** Version of the record that this process has written; lists from before it do not have the record. */
	#writtenVersion = 0;
	#unsubscribe: (() => void) | undefined;

	constructor(options: RegistrationOptions) {
		this.#options = options;
	}

	/** Starts the registration; resolves to whether the first attempt has written the record. An entry can serve before that. */
	async start(): Promise<boolean> {
		this.#unsubscribe = this.#options.timer.subscribe(cleanUpIntervalMs, () => {
			void this.#removeAbandoned();
		});
		this.#isRegistering = true;
		const isWritten = await this.#tryWrite();
		if (isWritten) {
			this.#isRegistering = false;
		} else {
			void this.#repeatRegistration();
		}

		return isWritten;
	}

	/** True for the serving entry with the lowest id, which does what one entry should do for all. */
	isFirstServing(): boolean {
		const {self, storeState, peers} = this.#options;
		const [first] = [self.id, ...storeState.entries.keys()].filter(id => id === self.id || peers.isServing(id)).toSorted();
		return first === self.id;
	}

	/** Registers again when the record of this entry is missing or states other addresses in a list of a revision. */
	handleEntries({revision, isRestored}: {revision: number; isRestored: boolean}): void {
		if (isRestored) {
			this.#writtenVersion = 0;
		}

		if (revision >= this.#writtenVersion && !this.#isStopped && !this.#isRegistering && this.#unsubscribe !== undefined) {
			void this.#runRegistration();
		}
	}

	/** Stops the task and removes the record of this entry. */
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
		if (await this.#tryWrite()) {
			this.#isRegistering = false;
		} else {
			await this.#repeatRegistration();
		}
	}

	async #repeatRegistration(): Promise<void> {
		do {
			await waitFor(this.#options.timer, retryMs);
		} while (!this.#isStopped && !await this.#tryWrite());

		this.#isRegistering = false;
	}

	/** Writes the record unless it is listed; returns false when that has failed. */
	async #tryWrite(): Promise<boolean> {
		const {self, log, storeState} = this.#options;
		if (this.#isStopped || isSameEntry(storeState.entries.get(self.id), self)) {
			return true;
		}

		const result = await this.#putRecord();
		if (result.ok) {
			this.#writtenVersion = result.value.version;
			log.write('registration.written', {revision: result.value.version});
		} else {
			log.write('registration.failed', {failure: result.error.kind});
		}

		return result.ok;
	}

	/** Creates the record with one call when it is not listed; replaces it otherwise. */
	async #putRecord(): ReturnType<ObjectStore['put']> {
		const {self, store, codec, storeState} = this.#options;
		const key = codec.entryPrefix + self.id;
		const record = codec.encodeEntry(self);
		if (!storeState.entries.has(self.id)) {
			const created = await store.put(key, record, {create: true});
			if (created.ok || created.error.kind !== 'version_mismatch') {
				return created;
			}
		}

		return store.put(key, record);
	}

	/** Removes the records of silent entries. */
	async #removeAbandoned(): Promise<void> {
		const {self, store, codec, log, storeState, peers} = this.#options;
		if (!this.isFirstServing()) {
			return;
		}

		for (const {id} of storeState.entries.values()) {
			if (id !== self.id && peers.computeSilenceMs(id) > abandonedMs) {
				const result = await store.delete(codec.entryPrefix + id);
				log.write('registration.abandoned_removed', {peer: id, silenceMs: Math.round(peers.computeSilenceMs(id)), removed: result.ok});
			}
		}
	}
}

const isSameEntry = (a: RegisteredEntry | undefined, b: RegisteredEntry): boolean =>
	a?.callerAddress === b.callerAddress && a.peerAddress === b.peerAddress && a.failureDomain === b.failureDomain;
