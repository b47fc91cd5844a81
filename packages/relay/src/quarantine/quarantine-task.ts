import {
	CrashRegister, chainLimit, computeChainLength, countCrashedServers, crashRecordMs, hasMoreCrashes, trialLimit,
	type FingerprintCrash, type FingerprintRecord, type LostAttempt, type RegisterEffect,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {waitFor} from '@knapweedrack/entry/timer-service';
import type {ObjectStore} from '@knapweedrack/platform-client';
import type {StoreCodec, StoredQuarantine} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {CrashDetectionTask, CrashEvidence} from './crash-detection-task.js';
import type {CrashReport} from './crash-report.js';

/** Interval at which crash reports are sent again, in ms. */
const resendMs = 500;
/** Number of repetitions of a crash report, since datagrams may be lost: of a first crash, which most requests never follow by another, and of more. */
const resendCounts = {firstCrash: 1, moreCrashes: 4};
/** Delay before a record is written to the store, in ms, in which entries that have seen the content complete can clear it. */
const writeDelayMs = 300;
/** Delay before a failed write is repeated, in ms. */
const writeRetryMs = 1000;
/** Interval between checks for expired records in the store, in ms. */
const cleanUpIntervalMs = 600_000;

/** Dependencies of the quarantine task. */
export type QuarantineOptions = {
	entryId: string;
	failureDomain: string;
	store: ObjectStore;
	codec: StoreCodec;
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	detection: Pick<CrashDetectionTask, 'listUnsettled'>;
	/** Sends a crash report to one entry, or to all that this entry reports to. */
	sendCrashReport: (report: CrashReport, recipientId?: string) => void;
	/** True when this entry passes the crash reports of a failure domain on to other entries. */
	isForwarder: (failureDomain: string) => boolean;
	/** True at one of the entries that are serving. */
	isFirstServing: () => boolean;
	/** Returns the time in ms since the Unix epoch. */
	readWallClock: () => number;
};

/** Decides which content is no longer run, because backend servers ended under it; shares the crashes with the other entries. */
export class QuarantineTask {
	readonly #options: QuarantineOptions;
	readonly #register = new CrashRegister();
	/** Remaining repetitions of a crash report, by fingerprint. */
	readonly #resends = new Map<string, number>();
	/** Records in the store, by fingerprint. */
	#stored = new Map<string, StoredQuarantine>();
	/** Fingerprints whose records are about to be written. */
	readonly #writing = new Set<string>();
	/** Number of runs in progress at this entry, by fingerprint. */
	readonly #runs = new Map<string, number>();
	readonly #unsubscribes: Array<() => void> = [];
	#isStopped = false;

	constructor(options: QuarantineOptions) {
		this.#options = options;
	}

	/** Number of fingerprints under which a backend server has ended. */
	get size(): number {
		return this.#register.size;
	}

	start(): void {
		const {timer} = this.#options;
		this.#unsubscribes.push(
			timer.subscribe(resendMs, () => {
				this.#resend();
			}),
			timer.subscribe(cleanUpIntervalMs, () => {
				this.#removeExpired();
			}),
		);
	}

	stop(): void {
		this.#isStopped = true;
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}
	}

	/**
	 * True when a request with this content must not be sent to a backend server now. Content under which many servers ended at the same
	 * time may be innocent, so it runs once at a time, at one entry, until it completes or is quarantined.
	 */
	isRefused(fingerprint: string): boolean {
		const {timer, isFirstServing} = this.#options;
		if (this.#register.hasCompletedRecently(fingerprint, timer.now())) {
			return false;
		}

		const crashes = this.#listCrashes(fingerprint);
		const needsTrial = countCrashedServers(crashes) >= trialLimit;
		return computeChainLength(crashes) >= chainLimit || (needsTrial && (this.#runs.has(fingerprint) || !isFirstServing()));
	}

	/** True when the content is refused until its record expires; otherwise a refusal is temporary. */
	isQuarantined(fingerprint: string): boolean {
		return this.#register.getRecord(fingerprint, this.#options.timer.now())?.standing === 'quarantined';
	}

	/** Records the start of a run; returns the length of the chain of crashes that it ends if its backend server ends. */
	startRun(fingerprint: string): number {
		this.#runs.set(fingerprint, (this.#runs.get(fingerprint) ?? 0) + 1);
		return computeChainLength(this.#listCrashes(fingerprint)) + 1;
	}

	/** Records the end of a run. */
	endRun(fingerprint: string): void {
		const left = (this.#runs.get(fingerprint) ?? 0) - 1;
		if (left > 0) {
			this.#runs.set(fingerprint, left);
		} else {
			this.#runs.delete(fingerprint);
		}
	}

	/** Describes for the log the crashes that quarantine a fingerprint: server, its incarnation, attempt, and the entry that observed it. */
	describeCrashes(fingerprint: string): Array<Pick<FingerprintCrash, 'serverId' | 'bootId' | 'attemptId' | 'entryId' | 'chainLength'>> {
		return describeCrashes(this.#register.getRecord(fingerprint, this.#options.timer.now()));
	}

	/** Records a crash that this entry has observed. */
	recordCrash({fingerprint, attemptId, serverId, bootId, chainLength}: LostAttempt, evidence: CrashEvidence): void {
		const {entryId, timer, log, metrics} = this.#options;
		const effect = this.#register.recordCrash(fingerprint, {
			attemptId, serverId, bootId, entryId, chainLength, companions: [],
		}, timer.now());
		metrics.countEvent('content.server_crashed');
		log.writeRequest('content.server_crashed', undefined, {
			content: fingerprint, server: serverId, bootId, attempt: attemptId, evidence, chainLength, isCounted: effect.isChanged, crashes: effect.record?.crashes.length ?? 0,
		});
		if (effect.isChanged) {
			this.#share(effect.record!);
			this.#handleChange(effect, 'observed');
		}
	}

	/** Records that a run of the content has completed. */
	recordCompletion(fingerprint: string): void {
		if (this.#register.recordCompletion(fingerprint, this.#options.timer.now())) {
			this.#shareClearing(fingerprint, 'completed');
		}
	}

	/** Merges the crash report of another entry. */
	acceptCrashReport({entryId: sender, failureDomain, records, cleared}: CrashReport): void {
		const {isForwarder, log, timer} = this.#options;
		for (const fingerprint of cleared) {
			if (this.#register.recordCompletion(fingerprint, timer.now())) {
				log.writeRequest('content.cleared', undefined, {content: fingerprint, reason: 'completed at another entry', peer: sender});
				void this.#deleteStored(fingerprint);
				if (isForwarder(failureDomain)) {
					this.#send([], [fingerprint]);
				}
			}
		}

		for (const received of records) {
			const {record, isChanged} = this.#merge(received, sender);
			if (isChanged && isForwarder(failureDomain)) {
				this.#share(record!);
			} else if (record !== undefined && hasMoreCrashes(record, received)) {
				this.#send([record], [], sender);
			}
		}
	}

	/** Merges the records that the store holds. */
	applyStored(stored: readonly StoredQuarantine[]): void {
		this.#stored = new Map(stored.map(each => [each.record.fingerprint, each]));
		for (const {record} of stored) {
			const {record: merged} = this.#merge(record, 'store');
			if (merged !== undefined && hasMoreCrashes(merged, record)) {
				this.#startWrite(merged);
			}
		}
	}

	/** Known crashes of the content, with those of attempts that this entry lost just now. */
	#listCrashes(fingerprint: string): FingerprintCrash[] {
		const {detection, timer} = this.#options;
		const unsettled = detection.listUnsettled(fingerprint).map(attempt => ({...attempt, companions: []}));
		return [...this.#register.getRecord(fingerprint, timer.now())?.crashes ?? [], ...unsettled];
	}

	#merge(received: FingerprintRecord, source: string): {record: FingerprintRecord | undefined; isChanged: boolean} {
		const {timer, log} = this.#options;
		const {fingerprint} = received;
		if (this.#register.hasCompletedRecently(fingerprint, timer.now())) {
			this.#shareClearing(fingerprint, 'completed here before');
			return {record: undefined, isChanged: false};
		}

		const effect = this.#register.mergeRecord(received, timer.now());
		if (effect.isChanged) {
			log.writeRequest('content.crash_received', undefined, {content: fingerprint, source, crashes: describeCrashes(effect.record)});
			this.#handleChange(effect, source);
		}

		return effect;
	}

	#handleChange({record, isNewlyQuarantined}: RegisterEffect, source: string): void {
		const {log, metrics} = this.#options;
		if (record === undefined) {
			return;
		}

		if (isNewlyQuarantined) {
			metrics.countEvent('content.quarantined');
			log.write('content.quarantined', {content: record.fingerprint, source, crashes: describeCrashes(record)});
		}

		this.#startWrite(record);
	}

	/**
	 * Starts to write a record to the store, for entries that start later. Only records that restrict runs are written, and only by
	 * entries that observed a crash, so that the number of writes does not grow with the fleet.
	 */
	#startWrite({fingerprint, standing, crashes}: FingerprintRecord): void {
		const isRestricted = standing === 'quarantined' || countCrashedServers(crashes) >= trialLimit;
		const isObserver = crashes.some(crash => crash.entryId === this.#options.entryId);
		if (isRestricted && isObserver && !this.#writing.has(fingerprint)) {
			this.#writing.add(fingerprint);
			void this.#write(fingerprint);
		}
	}

	async #write(fingerprint: string): Promise<void> {
		const {timer, log} = this.#options;
		let delayMs = writeDelayMs;
		for (;;) {
			await waitFor(timer, delayMs);
			const record = this.#register.getRecord(fingerprint, timer.now());
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
		return store.put(codec.quarantinePrefix + record.fingerprint, codec.encodeQuarantine({record, quarantinedAtMs: readWallClock()}), isNew ? {create: true} : undefined);
	}

	#removeExpired(): void {
		const {isFirstServing, readWallClock} = this.#options;
		if (!isFirstServing()) {
			return;
		}

		for (const [fingerprint, {quarantinedAtMs}] of this.#stored) {
			if (readWallClock() - quarantinedAtMs > crashRecordMs) {
				void this.#deleteStored(fingerprint);
			}
		}
	}

	async #deleteStored(fingerprint: string): Promise<void> {
		const {store, codec, log} = this.#options;
		if (this.#stored.delete(fingerprint)) {
			const result = await store.delete(codec.quarantinePrefix + fingerprint);
			log.write('content.quarantine_deleted', {content: fingerprint, failure: result.ok ? undefined : result.error.kind});
		}
	}

	#shareClearing(fingerprint: string, reason: string): void {
		this.#options.log.writeRequest('content.cleared', undefined, {content: fingerprint, reason});
		this.#resends.delete(fingerprint);
		void this.#deleteStored(fingerprint);
		this.#send([], [fingerprint]);
	}

	#share(record: FingerprintRecord): void {
		this.#send([record], []);
		this.#resends.set(record.fingerprint, record.crashes.length > 1 ? resendCounts.moreCrashes : resendCounts.firstCrash);
	}

	#resend(): void {
		const {timer} = this.#options;
		const records: FingerprintRecord[] = [];
		for (const [fingerprint, left] of this.#resends) {
			const record = this.#register.getRecord(fingerprint, timer.now());
			if (record !== undefined) {
				records.push(record);
			}

			if (left > 1 && record !== undefined) {
				this.#resends.set(fingerprint, left - 1);
			} else {
				this.#resends.delete(fingerprint);
			}
		}

		if (records.length > 0) {
			this.#send(records, []);
		}
	}

	#send(records: FingerprintRecord[], cleared: string[], recipientId?: string): void {
		const {entryId, failureDomain, sendCrashReport} = this.#options;
		sendCrashReport({
			entryId, failureDomain, records, cleared,
		}, recipientId);
	}
}

const describeCrashes = (record: FingerprintRecord | undefined): ReturnType<QuarantineTask['describeCrashes']> =>
	record?.crashes.map(({serverId, bootId, attemptId, entryId, chainLength}) => ({
		serverId, bootId, attemptId, entryId, chainLength,
	})) ?? [];
