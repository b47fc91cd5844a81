import type {Plan, Workspace} from '../types/configuration.js';
import {outcomeKinds, refusalReasons} from '../types/reasons.js';
import {
	createCounters, mergeCounters, readFirstTokenHistogram,
	type MinuteSummary, type WorkspaceCounters,
} from './minute-summary.js';

/** A period in which an entry served but stored no summary; wall clock times in ms. */
export type CoverageGap = {entryId: string; epoch: string; from: number; to: number};

/** Figures of one prompt-length class, for one workspace or for all of them. */
export type ReportClass = {
	lengthClass: number;
	requests: number;
	/** Share (0 to 1) of the requests with a target whose first token met it; undefined if no request had a target. */
	inTimeShare: number | undefined;
	/** 95th percentile of the time to first token in ms. */
	firstTokenP95Ms: number | undefined;
	/** Median time to first token in ms. */
	firstTokenP50Ms: number | undefined;
	/** Targets in ms for the time to first token that the plan sets for this class, in order of prompt length. */
	targetsMs: number[];
};

/** Figures of one workspace, measured against its plan. */
export type ReportRow = {
	workspaceId: string;
	planId: string | undefined;
	requests: number;
	/** Requests with an outcome other than `not_run`. */
	admitted: number;
	completed: number;
	failed: number;
	/** Requests whose reason lies with the caller or the plan, see `isCallerReason`. */
	outsidePlan: number;
	/** Requests that did not complete for a reason that lies with the system. */
	missed: number;
	unknown: number;
	/** Requests that ended after their deadline. */
	late: number;
	inTimeShare: number | undefined;
	classes: ReportClass[];
	reasons: Record<string, number>;
	/** True when no request was missed or late and `inTimeShare` reached `inTimeGoal`. */
	wentWell: boolean;
};

/** Report of one day, as rendered by the `report` command. */
export type DayReport = {
	day: string;
	/** True when all workspaces went well and the figures of the day are complete. */
	wentWell: boolean;
	/** True when there are figures for the day and none are known to be missing. */
	isCovered: boolean;
	/** First sentence of the report. */
	sentence: string;
	rows: ReportRow[];
	/** Prompt-length classes over all workspaces. `targetsMs` is empty, because targets differ by plan. */
	classes: ReportClass[];
	/** Descriptions of data that could not be read. If there are any, `wentWell` is false. */
	missing: string[];
	/** Periods without figures. If there are any, `wentWell` is false. */
	gaps: CoverageGap[];
};

/** Input of `buildDayReport`. */
export type DayReportInput = {
	day: string;
	/** Start and end of the day as wall clock times in ms. */
	from: number;
	to: number;
	summaries: readonly MinuteSummary[];
	/** Sessions that served on the day and the start of each. They reveal an entry that stored no summary at all. */
	sessions?: ReadonlyArray<{entryId: string; epoch: string; from: number}> | undefined;
	workspaces: readonly Workspace[];
	plans: readonly Plan[];
	/** Descriptions of data that could not be read. */
	missing?: readonly string[] | undefined;
};

/** Smallest `inTimeShare` with which a workspace counts as having gone well. */
export const inTimeGoal = 0.95;

/** Reasons that lie with the caller or the limits of its plan. */
const callerReasons: ReadonlySet<string> = new Set([
	refusalReasons.badRequest,
	refusalReasons.bodyTooLarge,
	refusalReasons.requestTimeout,
	refusalReasons.unauthenticated,
	refusalReasons.wrongWorkspace,
	refusalReasons.unknownModel,
	refusalReasons.unknownService,
	refusalReasons.notFound,
	refusalReasons.modelNotInPlan,
	refusalReasons.promptTooLong,
	refusalReasons.requestRateExceeded,
	refusalReasons.tokenRateExceeded,
	refusalReasons.concurrencyExceeded,
	refusalReasons.quarantined,
	refusalReasons.idempotencyKeyMissing,
	refusalReasons.idempotencyKeyReused,
	refusalReasons.claimInProgress,
	refusalReasons.callerGone,
]);

/** True for a refusal reason that lies with the caller or the limits of its plan, not with the system. */
export const isCallerReason = (reason: string): boolean => callerReasons.has(reason);

/** Removes duplicates of summaries that were written or read more than once, so that each is counted once. */
export const selectDistinctSummaries = (summaries: readonly MinuteSummary[]): MinuteSummary[] => {
	const distinct = new Map(summaries.map(summary => [JSON.stringify([summary.entryId, summary.epoch, summary.sequence, summary.part]), summary]));
	return [...distinct.values()];
};

/** Adds up the counters of all distinct summaries, by workspace id. */
export const mergeSummaries = (summaries: readonly MinuteSummary[]): Map<string, WorkspaceCounters> => {
	const totals = new Map<string, WorkspaceCounters>();
	for (const summary of selectDistinctSummaries(summaries)) {
		for (const [workspaceId, counters] of Object.entries(summary.workspaces)) {
			totals.set(workspaceId, mergeCounters(totals.get(workspaceId) ?? createCounters(), counters));
		}
	}

	return totals;
};

/** Lists the periods in which an entry served but stored no complete summary. */
export const listCoverageGaps = (input: Pick<DayReportInput, 'from' | 'to' | 'summaries' | 'sessions'>): CoverageGap[] => {
	const byEpoch = new Map<string, {entryId: string; epoch: string; from: number; summaries: MinuteSummary[]}>();
	for (const {entryId, epoch, from} of input.sessions ?? []) {
		byEpoch.set(JSON.stringify([entryId, epoch]), {
			entryId, epoch, from, summaries: [],
		});
	}

	for (const summary of selectDistinctSummaries(input.summaries)) {
		const {entryId, epoch} = summary;
		const key = JSON.stringify([entryId, epoch]);
		const coverage = byEpoch.get(key) ?? {
			entryId, epoch, from: summary.from, summaries: [],
		};
		coverage.from = Math.min(coverage.from, summary.from);
		coverage.summaries.push(summary);
		byEpoch.set(key, coverage);
	}

	const epochs = [...byEpoch.values()];
	return epochs.flatMap(coverage => {
		const nextStart = Math.min(input.to, ...epochs.filter(({entryId, from}) => entryId === coverage.entryId && from > coverage.from).map(({from}) => from));
		return listGapsOfEpoch(coverage, input.from, nextStart);
	});
};

/** Builds the report of one day, with a row for each configured or counted workspace. */
export const buildDayReport = (input: DayReportInput): DayReport => {
	const totals = mergeSummaries(input.summaries);
	const workspaceIds = new Set([...input.workspaces.map(workspace => workspace.id), ...totals.keys()]);
	const rows = [...workspaceIds].sort().map(workspaceId => buildRow(workspaceId, totals.get(workspaceId) ?? createCounters(), input));
	const gaps = listCoverageGaps(input);
	const failed = rows.filter(row => !row.wentWell);
	const missing = [...input.missing ?? []];
	const isCovered = gaps.length === 0 && missing.length === 0 && input.summaries.length > 0;
	return {
		day: input.day,
		wentWell: failed.length === 0 && isCovered,
		isCovered,
		sentence: input.summaries.length === 0
			? `Whether ${input.day} went well is not certain: there are no figures of this day.`
			: describeDay(input.day, rows.length, failed.map(row => row.workspaceId), isCovered),
		rows,
		classes: buildClasses(mergeAllCounters(totals.values()), undefined),
		missing,
		gaps,
	};
};

const describeDay = (day: string, count: number, failed: string[], isCovered: boolean): string => {
	if (failed.length > 0) {
		const addition = isCovered ? '' : ', and part of the day is not covered by figures';
		return `${day} did not go well for ${failed.length} of ${count} workspaces (${failed.slice(0, 5).join(', ')}${failed.length > 5 ? ', ...' : ''})${addition}.`;
	}

	return isCovered
		? `${day} went well for all ${count} workspaces.`
		: `Whether ${day} went well is not certain: part of the day is not covered by figures, and the figures that exist show no failure.`;
};

type EpochCoverage = {entryId: string; epoch: string; from: number; summaries: MinuteSummary[]};

/**
 * Lists the gaps of one epoch. Without a summary marked `isLast`, the entry crashed at an unknown time, so the time after
 * its final summary is a gap. This gap ends at the next epoch of the entry, because an entry id names one process at a time.
 */
const listGapsOfEpoch = ({entryId, epoch, from, summaries}: EpochCoverage, dayFrom: number, dayTo: number): CoverageGap[] => {
	const ordered = selectCompletePeriods(summaries).toSorted((a, b) => a.sequence - b.sequence);
	const gaps: CoverageGap[] = [];
	const first = ordered[0];
	// The sequence shows that earlier summaries were written. The last of them ended more than one period after `dayFrom`,
	// so it belongs to this day and is missing.
	const isStartMissing = first !== undefined && first.sequence > 0 && first.from - dayFrom > maxPeriodMs;
	let coveredTo = isStartMissing ? dayFrom : Math.max(from, dayFrom);
	for (const summary of ordered) {
		if (summary.from > coveredTo) {
			gaps.push({
				entryId, epoch, from: coveredTo, to: summary.from,
			});
		}

		coveredTo = Math.max(coveredTo, summary.to);
	}

	if (!ordered.at(-1)?.isLast && coveredTo < dayTo) {
		gaps.push({
			entryId, epoch, from: coveredTo, to: dayTo,
		});
	}

	return gaps;
};

/** Upper bound of a summary period in ms: entries summarize each minute, and timers can fire late. */
const maxPeriodMs = 120_000;

/** Selects the summaries of periods with all parts; a period with a missing part counts as a gap. */
const selectCompletePeriods = (summaries: readonly MinuteSummary[]): MinuteSummary[] => {
	const counts = new Map<number, number>();
	for (const {sequence} of summaries) {
		counts.set(sequence, (counts.get(sequence) ?? 0) + 1);
	}

	return summaries.filter(({sequence, parts}) => counts.get(sequence) === parts);
};

const buildRow = (workspaceId: string, counters: WorkspaceCounters, input: DayReportInput): ReportRow => {
	const planId = input.workspaces.find(workspace => workspace.id === workspaceId)?.plan;
	const plan = input.plans.find(({id}) => id === planId);
	const requests = computeSum(Object.values(counters.outcomes));
	const outsidePlan = computeSum(Object.entries(counters.reasons).filter(([reason]) => callerReasons.has(reason)).map(([, count]) => count));
	const completed = counters.outcomes[outcomeKinds.completed] ?? 0;
	const missed = Math.max(requests - completed - outsidePlan, 0);
	const targeted = computeSum(Object.values(counters.classes).map(classCounters => classCounters.targeted));
	const inTime = computeSum(Object.values(counters.classes).map(classCounters => classCounters.inTime));
	const inTimeShare = targeted === 0 ? undefined : inTime / targeted;
	return {
		workspaceId,
		planId,
		requests,
		admitted: requests - (counters.outcomes[outcomeKinds.notRun] ?? 0),
		completed,
		failed: counters.outcomes[outcomeKinds.failed] ?? 0,
		outsidePlan,
		missed,
		unknown: counters.outcomes[outcomeKinds.unknown] ?? 0,
		late: counters.late,
		inTimeShare,
		classes: buildClasses(counters, plan),
		reasons: counters.reasons,
		wentWell: missed === 0 && counters.late === 0 && (inTimeShare ?? 1) >= inTimeGoal,
	};
};

const mergeAllCounters = (all: Iterable<WorkspaceCounters>): WorkspaceCounters => {
	let total = createCounters();
	for (const counters of all) {
		total = mergeCounters(total, counters);
	}

	return total;
};

const buildClasses = (counters: WorkspaceCounters, plan: Plan | undefined): ReportClass[] =>
	Object.entries(counters.classes).map(([lengthClass, classCounters]) => buildClass(Number(lengthClass), classCounters, plan));

const buildClass = (lengthClass: number, classCounters: WorkspaceCounters['classes'][string], plan: Plan | undefined): ReportClass => ({
	lengthClass,
	requests: classCounters.requests,
	inTimeShare: classCounters.targeted === 0 ? undefined : classCounters.inTime / classCounters.targeted,
	firstTokenP95Ms: readFirstTokenHistogram(classCounters)?.getValueAtPercentile(95),
	firstTokenP50Ms: readFirstTokenHistogram(classCounters)?.getValueAtPercentile(50),
	targetsMs: plan ? listTargets(plan, lengthClass) : [],
});

/** Lists the time-to-first-token targets in ms that apply within a prompt-length class, in order of prompt length. */
const listTargets = ({firstTokenTargets}: Plan, lengthClass: number): number[] => {
	// A prompt of exactly `lower` tokens can have a target of the class below. That target is left out.
	const lower = lengthClass === 0 ? 0 : 1000 * (4 ** lengthClass);
	const upper = 1000 * (4 ** (lengthClass + 1));
	const first = firstTokenTargets.findIndex(({upToTokens}) => upToTokens === undefined || upToTokens > lower);
	const last = firstTokenTargets.findIndex(({upToTokens}) => upToTokens === undefined || upToTokens >= upper - 1);
	return first === -1 ? [] : firstTokenTargets.slice(first, last === -1 ? undefined : last + 1).map(({targetMs}) => targetMs);
};

const computeSum = (values: Iterable<number>): number => {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
};
