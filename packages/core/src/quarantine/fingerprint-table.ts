import {
	applyCompletion, applyCrash, applyCrashAttribution, applyRunEnd, crashLimit, listCrashAttributions,
	type FingerprintCrash, type FingerprintRecord, type FingerprintRun,
} from './fingerprint-record.js';

/** Decision on whether a request may run; `quarantined` means that its fingerprint is no longer run. */
export type RunDecision =
	| {type: 'run'}
	/** The server must run nothing else at the same time. The record must be written before the request is sent. */
	| {type: 'run_alone'; record: FingerprintRecord}
	| {type: 'wait'; retryAfterMs: number}
	| {type: 'quarantined'};

/** Effect of a report: the record to write (undefined deletes it) and the crashes of other fingerprints that it explains. */
export type ReportEffect = {
	record: FingerprintRecord | undefined;
	crashAttributions: Array<{fingerprint: string; serverId: string; culprit: string}>;
};

/** Limits of the table; the defaults suit deadlines of up to one hour. */
export type FingerprintTableOptions = {
	/** Number of completed fingerprints to remember. */
	completedLimit?: number;
	/** Time in ms after which a run without a report counts as ended; must not be shorter than the longest deadline. */
	runTimeoutMs?: number;
	/** Retry delay in ms of a `wait` decision, given while other runs are in progress. */
	waitMs?: number;
};

type OpenRun = FingerprintRun & {startedAt: number};

/**
 * Runs and crash records of the fingerprints that this entry owns. A fingerprint that never completed runs on at most
 * `crashLimit` servers at a time, so that concurrent copies of a request cannot crash more. An earlier crash counts
 * towards this limit, so after it the fingerprint runs on one server at a time.
 */
export class FingerprintTable {
	readonly #records = new Map<string, FingerprintRecord>();
	readonly #runs = new Map<string, OpenRun[]>();
	/** Completed fingerprints, least recently completed first. */
	readonly #completed = new Set<string>();
	readonly #completedLimit: number;
	readonly #runTimeoutMs: number;
	readonly #waitMs: number;

	constructor(options: FingerprintTableOptions = {}) {
		this.#completedLimit = options.completedLimit ?? 10_000;
		this.#runTimeoutMs = options.runTimeoutMs ?? 3_600_000;
		this.#waitMs = options.waitMs ?? 500;
	}

	/** Loads records written by another owner. A run named in a record counts as in progress. */
	load(records: readonly FingerprintRecord[], now: number): void {
		for (const record of records) {
			this.#records.set(record.fingerprint, record);
			if (record.run !== undefined) {
				this.#runs.set(record.fingerprint, [{...record.run, startedAt: now}]);
			}
		}
	}

	getRecord(fingerprint: string): FingerprintRecord | undefined {
		return this.#records.get(fingerprint);
	}

	/** Decides whether a request with this fingerprint may run on a server now, and if so records the run. */
	startRun(fingerprint: string, run: FingerprintRun, now: number): RunDecision {
		const record = this.#records.get(fingerprint);
		if (record?.standing === 'quarantined') {
			return {type: 'quarantined'};
		}

		const openRuns = this.#listOpenRuns(fingerprint, now);
		if (record !== undefined) {
			return openRuns.length > 0 ? {type: 'wait', retryAfterMs: this.#waitMs} : this.#startAlone(record, run, now);
		}

		const servers = new Set([...openRuns.map(other => other.serverId), run.serverId]);
		if (!this.#completed.has(fingerprint) && servers.size > crashLimit) {
			return {type: 'wait', retryAfterMs: this.#waitMs};
		}

		this.#runs.set(fingerprint, [...openRuns, {...run, startedAt: now}]);
		return {type: 'run'};
	}

	/** Records that a server crashed while it ran this fingerprint. */
	recordCrash(fingerprint: string, crash: FingerprintCrash): ReportEffect {
		this.#removeRun(fingerprint, crash.attemptId);
		this.#completed.delete(fingerprint);
		const record = this.#addOpenRun(applyCrash(this.#records.get(fingerprint), fingerprint, crash));
		this.#records.set(fingerprint, record);
		return {record, crashAttributions: listCrashAttributions(record)};
	}

	/** Records a completed run; clears the fingerprint unless it is quarantined. */
	recordCompletion(fingerprint: string, attemptId: string): ReportEffect {
		this.#removeRun(fingerprint, attemptId);
		const record = applyCompletion(this.#records.get(fingerprint), attemptId);
		if (record === undefined) {
			this.#addCompleted(fingerprint);
		}

		return this.#setRecord(fingerprint, record);
	}

	/** Records a run that ended without a crash and without completion. */
	recordRunEnd(fingerprint: string, attemptId: string): ReportEffect {
		this.#removeRun(fingerprint, attemptId);
		const record = this.#records.get(fingerprint);
		return this.#setRecord(fingerprint, record && this.#addOpenRun(applyRunEnd(record, attemptId)));
	}

	/** Records that a crash is explained by another fingerprint, the culprit. */
	recordCrashAttribution(fingerprint: string, crash: {serverId: string; culprit: string}): ReportEffect {
		return this.#setRecord(fingerprint, applyCrashAttribution(this.#records.get(fingerprint), crash));
	}

	/** Names a run that began before the first crash in the record, so that the next owner knows of it. */
	#addOpenRun(record: FingerprintRecord): FingerprintRecord {
		const [open] = this.#runs.get(record.fingerprint) ?? [];
		return record.run !== undefined || open === undefined ? record : {...record, run: {attemptId: open.attemptId, serverId: open.serverId}};
	}

	#startAlone(record: FingerprintRecord, run: FingerprintRun, now: number): RunDecision {
		const started = {...record, run};
		this.#records.set(record.fingerprint, started);
		this.#runs.set(record.fingerprint, [{...run, startedAt: now}]);
		return {type: 'run_alone', record: started};
	}

	#setRecord(fingerprint: string, record: FingerprintRecord | undefined): ReportEffect {
		if (record === undefined) {
			this.#records.delete(fingerprint);
		} else {
			this.#records.set(fingerprint, record);
		}

		return {record, crashAttributions: []};
	}

	#listOpenRuns(fingerprint: string, now: number): OpenRun[] {
		const runs = this.#runs.get(fingerprint) ?? [];
		return runs.filter(run => now - run.startedAt < this.#runTimeoutMs);
	}

	#removeRun(fingerprint: string, attemptId: string): void {
		const remaining = (this.#runs.get(fingerprint) ?? []).filter(run => run.attemptId !== attemptId);
		if (remaining.length === 0) {
			this.#runs.delete(fingerprint);
		} else {
			this.#runs.set(fingerprint, remaining);
		}
	}

	#addCompleted(fingerprint: string): void {
		this.#completed.delete(fingerprint);
		this.#completed.add(fingerprint);
		if (this.#completed.size > this.#completedLimit) {
			const [oldest] = this.#completed;
			this.#completed.delete(oldest!);
		}
	}
}
