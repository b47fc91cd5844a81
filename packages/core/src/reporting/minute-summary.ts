import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import {outcomeKinds, type OutcomeKind, type RefusalReason} from '../types/reasons.js';

/** Final facts of one request. */
export type RequestFacts = {
	workspaceId: string;
	promptTokens: number;
	outcome: OutcomeKind;
	reason?: RefusalReason | undefined;
	/** Time in ms from arrival to the first token. */
	firstTokenMs?: number | undefined;
	firstTokenTargetMs?: number | undefined;
	isLate: boolean;
};

/** Counters of one workspace in one period. */
export type WorkspaceCounters = {
	/** Number of requests by outcome; outcomes that did not occur are absent. */
	outcomes: Partial<Record<OutcomeKind, number>>;
	/** Number of refusals and failures by reason. */
	reasons: Record<string, number>;
	/** Requests that ended after their deadline. */
	late: number;
	promptTokens: number;
	/** By prompt-length class, see `computeLengthClass`. */
	classes: Record<string, ClassCounters>;
};

/** First tokens of one prompt-length class. */
export type ClassCounters = {
	requests: number;
	/** Requests with a target, and those among them whose first token was in time. */
	targeted: number;
	inTime: number;
	/** Histogram of the time to first token in ms, as compressed base64; absent without a first token. */
	firstToken?: string | undefined;
};

/** Version of the format of summaries; a summary of another version is not counted. */
export const summaryVersion = 1;

/** What one entry counted in one period; `sequence` starts at 0 for each epoch and rises by 1. */
export type MinuteSummary = {
	version: typeof summaryVersion;
	entryId: string;
	epoch: string;
	sequence: number;
	/** Wall clock time in ms at the start and the end of the period. */
	from: number;
	to: number;
	/** True for the last summary of a planned stop. */
	isLast: boolean;
	/** A period with many workspaces is written in several parts, each with other workspaces; numbers start at 0. */
	part: number;
	parts: number;
	workspaces: Record<string, WorkspaceCounters>;
};

/** Identifies the period of a summary. */
export type SummaryPeriod = Pick<MinuteSummary, 'entryId' | 'epoch' | 'sequence' | 'from' | 'to' | 'isLast'>;

/** Splits a summary into parts whose JSON has at most `limitBytes`; a part holds at least one workspace. */
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

/** Room for the digits of `part` and `parts`. */
const partNumberBytes = 20;

const countBytes = (value: unknown): number => new TextEncoder().encode(JSON.stringify(value)).length;

/** Prompt-length classes in tokens are powers of four: class n holds prompts below 4 ** (n + 1) thousand. */
export const computeLengthClass = (promptTokens: number): number =>
	promptTokens < 4000 ? 0 : Math.floor((Math.log2(promptTokens / 1000) / 2) + 1e-9);

/** Collects the requests of one period. */
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

	/** Builds the summary of the period and starts the next one. */
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
	const group = counters.classes[lengthClass];
	group.requests += 1;
	if (facts.firstTokenMs === undefined) {
		group.targeted += facts.firstTokenTargetMs === undefined ? 0 : 1;
		return;
	}

	const histogram = histograms.get(lengthClass) ?? createHistogram();
	histograms.set(lengthClass, histogram);
	histogram.recordValue(Math.min(Math.max(Math.round(facts.firstTokenMs), 1), longestFirstTokenMs));
	if (facts.firstTokenTargetMs !== undefined) {
		group.targeted += 1;
		group.inTime += facts.firstTokenMs <= facts.firstTokenTargetMs ? 1 : 0;
	}
};

/** Counters of a workspace without requests. */
export const createCounters = (): WorkspaceCounters => ({
	outcomes: {}, reasons: {}, late: 0, promptTokens: 0, classes: {},
});

/** Adds the counters of another period. The result holds exactly what both hold. */
export const mergeCounters = (a: WorkspaceCounters, b: WorkspaceCounters): WorkspaceCounters => ({
	outcomes: addCounts(a.outcomes, b.outcomes),
	reasons: addCounts(a.reasons, b.reasons) as Record<string, number>,
	late: a.late + b.late,
	promptTokens: a.promptTokens + b.promptTokens,
	classes: mergeClasses(a.classes, b.classes),
});

/** Reads the histogram of a class; undefined when no first token was recorded. */
export const readFirstTokenHistogram = (group: ClassCounters): Histogram | undefined =>
	group.firstToken === undefined ? undefined : decodeFromCompressedBase64(group.firstToken, 32);

const mergeClasses = (a: Record<string, ClassCounters>, b: Record<string, ClassCounters>): Record<string, ClassCounters> => {
	const merged = {...a};
	for (const [lengthClass, group] of Object.entries(b)) {
		const known = merged[lengthClass];
		merged[lengthClass] = known === undefined ? group : mergeClass(known, group);
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

/** One hour; longer times are counted as one hour. */
const longestFirstTokenMs = 3_600_000;

const createHistogram = (): Histogram => build({
	bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: longestFirstTokenMs, numberOfSignificantValueDigits: 2,
});
