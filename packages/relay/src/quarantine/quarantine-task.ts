import {
	CrashRegister, UnconfirmedCrashes, chainLimit, computeChainLength, contentDecisions, countCrashedServers, decideContent, findCrashCauses, formatServer, hasMoreCrashes,
	type ChainPosition, type ContentDecision, type CrashCause, type FingerprintCrash, type FingerprintRecord, type LostAttempt,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {StoredQuarantine} from '../contracts.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {CrashDetectionTask, CrashEvidence} from './crash-detection-task.js';
import type {CrashReport} from './crash-report.js';
import {QuarantineRecords, type QuarantineRecordOptions} from './quarantine-records.js';

/** Interval at which crash reports are sent again, in ms. */
const resendMs = 500;
/** Number of repetitions of a crash report, since datagrams may be lost: of a first crash, which most requests never follow by another, and of more. */
const resendCounts = {firstCrash: 1, moreCrashes: 4};
/** Number of repetitions of the message that content has completed, since an entry that misses it goes on refusing the content. */
const clearingResendCount = 2;
/** Number of servers that were lost under one fingerprint from which the other entries are told before these servers have been checked. */
const earlyReportLimit = 2;
/** Number of repetitions of the message that the servers of lost attempts have not ended. */
const withdrawalResendCount = 2;
/** Interval between checks for expired records in the store, in ms. */
const cleanUpIntervalMs = 600_000;

/** Dependencies of the quarantine task. */
export type QuarantineOptions = Omit<QuarantineRecordOptions, 'getRecord'> & {
	failureDomain: string;
	metrics: RelayMetrics;
	detection: Pick<CrashDetectionTask, 'listUnsettled'>;
	/** Sends a crash report to one entry, or to all that this entry reports to. */
	sendCrashReport: (report: CrashReport, recipientId?: string) => void;
	/** True when this entry passes the crash reports of a failure domain on to other entries. */
	isForwarder: (failureDomain: string) => boolean;
};

/** Crash as described in the log: server, its incarnation, attempt, the entry that observed it, and its position in a chain. */
type DescribedCrash = Pick<FingerprintCrash, 'serverId' | 'bootId' | 'attemptId' | 'entryId' | 'chainLength'>;

/** Why a request is refused: a fingerprint of it, the other candidates for the same crashes, and what speaks for and against it. */
export type DescribedCause = {fingerprint: string; otherCandidates: string[]; chainLength: number; lastCompletionMs: number | undefined; crashes: DescribedCrash[]};

/**
 * Decides which requests are no longer run, because backend servers ended under them or under other requests that share a part of the
 * prompt; shares the crashes with the other entries. A request is known by the fingerprints of its whole content and of these parts.
 */
export class QuarantineTask {
	readonly #options: QuarantineOptions;
	readonly #register = new CrashRegister();
	/** Remaining repetitions of a record, by fingerprint. */
	readonly #resends = new Map<string, number>();
	/** Remaining repetitions of the message that a fingerprint has completed. */
	readonly #clearingResends = new Map<string, number>();
	readonly #records: QuarantineRecords;
	/** Attempts that were reported to the other entries before their servers had been checked. */
	readonly #earlyReported = new Set<string>();
	/** Remaining repetitions of the message that the server of a lost attempt has not ended, by attempt. */
	readonly #withdrawalResends = new Map<string, number>();
	readonly #unconfirmed = new UnconfirmedCrashes();
	/** Number of runs in progress at this entry, by fingerprint. */
	readonly #runs = new Map<string, number>();
	/** Causes that the register shows, as of its version. */
	#causes: {version: number; list: CrashCause[]} = {version: -1, list: []};
	/** Fingerprints that are logged as quarantined. */
	#quarantined = new Set<string>();
	readonly #unsubscribes: Array<() => void> = [];

	constructor(options: QuarantineOptions) {
		this.#options = options;
		this.#records = new QuarantineRecords({...options, getRecord: fingerprint => this.#register.getRecord(fingerprint, options.timer.now())});
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
				this.#resendWithdrawals();
				this.#acceptUnconfirmed();
			}),
			timer.subscribe(cleanUpIntervalMs, () => {
				this.#records.removeExpired();
				// Records expire without a change of the version.
				this.#causes = {version: -1, list: []};
			}),
		);
	}

	stop(): void {
		this.#records.stop();
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}
	}

	/** True when a request with these fingerprints must not be sent to a backend server now; `hasRun` when one may have run it before. */
	isRefused(fingerprints: readonly string[], {hasRun = false}: {hasRun?: boolean} = {}): boolean {
		const causes = this.#findCauses();
		return causes.length > 0 && refusalHandlers[decideContent(fingerprints, causes)](() => hasRun || this.#isTrialRefused(fingerprints, causes));
	}

	/** True when the request is refused until the records of its crashes expire; otherwise a refusal is temporary. */
	isQuarantined(fingerprints: readonly string[]): boolean {
		return decideContent(fingerprints, this.#findRecordedCauses()) === contentDecisions.refuse;
	}

	/** Records the start of a run; returns the positions in chains of crashes that it takes if its backend server ends. */
	startRun(fingerprints: readonly string[]): ChainPosition[] {
		for (const fingerprint of fingerprints) {
			this.#runs.set(fingerprint, (this.#runs.get(fingerprint) ?? 0) + 1);
		}

		const unsettled = this.#listUnsettledCrashes();
		return fingerprints.map(fingerprint => ({fingerprint, chainLength: computeChainLength(this.#listCrashes(fingerprint, unsettled)) + 1}));
	}

	/** Records the end of a run. */
	endRun(fingerprints: readonly string[]): void {
		for (const fingerprint of fingerprints) {
			const left = (this.#runs.get(fingerprint) ?? 0) - 1;
			if (left > 0) {
				this.#runs.set(fingerprint, left);
			} else {
				this.#runs.delete(fingerprint);
			}
		}
	}

	/** Describes for the log why a request with these fingerprints is refused. */
	describeCauses(fingerprints: readonly string[]): DescribedCause[] {
		const now = this.#options.timer.now();
		return this.#findRecordedCauses().flatMap(({candidates, chainLength}) => candidates.filter(({fingerprint}) => fingerprints.includes(fingerprint)).map(({fingerprint}) => ({
			fingerprint,
			otherCandidates: candidates.map(other => other.fingerprint).filter(other => other !== fingerprint),
			chainLength,
			lastCompletionMs: this.#register.getCompletionAgeMs(fingerprint, now),
			crashes: describeCrashes(this.#register.getRecord(fingerprint, now)),
		})));
	}

	/** Records an attempt that was lost with its connection. Other entries are told at once, in case this one ends before it has checked the server. */
	recordLoss(attempt: LostAttempt): void {
		const records = this.#buildEarlyReport(attempt);
		for (const {attemptId} of records.flatMap(({crashes}) => crashes)) {
			this.#earlyReported.add(attemptId);
		}

		if (records.length > 0) {
			this.#send({unconfirmed: records});
		}
	}

	/** Withdraws an attempt that was reported before its server had been checked, unless it has been recorded as a crash. */
	withdrawLoss(attemptId: string): void {
		if (this.#earlyReported.delete(attemptId)) {
			this.#withdrawalResends.set(attemptId, withdrawalResendCount);
			this.#send({withdrawn: [attemptId]});
		}
	}

	/** Records a crash that this entry has observed. */
	recordCrash({positions, attemptId, serverId, bootId, lostAt}: LostAttempt, evidence: CrashEvidence): void {
		const {entryId, timer, log, metrics} = this.#options;
		this.#earlyReported.delete(attemptId);
		const effects = positions.map(({fingerprint, chainLength}) => ({
			fingerprint, chainLength,
			...this.#register.recordCrash(fingerprint, {
				attemptId, serverId, bootId, entryId, chainLength, companions: [], lostAt,
			}, timer.now()),
		}));
		const [content, ...parts] = effects.map(({fingerprint, chainLength, isChanged, record}) => ({
			content: fingerprint, chainLength, isCounted: isChanged, crashes: record?.crashes.length ?? 0, lastCompletionMs: this.#register.getCompletionAgeMs(fingerprint, timer.now()),
		}));
		metrics.countEvent('content.server_crashed');
		log.writeRequest('content.server_crashed', undefined, {
			...content, parts, server: serverId, bootId, attempt: attemptId, evidence, lostMs: lostAt === undefined ? undefined : Math.round(timer.now() - lostAt),
		});
		const changed = effects.filter(({isChanged}) => isChanged).map(({record}) => record!);
		this.#share(changed);
		this.#handleChange(changed, 'observed');
	}

	/** Records that a run with these fingerprints has completed. */
	recordCompletion(fingerprints: readonly string[]): void {
		const now = this.#options.timer.now();
		this.#shareClearing(fingerprints.filter(fingerprint => this.#register.recordCompletion(fingerprint, now, {isObserved: true})), 'completed');
	}

	/** Merges the crash report of another entry. */
	acceptCrashReport({entryId: sender, failureDomain, records, cleared, unconfirmed, withdrawn}: CrashReport): void {
		const {isForwarder, timer, log} = this.#options;
		const passedOn = {withdrawn: this.#unconfirmed.withdraw(withdrawn), unconfirmed: this.#holdUnconfirmed(unconfirmed)};
		if (passedOn.withdrawn.length + passedOn.unconfirmed.length > 0 && isForwarder(failureDomain)) {
			this.#send(passedOn);
		}

		const removed = cleared.filter(({fingerprint, ageMs}) => this.#register.recordCompletion(fingerprint, timer.now(), {isObserved: false, ageMs})).map(({fingerprint}) => fingerprint);
		for (const fingerprint of removed) {
			log.writeRequest('content.cleared', undefined, {content: fingerprint, reason: 'completed at another entry', peer: sender});
			void this.#records.delete(fingerprint);
		}

		if (removed.length > 0 && isForwarder(failureDomain)) {
			this.#send({cleared: removed});
		}

		const merged = this.#merge(records, sender);
		if (isForwarder(failureDomain)) {
			this.#share(merged.filter(({isChanged}) => isChanged).map(({record}) => record));
		}

		const answers = merged.filter(({record, received, isChanged}) => !(isChanged && isForwarder(failureDomain)) && hasMoreCrashes(record, received));
		if (answers.length > 0) {
			this.#send({records: answers.map(({record}) => record)}, sender);
		}
	}

	/** Sends the records that restrict runs to an entry that has just started. */
	handleEntryStarted(entryId: string): void {
		const records = this.#listCauseRecords();
		if (records.length > 0) {
			this.#send({records}, entryId);
		}
	}

	/** Merges the records that the store holds. */
	applyStored(stored: readonly StoredQuarantine[]): void {
		this.#records.applyStored(stored);
		this.#merge(stored.map(({record}) => record), 'store');
		this.#records.startWrites(this.#listCauseRecords());
	}

	/** True when a request that may run as a trial must not run here now. */
	#isTrialRefused(fingerprints: readonly string[], causes: readonly CrashCause[]): boolean {
		const suspects = listCandidates(causes).filter(fingerprint => fingerprints.includes(fingerprint));
		if (this.#options.isFirstServing()) {
			return suspects.some(fingerprint => this.#runs.has(fingerprint));
		}

		// Entries that have seen a completion answer the repeated record, in case their message was lost.
		for (const fingerprint of suspects) {
			this.#resends.set(fingerprint, Math.max(1, this.#resends.get(fingerprint) ?? 0));
		}

		return true;
	}

	/** Causes that the register and the attempts that this entry lost just now show. */
	#findCauses(): CrashCause[] {
		const unsettled = this.#listUnsettledCrashes();
		if (unsettled.size === 0) {
			return this.#findRecordedCauses();
		}

		const recorded = this.#register.listRestricting(this.#options.timer.now()).filter(({fingerprint}) => !unsettled.has(fingerprint));
		return findCrashCauses([...recorded, ...[...unsettled.keys()].map(fingerprint => ({fingerprint, crashes: this.#listCrashes(fingerprint, unsettled)}))]);
	}

	#findRecordedCauses(): CrashCause[] {
		const {version} = this.#register;
		if (this.#causes.version !== version) {
			this.#causes = {version, list: findCrashCauses(this.#register.listRestricting(this.#options.timer.now()))};
		}

		return this.#causes.list;
	}

	/** Attempts that this entry lost just now, as crashes by fingerprint; without fingerprints that have just completed. */
	#listUnsettledCrashes(): Map<string, FingerprintCrash[]> {
		const {detection, timer} = this.#options;
		const crashes = listCrashesByFingerprint(detection.listUnsettled());
		return new Map([...crashes].filter(([fingerprint]) => !this.#register.hasCompletedRecently(fingerprint, timer.now())));
	}

	#listCrashes(fingerprint: string, unsettled: ReadonlyMap<string, FingerprintCrash[]>): FingerprintCrash[] {
		return [...this.#register.getRecord(fingerprint, this.#options.timer.now())?.crashes ?? [], ...unsettled.get(fingerprint) ?? []];
	}

	/** Merges received records; returns those that are known now, and tells the other entries of those that have completed here. */
	#merge(records: readonly FingerprintRecord[], source: string): Array<{received: FingerprintRecord; record: FingerprintRecord; isChanged: boolean}> {
		const {timer, log} = this.#options;
		const now = timer.now();
		const completed = records.filter(record => this.#register.isRefutedHere(record, now));
		this.#shareClearing(completed.map(({fingerprint}) => fingerprint), 'completed here before');
		const merged = records.flatMap(received => {
			const {record, isChanged} = this.#register.mergeRecord(received, now);
			return record === undefined ? [] : [{received, record, isChanged}];
		});
		const changed = merged.filter(({isChanged}) => isChanged).map(({record}) => record);
		if (changed.length > 0) {
			log.writeRequest('content.crash_received', undefined, {source, records: changed.map(({fingerprint, crashes}) => ({content: fingerprint, crashes: crashes.length}))});
			this.#handleChange(changed, source);
		}

		return merged;
	}

	#handleChange(changed: readonly FingerprintRecord[], source: string): void {
		const {log, metrics} = this.#options;
		if (changed.length === 0) {
			return;
		}

		const causes = this.#findRecordedCauses().filter(({chainLength}) => chainLength >= chainLimit);
		const quarantined = new Set(listCandidates(causes));
		for (const cause of this.describeCauses([...quarantined].filter(fingerprint => !this.#quarantined.has(fingerprint)))) {
			metrics.countEvent('content.quarantined');
			const {fingerprint, ...fields} = cause;
			log.write('content.quarantined', {content: fingerprint, source, ...fields});
		}

		this.#quarantined = quarantined;
		this.#records.startWrites(this.#listCauseRecords());
	}

	#listCauseRecords(): FingerprintRecord[] {
		const now = this.#options.timer.now();
		return listCandidates(this.#findRecordedCauses()).map(fingerprint => this.#register.getRecord(fingerprint, now)).filter(record => record !== undefined);
	}

	#shareClearing(fingerprints: readonly string[], reason: string): void {
		for (const fingerprint of fingerprints) {
			this.#options.log.writeRequest('content.cleared', undefined, {content: fingerprint, reason});
			this.#resends.delete(fingerprint);
			this.#clearingResends.set(fingerprint, clearingResendCount);
			void this.#records.delete(fingerprint);
		}

		if (fingerprints.length > 0) {
			this.#send({cleared: fingerprints});
		}
	}

	#share(records: FingerprintRecord[]): void {
		if (records.length > 0) {
			this.#send({records});
		}

		for (const {fingerprint, crashes} of records) {
			this.#resends.set(fingerprint, crashes.length > 1 ? resendCounts.moreCrashes : resendCounts.firstCrash);
		}
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
			this.#send({records});
		}

		this.#resendClearings();
	}

	#resendClearings(): void {
		const cleared = [...this.#clearingResends.keys()].filter(fingerprint => this.#register.hasObservedCompletion(fingerprint, this.#options.timer.now()));
		for (const [fingerprint, left] of this.#clearingResends) {
			if (left > 1) {
				this.#clearingResends.set(fingerprint, left - 1);
			} else {
				this.#clearingResends.delete(fingerprint);
			}
		}

		if (cleared.length > 0) {
			this.#send({cleared});
		}
	}

	#resendWithdrawals(): void {
		const withdrawn = [...this.#withdrawalResends.keys()];
		for (const [attemptId, left] of this.#withdrawalResends) {
			if (left > 1) {
				this.#withdrawalResends.set(attemptId, left - 1);
			} else {
				this.#withdrawalResends.delete(attemptId);
			}
		}

		if (withdrawn.length > 0) {
			this.#send({withdrawn});
		}
	}

	/** Builds records of a lost attempt, and of those lost just before, for the fingerprints under which several servers were lost. */
	#buildEarlyReport({positions, attemptId}: LostAttempt): FingerprintRecord[] {
		const {detection, entryId, timer} = this.#options;
		const lost = listCrashesByFingerprint(detection.listUnsettled());
		return positions
			.map(({fingerprint}): FingerprintRecord => ({fingerprint, standing: 'suspect', crashes: selectOnePerServer(lost.get(fingerprint) ?? []).map(crash => ({...crash, entryId}))}))
			.filter(({fingerprint, crashes}) => {
				const known = this.#register.getRecord(fingerprint, timer.now())?.crashes ?? [];
				return crashes.some(crash => crash.attemptId === attemptId) && countCrashedServers([...known, ...crashes]) >= earlyReportLimit;
			});
	}

	/** Holds unconfirmed crashes of other entries; returns those that are new. */
	#holdUnconfirmed(records: readonly FingerprintRecord[]): FingerprintRecord[] {
		const {entryId, timer} = this.#options;
		// Entries that pass reports on also send them back to their origin.
		return this.#unconfirmed.add(records.map(record => ({...record, crashes: record.crashes.filter(crash => crash.entryId !== entryId)})), timer.now());
	}

	/** Counts the crashes of which the entry that lost the attempts has not told in time whether the servers have ended. */
	#acceptUnconfirmed(): void {
		const overdue = this.#unconfirmed.removeOverdue(this.#options.timer.now());
		const merged = this.#merge(overdue, 'not confirmed in time');
		this.#share(merged.filter(({isChanged}) => isChanged).map(({record}) => record));
	}

	#send({records = [], cleared = [], unconfirmed = [], withdrawn = []}: SentReport, recipientId?: string): void {
		const {entryId, failureDomain, sendCrashReport, timer} = this.#options;
		sendCrashReport({
			entryId, failureDomain, records, unconfirmed, withdrawn,
			cleared: cleared.map(fingerprint => ({fingerprint, ageMs: this.#register.getCompletionAgeMs(fingerprint, timer.now()) ?? 0})),
		}, recipientId);
	}
}

/** Content of a crash report, with the fingerprints that have completed. */
type SentReport = Partial<Pick<CrashReport, 'records' | 'unconfirmed' | 'withdrawn'>> & {cleared?: readonly string[]};

const listCrashesByFingerprint = (attempts: readonly LostAttempt[]): Map<string, FingerprintCrash[]> => {
	const crashes = new Map<string, FingerprintCrash[]>();
	for (const {positions, ...attempt} of attempts) {
		for (const {fingerprint, chainLength} of positions) {
			crashes.set(fingerprint, [...crashes.get(fingerprint) ?? [], {...attempt, chainLength, companions: []}]);
		}
	}

	return crashes;
};

/** Selects the first crash of each server. */
const selectOnePerServer = (crashes: readonly FingerprintCrash[]): FingerprintCrash[] =>
	[...new Map(crashes.toReversed().map(crash => [formatServer(crash), crash])).values()].toReversed();

const listCandidates = (causes: readonly CrashCause[]): string[] => causes.flatMap(({candidates}) => candidates.map(({fingerprint}) => fingerprint));

const refusalHandlers: Record<ContentDecision, (isTrialRefused: () => boolean) => boolean> = {
	[contentDecisions.run]: () => false,
	[contentDecisions.trial]: isTrialRefused => isTrialRefused(),
	[contentDecisions.refuse]: () => true,
};

const describeCrashes = (record: FingerprintRecord | undefined): DescribedCrash[] =>
	record?.crashes.map(({serverId, bootId, attemptId, entryId, chainLength}) => ({
		serverId, bootId, attemptId, entryId, chainLength,
	})) ?? [];
