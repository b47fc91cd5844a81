import createDebug from 'debug';
import {
	FingerprintTable, type FingerprintRecord, type ReportEffect, type TextHash32,
} from '@knapweedrack/core';
import {
	fingerprintRecordSchema, objectKeys, type FingerprintReport, type FingerprintStanding,
} from '@knapweedrack/protocol';
import type {EntryServices, Metrics, TimerService} from '../contracts.js';
import type {MembershipTask} from '../membership/membership-task.js';
import {selectResourceOwner} from '../membership/resource-owner.js';
import {counterNames} from '../metrics/metric-names.js';
import type {MonitoredStore} from '../store/monitored-store.js';
import {ObjectWatch, type WatchedState} from '../store/object-watch.js';

const debug = createDebug('knapweedrack:quarantine');

const watchMs = 10_000;
const minWatchIntervalMs = 200;
const relistMs = 30_000;
const peerTimeoutMs = 1000;
const writeTimeoutMs = 2000;
const retryAfterMs = 1000;
/** Quarantined content crashes a server each time it runs, so a retry is useful only after an operator has acted. */
const quarantinedRetryAfterMs = 60_000;
/** Time for which a suspect run blocks its content when the end of the run is not reported. */
const runTimeoutMs = 120_000;
/** `quarantine.check` carries no attempt id, so a run is recorded under this placeholder until its result is reported. */
const placeholderRun = {attemptId: 'checked', serverId: 'unknown'};

/** Dependencies of the quarantine task. */
export type QuarantineOptions = {
	entryId: string;
	membership: MembershipTask;
	store: MonitoredStore;
	timer: TimerService;
	metrics: Metrics;
	hash: TextHash32;
};

/** Tracks the standing (clear, suspect or quarantined) of content that was running when a backend server crashed. */
export class QuarantineTask {
	readonly #options: QuarantineOptions;
	readonly #table = new FingerprintTable({runTimeoutMs});
	readonly #watch: ObjectWatch;
	/** Known records by fingerprint; content without a record is clear and needs no message to its owner. */
	readonly #records = new Map<string, FingerprintRecord>();
	/**
	 * Fingerprints whose crash was reported at this entry. A check queries their owner, because a retry can start before the
	 * watch returns the record.
	 */
	readonly #reportedCrashes = new Set<string>();

	constructor(options: QuarantineOptions) {
		this.#options = options;
		const {store, timer, metrics} = options;
		this.#watch = new ObjectWatch({
			prefix: objectKeys.quarantinePrefix, waitMs: watchMs, minIntervalMs: minWatchIntervalMs, relistMs, store, timer, metrics,
			notify: state => {
				this.#acceptRecords(state);
			},
		});
	}

	/** The part of the entry's services for request tasks. */
	get services(): EntryServices['quarantine'] {
		return {
			check: async fingerprint => this.#check(fingerprint),
			report: async report => this.#report(report),
		};
	}

	async start(): Promise<void> {
		await this.#watch.start();
	}

	stop(): void {
		this.#watch.stop();
	}

	/**
	 * Answers a check as the owner of the fingerprint. Suspect content runs only once at a time, and only after its record was
	 * written to the object API.
	 */
	async checkOwned(fingerprint: string): Promise<FingerprintStanding> {
		const decision = this.#table.startRun(fingerprint, placeholderRun, this.#options.timer.now());
		if (decision.type === 'run_alone') {
			return await this.#write(fingerprint, decision.record) ? {standing: 'suspect'} : {standing: 'quarantined', retryAfterMs};
		}

		if (decision.type === 'run') {
			this.#table.recordRunEnd(fingerprint, placeholderRun.attemptId);
			return {standing: 'clear'};
		}

		return {standing: 'quarantined', retryAfterMs: decision.type === 'wait' ? decision.retryAfterMs : quarantinedRetryAfterMs};
	}

	/** Records a report as the owner of the fingerprint. */
	async reportOwned(report: FingerprintReport): Promise<FingerprintStanding> {
		const {fingerprint, attemptId, serverId, bootId, result, runningFingerprints} = report;
		const companions = runningFingerprints.filter(other => other !== fingerprint);
		this.#table.recordRunEnd(fingerprint, placeholderRun.attemptId);
		const effect = result === 'crashed'
			? this.#table.recordCrash(fingerprint, {
				attemptId, serverId, bootId, companions,
			})
			: this.#table.recordCompletion(fingerprint, attemptId);
		await Promise.all([this.#apply(fingerprint, effect), this.#notifyPeers(effect.record)]);
		return {standing: effect.record?.standing ?? 'clear'};
	}

	/** Stores a record that the owner of the fingerprint sent with `quarantine.notify`. */
	acceptNotification(record: FingerprintRecord): void {
		this.#records.set(record.fingerprint, record);
		if (this.#findOwner(record.fingerprint) !== this.#options.entryId) {
			this.#table.load([record], this.#options.timer.now());
		}
	}

	/**
	 * Notifies every entry before a crash report is answered: the caller may resend the content to another entry before
	 * the watch of that entry returns the record. Crashes are rare, so a message to each entry is affordable.
	 */
	async #notifyPeers(record: FingerprintRecord | undefined): Promise<void> {
		if (record === undefined) {
			return;
		}

		const others = this.#options.membership.listLiveSessions().filter(({entryId}) => entryId !== this.#options.entryId);
		await Promise.all(others.map(async ({entryId}) =>
			this.#findPeer(entryId)?.run(peerTimeoutMs, async (caller, signal) => caller.quarantine.notify.mutate(record, {signal}))));
	}

	async #check(fingerprint: string): Promise<FingerprintStanding> {
		if (!this.#records.has(fingerprint) && !this.#reportedCrashes.has(fingerprint)) {
			return {standing: 'clear'};
		}

		const owner = this.#findOwner(fingerprint);
		if (owner === this.#options.entryId) {
			return this.checkOwned(fingerprint);
		}

		const answer = await this.#findPeer(owner)?.run(peerTimeoutMs, async (caller, signal) => caller.quarantine.check.query(fingerprint, {signal}));
		// Only the owner knows whether the suspect content is already running elsewhere.
		return answer?.ok ? answer.value : {standing: 'quarantined', retryAfterMs};
	}

	async #report(report: FingerprintReport): Promise<FingerprintStanding> {
		if (report.result === 'completed' && !this.#records.has(report.fingerprint) && !this.#reportedCrashes.has(report.fingerprint)) {
			return {standing: 'clear'};
		}

		if (report.result === 'crashed') {
			this.#reportedCrashes.add(report.fingerprint);
		}

		const owner = this.#findOwner(report.fingerprint);
		const answer = owner === this.#options.entryId
			? undefined
			: await this.#findPeer(owner)?.run(peerTimeoutMs, async (caller, signal) => caller.quarantine.report.mutate(report, {signal}));
		// This entry records the report itself when the owner does not answer, so that a crash is not lost.
		return answer?.ok ? answer.value : this.reportOwned(report);
	}

	async #apply(fingerprint: string, effect: ReportEffect): Promise<void> {
		if (effect.record) {
			await this.#write(fingerprint, effect.record);
		} else if (this.#records.has(fingerprint)) {
			await this.#delete(fingerprint);
		}

		for (const {fingerprint: cleared, serverId, culprit} of effect.crashAttributions) {
			await this.#apply(cleared, this.#table.recordCrashAttribution(cleared, {serverId, culprit}));
		}
	}

	async #write(fingerprint: string, record: FingerprintRecord): Promise<boolean> {
		this.#records.set(fingerprint, record);
		const result = await this.#options.store.put(`${objectKeys.quarantinePrefix}${fingerprint}`, record, undefined, {timeoutMs: writeTimeoutMs});
		this.#recordWriteResult(fingerprint, result.ok);
		return result.ok;
	}

	async #delete(fingerprint: string): Promise<void> {
		this.#records.delete(fingerprint);
		const result = await this.#options.store.delete(`${objectKeys.quarantinePrefix}${fingerprint}`, undefined, {timeoutMs: writeTimeoutMs});
		this.#recordWriteResult(fingerprint, result.ok || result.error.kind === 'not_found');
	}

	#recordWriteResult(fingerprint: string, isWritten: boolean): void {
		if (!isWritten) {
			this.#options.metrics.count(counterNames.quarantineWriteFailed);
			debug('cannot write or delete the quarantine record of %s', fingerprint);
		}
	}

	#acceptRecords({objects, changedKeys}: WatchedState): void {
		for (const key of changedKeys) {
			const fingerprint = key.slice(objectKeys.quarantinePrefix.length);
			this.#reportedCrashes.delete(fingerprint);
			const record = fingerprintRecordSchema.safeParse(objects.get(key)?.value).data;
			if (!record) {
				this.#records.delete(fingerprint);
				continue;
			}

			this.#records.set(fingerprint, record);
			if (this.#findOwner(fingerprint) !== this.#options.entryId || !this.#table.getRecord(fingerprint)) {
				this.#table.load([record], this.#options.timer.now());
			}
		}
	}

	#findOwner(fingerprint: string): string | undefined {
		return selectResourceOwner(`fingerprint ${fingerprint}`, this.#options.membership.listLiveSessions(), this.#options.hash);
	}

	#findPeer(entryId: string | undefined) {
		return entryId === undefined ? undefined : this.#options.membership.findPeer(entryId);
	}
}
