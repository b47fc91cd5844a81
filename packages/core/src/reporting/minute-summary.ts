import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import {outcomeKinds, type OutcomeKind, type RefusalReason} from '../types/reasons.js';

/** Data of one finished request that the counters use. */
export type RequestFacts = {
	workspaceId: string;
	promptTokens: number;
	outcome: OutcomeKind;
	reason?: RefusalReason | undefined;
	/** Time in ms from arrival to the first token; undefined if the request ended before its first token. */
	firstTokenMs?: number | undefined;
	firstTokenTargetMs?: number | undefined;
	isLate: boolean;
};

/** Counters of one workspace over one or more periods. */
export type WorkspaceCounters = {
	/** Number of requests by outcome; outcomes that did not occur are absent. */
	outcomes: Partial<Record<OutcomeKind, number>>;
	/** Number of requests that did not complete, by reason. */
	reasons: Record<string, number>;
	/** Requests that ended after their deadline. */
	late: number;
	promptTokens: number;
	/** Counters by prompt-length class, see `computeLengthClass`. */
	classes: Record<string, ClassCounters>;
};

/** Time-to-first-token counters of one prompt-length class. */
export type ClassCounters = {
	requests: number;
	/** Requests with a target for the time to first token. */
	targeted: number;
	/** Requests among them whose first token met the target. */
	inTime: number;
	/** Histogram of the time to first token in ms, as compressed base64; undefined if no request had a first token. */
	firstToken?: string | undefined;
};

/** Version of the summary format; summaries of other versions are not counted. */
export const summaryVersion = 1;

/** Counters of one entry for one period. `sequence` starts at 0 in each epoch and increases by 1 per period. */
export type MinuteSummary = {
	version: typeof summaryVersion;
	entryId: string;
	epoch: string;
	sequence: number;
	/** Wall clock time in ms at the start and the end of the period. */
	from: number;
	to: number;
	/** True for the final summary that an entry writes at a planned stop. */
	isLast: boolean;
	/** Number of this part, from 0. A period with many workspaces is split into parts with different workspaces. */
	part: number;
	/** Number of parts of the period. */
	parts: number;
	workspaces: Record<string, WorkspaceCounters>;
};

/** Fields of a summary that describe its period and do not depend on requests. */
export type SummaryPeriod = Pick<MinuteSummary, 'entryId' | 'epoch' | 'sequence' | 'from' | 'to' | 'isLast'>;

/** Splits a summary into parts of at most `limitBytes` of JSON each. A single workspace above the limit still gets a part. */
export const splitSummary = (summary: MinuteSummary, limitBytes: number): MinuteSummary[] => {
	const available = limitBytes - countBytes({...summary, workspaces: {}}) - partNumberBytes;
	const groups: Array<Array<[string, WorkspaceCounters]>> = [[]];
	let used = 0;
	for (const entry of Object.entries(summary.workspaces)) {
		const size = countBytes(Object.fromEntries([entry])) + 1;
		if (used + size > available && used > 0) {
			groups.push([]);
			used = 0;
		}

		groups.at(-1)!.push(entry);
		used += size;
	}

	return groups.map((group, part) => ({
		...summary, part, parts: groups.length, workspaces: Object.fromEntries(group),
	}));
};

/** Bytes reserved for the digits of `part` and `parts`. */
const partNumberBytes = 20;

const countBytes = (value: unknown): number => new TextEncoder().encode(JSON.stringify(value)).length;

/** Computes the class of a prompt length. Limits rise by a factor of four: class n holds prompts below 4 ** (n + 1) thousand tokens. */
export const computeLengthClass = (promptTokens: number): number =>
	promptTokens < 4000 ? 0 : Math.floor((Math.log2(promptTokens / 1000) / 2) + 1e-9);

/** Counts the finished requests of one period, by workspace. */
export class MinuteCollector {
	readonly #workspaces = new Map<string, {counters: WorkspaceCounters; histograms: Map<number, Histogram>}>();

	record(facts: RequestFacts): void {
		const {counters, histograms} = this.#getWorkspace(facts.workspaceId);
		counters.outcomes[facts.outcome] = (counters.outcomes[facts.outcome] ?? 0) + 1;
		if (facts.outcome !== outcomeKinds.completed && facts.reason !== undefined) {
			counters.reasons[facts.reason] = (counters.reasons[facts.reason] ?? 0) + 1;
		}

		counters.late += facts.isLate ? 1 : 0;
		counters.promptTokens += facts.promptTokens;
		recordClass(counters, histograms, facts);
	}

	/** Returns the summary of the period and resets all counters for the next one. */
	close(period: SummaryPeriod): MinuteSummary {
		const workspaces = [...this.#workspaces].map(([workspaceId, {counters, histograms}]) => {
			for (const [lengthClass, histogram] of histograms) {
				counters.classes[lengthClass]!.firstToken = encodeIntoCompressedBase64(histogram);
			}

			return [workspaceId, counters] as const;
		});
		this.#workspaces.clear();
		return {
			version: summaryVersion, ...period, part: 0, parts: 1, workspaces: Object.fromEntries(workspaces),
		};
	}

	#getWorkspace(workspaceId: string) {
		const known = this.#workspaces.get(workspaceId);
		if (known !== undefined) {
			return known;
		}

		const created = {counters: createCounters(), histograms: new Map<number, Histogram>()};
		this.#workspaces.set(workspaceId, created);
		return created;
	}
}

const recordClass = (counters: WorkspaceCounters, histograms: Map<number, Histogram>, facts: RequestFacts): void => {
	const lengthClass = computeLengthClass(facts.promptTokens);
	counters.classes[lengthClass] ??= {requests: 0, targeted: 0, inTime: 0};
	const classCounters = counters.classes[lengthClass];
	classCounters.requests += 1;
	if (facts.firstTokenMs === undefined) {
		classCounters.targeted += facts.firstTokenTargetMs === undefined ? 0 : 1;
		return;
	}

	const histogram = histograms.get(lengthClass) ?? createHistogram();
	histograms.set(lengthClass, histogram);
	histogram.recordValue(Math.min(Math.max(Math.round(facts.firstTokenMs), 1), maxFirstTokenMs));
	if (facts.firstTokenTargetMs !== undefined) {
		classCounters.targeted += 1;
		classCounters.inTime += facts.firstTokenMs <= facts.firstTokenTargetMs ? 1 : 0;
	}
};

/** Creates the counters of a workspace without requests. */
export const createCounters = (): WorkspaceCounters => ({
	outcomes: {}, reasons: {}, late: 0, promptTokens: 0, classes: {},
});

/** Adds up the counters of two periods. Histograms are merged without loss. */
export const mergeCounters = (a: WorkspaceCounters, b: WorkspaceCounters): WorkspaceCounters => ({
	outcomes: addCounts(a.outcomes, b.outcomes),
	reasons: addCounts(a.reasons, b.reasons) as Record<string, number>,
	late: a.late + b.late,
	promptTokens: a.promptTokens + b.promptTokens,
	classes: mergeClasses(a.classes, b.classes),
});

/** Decodes the histogram of a class; undefined if no first token was recorded. */
export const readFirstTokenHistogram = (classCounters: ClassCounters): Histogram | undefined =>
	classCounters.firstToken === undefined ? undefined : decodeFromCompressedBase64(classCounters.firstToken, 32);

const mergeClasses = (a: Record<string, ClassCounters>, b: Record<string, ClassCounters>): Record<string, ClassCounters> => {
	const merged = {...a};
	for (const [lengthClass, classCounters] of Object.entries(b)) {
		const known = merged[lengthClass];
		merged[lengthClass] = known === undefined ? classCounters : mergeClass(known, classCounters);
	}

	return merged;
};

const mergeClass = (a: ClassCounters, b: ClassCounters): ClassCounters => ({
	requests: a.requests + b.requests,
	targeted: a.targeted + b.targeted,
	inTime: a.inTime + b.inTime,
	firstToken: mergeHistograms(a, b),
});

const mergeHistograms = (a: ClassCounters, b: ClassCounters): string | undefined => {
	const histogram = readFirstTokenHistogram(a);
	const other = readFirstTokenHistogram(b);
	if (histogram === undefined || other === undefined) {
		return a.firstToken ?? b.firstToken;
	}

	histogram.add(other);
	return encodeIntoCompressedBase64(histogram);
};

const addCounts = (a: Partial<Record<string, number>>, b: Partial<Record<string, number>>): Partial<Record<string, number>> => {
	const sum = {...a};
	for (const [key, count] of Object.entries(b)) {
		sum[key] = (sum[key] ?? 0) + (count ?? 0);
	}

	return sum;
};

/** Upper end of the histogram, one hour; longer times are recorded as one hour. */
const maxFirstTokenMs = 3_600_000;

const createHistogram = (): Histogram => build({
	bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: maxFirstTokenMs, numberOfSignificantValueDigits: 2,
});
