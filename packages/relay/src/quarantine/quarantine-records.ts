import {crashRecordMs, hasMoreCrashes, type FingerprintRecord} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {waitFor} from '@knapweedrack/entry/timer-service';
import type {ObjectStore} from '@knapweedrack/platform-client';
import type {StoreCodec, StoredQuarantine} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';

/** Delay before a record is written to the store, in ms, in which entries that have seen the content complete can clear it. */
const writeDelayMs = 300;
/** Delay before a failed write is repeated, in ms. */
const writeRetryMs = 1000;

/** Dependencies of the stored records. */
export type QuarantineRecordOptions = {
	entryId: string;
	store: ObjectStore;
	codec: StoreCodec;
	timer: TimerService;
	log: DecisionLog;
	/** True at one of the entries that are serving. */
	isFirstServing: () => boolean;
	/** Returns the time in ms since the Unix epoch. */
	readWallClock: () => number;
	/** Returns what this entry knows now of a fingerprint. */
	getRecord: (fingerprint: string) => FingerprintRecord | undefined;
};

/** Records of crashes in the store, for entries that start later. */
export class QuarantineRecords {
	readonly #options: QuarantineRecordOptions;
	/** Records in the store, by fingerprint. */
	#stored = new Map<string, StoredQuarantine>();
	/** Fingerprints whose records are about to be written. */
	readonly #writing = new Set<string>();
	#isStopped = false;

	constructor(options: QuarantineRecordOptions) {
		this.#options = options;
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** Applies the records that the store holds. */
	applyStored(stored: readonly StoredQuarantine[]): void {
		this.#stored = new Map(stored.map(each => [each.record.fingerprint, each]));
	}

	/** Starts to write records that the store lacks. Only entries that observed a crash write, so that the number of writes does not grow with the fleet. */
	startWrites(records: readonly FingerprintRecord[]): void {
		for (const record of records) {
			const {fingerprint, crashes} = record;
			const stored = this.#stored.get(fingerprint)?.record;
			const isObserver = crashes.some(crash => crash.entryId === this.#options.entryId);
			if (isObserver && !this.#writing.has(fingerprint) && (stored === undefined || hasMoreCrashes(record, stored))) {
				this.#writing.add(fingerprint);
				void this.#write(fingerprint);
			}
		}
	}

	/** Deletes a stored record. */
	async delete(fingerprint: string): Promise<void> {
		const {store, codec, log} = this.#options;
		if (this.#stored.delete(fingerprint)) {
			const result = await store.delete(codec.quarantinePrefix + fingerprint);
			log.write('content.quarantine_deleted', {content: fingerprint, failure: result.ok ? undefined : result.error.kind});
		}
	}

	/** Deletes the records that have expired, at one of the entries. */
	removeExpired(): void {
		const {isFirstServing, readWallClock} = this.#options;
		if (!isFirstServing()) {
			return;
		}

		for (const [fingerprint, {quarantinedAtMs}] of this.#stored) {
			if (readWallClock() - quarantinedAtMs > crashRecordMs) {
				void this.delete(fingerprint);
			}
		}
	}

	async #write(fingerprint: string): Promise<void> {
		const {timer, log, getRecord} = this.#options;
		let delayMs = writeDelayMs;
		for (;;) {
			await waitFor(timer, delayMs);
			const record = getRecord(fingerprint);
			const stored = this.#stored.get(fingerprint)?.record;
			if (this.#isStopped || record === undefined || (stored !== undefined && !hasMoreCrashes(record, stored))) {
				break;
			}

			const result = await this.#put(record, stored === undefined);
			log.write(result.ok ? 'content.quarantine_written' : 'content.quarantine_not_written', {content: fingerprint, failure: result.ok ? undefined : result.error.kind});
			if (result.ok) {
				break;
			}

			delayMs = writeRetryMs;
		}

		this.#writing.delete(fingerprint);
	}

	/** Puts a record into the store. One that another entry has created in the meantime is read by the watch and compared first. */
	async #put(record: FingerprintRecord, isNew: boolean): ReturnType<ObjectStore['put']> {
		const {store, codec, readWallClock} = this.#options;
		return store.put(codec.quarantinePrefix + record.fingerprint, codec.encodeQuarantine({record: removeTimes(record), quarantinedAtMs: readWallClock()}), isNew ? {create: true} : undefined);
	}
}

/** Removes the times of the crashes, which hold on the clock of one process only. */
const removeTimes = (record: FingerprintRecord): FingerprintRecord => ({...record, crashes: record.crashes.map(({lostAt, ...crash}) => crash)});
