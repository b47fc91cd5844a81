import {
	applyCompletion, applyCrash, applyCrashAttribution, applyRunEnd, crashLimit, listCrashAttributions,
	type FingerprintCrash, type FingerprintRecord, type FingerprintRun,
} from './fingerprint-record.js';

/** Answer to an entry that wants to run content. */
export type RunDecision =
	| {type: 'run'}
	/** The server must run nothing else; send only after the record was written. */
	| {type: 'run_alone'; record: FingerprintRecord}
	| {type: 'wait'; retryAfterMs: number}
	| {type: 'quarantined'};

/** Effect of a report: the record to write (undefined deletes it) and the content it clears. */
export type ReportEffect = {
	record: FingerprintRecord | undefined;
	crashAttributions: Array<{fingerprint: string; serverId: string; culprit: string}>;
};

/** Options of the table. */
export type FingerprintTableOptions = {
	/** Number of contents remembered as completed. */
	completedLimit?: number;
	/** Time in ms after which a run without a report counts as ended; at least the longest deadline. */
	runTimeoutMs?: number;
	/** Time in ms after which an entry asks again while another run is in progress. */
	waitMs?: number;
};

type OpenRun = FingerprintRun & {startedAt: number};

/**
 * Runs of the contents that this entry owns. Content that never completed runs on at most
 * `crashLimit` servers at a time, counting the servers it has already cost, so that copies of one
 * content sent at once cannot take down more.
 */
export class FingerprintTable {
	readonly #records = new Map<string, FingerprintRecord>();
	readonly #runs = new Map<string, OpenRun[]>();
	/** Contents that completed, oldest first. */
	readonly #completed = new Set<string>();
	readonly #completedLimit: number;
	readonly #runTimeoutMs: number;
	readonly #waitMs: number;

	constructor(options: FingerprintTableOptions = {}) {
		this.#completedLimit = options.completedLimit ?? 10_000;
		this.#runTimeoutMs = options.runTimeoutMs ?? 3_600_000;
		this.#waitMs = options.waitMs ?? 500;
	}

	/** Takes over records that another owner wrote; a run named in a record counts as open. */
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

	/** Decides whether content may run on a server now, and records the run if so. */
	startRun(fingerprint: string, run: FingerprintRun, now: number): RunDecision {
		const record = this.#records.get(fingerprint);
		if (record?.standing === 'quarantined') {
			return {type: 'quarantined'};
		}

		const open = this.#listOpenRuns(fingerprint, now);
		if (record !== undefined) {
			return open.length > 0 ? {type: 'wait', retryAfterMs: this.#waitMs} : this.#startAlone(record, run, now);
		}

		const servers = new Set([...open.map(other => other.serverId), run.serverId]);
		if (!this.#completed.has(fingerprint) && servers.size > crashLimit) {
			return {type: 'wait', retryAfterMs: this.#waitMs};
		}

		this.#runs.set(fingerprint, [...open, {...run, startedAt: now}]);
		return {type: 'run'};
	}

	/** Records a lost server. */
	recordCrash(fingerprint: string, crash: FingerprintCrash): ReportEffect {
		this.#removeRun(fingerprint, crash.attemptId);
		this.#completed.delete(fingerprint);
		const record = applyCrash(this.#records.get(fingerprint), fingerprint, crash);
		this.#records.set(fingerprint, record);
		return {record, crashAttributions: listCrashAttributions(record)};
	}

	/** Records a completed run. */
	recordCompletion(fingerprint: string, attemptId: string): ReportEffect {
		this.#removeRun(fingerprint, attemptId);
		const record = applyCompletion(this.#records.get(fingerprint), attemptId);
		if (record === undefined) {
			this.#addCompleted(fingerprint);
		}

		return this.#setRecord(fingerprint, record);
	}

	/** Records a run that ended without crash or completion. */
	recordRunEnd(fingerprint: string, attemptId: string): ReportEffect {
		this.#removeRun(fingerprint, attemptId);
		const record = this.#records.get(fingerprint);
		return this.#setRecord(fingerprint, record && applyRunEnd(record, attemptId));
	}

	/** Clears content whose crash is explained by other content. */
	recordCrashAttribution(fingerprint: string, crash: {serverId: string; culprit: string}): ReportEffect {
		return this.#setRecord(fingerprint, applyCrashAttribution(this.#records.get(fingerprint), crash));
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
		const left = (this.#runs.get(fingerprint) ?? []).filter(run => run.attemptId !== attemptId);
		if (left.length === 0) {
			this.#runs.delete(fingerprint);
		} else {
			this.#runs.set(fingerprint, left);
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
