import type {Plan, Workspace} from '../types/configuration.js';
import {outcomeKinds, refusalReasons} from '../types/reasons.js';
import {
	createCounters, mergeCounters, readFirstTokenHistogram,
	type MinuteSummary, type WorkspaceCounters,
} from './minute-summary.js';

/** A period for which an entry that served left no summary; times are wall clock ms. */
export type CoverageGap = {entryId: string; epoch: string; from: number; to: number};

/** One prompt-length class of one workspace. */
export type ReportClass = {
	lengthClass: number;
	requests: number;
	/** Share of requests with a target whose first token was in time; undefined without targets. */
	inTimeShare: number | undefined;
	/** Time to first token in ms that 95% of requests stayed within. */
	firstTokenP95Ms: number | undefined;
	/** Median time to first token in ms. */
	firstTokenP50Ms: number | undefined;
	/** Targets in ms that the plan has for prompts of this class, in order of prompt length. */
	targetsMs: number[];
};

/** One workspace against its plan. */
export type ReportRow = {
	workspaceId: string;
	planId: string | undefined;
	requests: number;
	/** Requests that were not refused. */
	admitted: number;
	completed: number;
	failed: number;
	/** Refused because the workspace asked for more than its plan permits. */
	outsidePlan: number;
	/** Refused or failed for a reason that is the system's. */
	missed: number;
	unknown: number;
	late: number;
	inTimeShare: number | undefined;
	classes: ReportClass[];
	reasons: Record<string, number>;
	wentWell: boolean;
};

/** The page of one day. */
export type DayReport = {
	day: string;
	wentWell: boolean;
	/** True when there are figures and no part of them is known to be missing. */
	isCovered: boolean;
	/** First sentence of the page. */
	sentence: string;
	rows: ReportRow[];
	/** Prompt-length classes over all workspaces; without targets, which differ by plan. */
	classes: ReportClass[];
	/** What could not be read, in words; a day with such an entry is not reported as one that went well. */
	missing: string[];
	/** Periods without figures; a day with such a period is not reported as one that went well. */
	gaps: CoverageGap[];
};

/** Input of the report of one day. */
export type DayReportInput = {
	day: string;
	/** Wall clock time in ms of start and end. */
	from: number;
	to: number;
	summaries: readonly MinuteSummary[];
	/** Sessions known to have served in the day, with the time since when; an entry without any summary shows up by this. */
	sessions?: ReadonlyArray<{entryId: string; epoch: string; from: number}> | undefined;
	workspaces: readonly Workspace[];
	plans: readonly Plan[];
	/** What could not be read, in words. */
	missing?: readonly string[] | undefined;
};

/** Share of first tokens in time from which a workspace counts as well served. */
export const inTimeGoal = 0.95;

/** Reasons that are the caller's or the plan's, not the system's. */
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

/** True for a reason that is the caller's or the plan's, not the system's. */
export const isCallerReason = (reason: string): boolean => callerReasons.has(reason);

/** Selects each summary once, so that a summary that was written or read twice is counted once. */
export const selectDistinctSummaries = (summaries: readonly MinuteSummary[]): MinuteSummary[] => {
	const distinct = new Map(summaries.map(summary => [JSON.stringify([summary.entryId, summary.epoch, summary.sequence, summary.part]), summary]));
	return [...distinct.values()];
};

/** Adds up the counters of all summaries by workspace. */
export const mergeSummaries = (summaries: readonly MinuteSummary[]): Map<string, WorkspaceCounters> => {
	const totals = new Map<string, WorkspaceCounters>();
	for (const summary of selectDistinctSummaries(summaries)) {
		for (const [workspaceId, counters] of Object.entries(summary.workspaces)) {
			totals.set(workspaceId, mergeCounters(totals.get(workspaceId) ?? createCounters(), counters));
		}
	}

	return totals;
};

/** Lists the periods in which an entry served but left no summary. */
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
		const group = byEpoch.get(key) ?? {
			entryId, epoch, from: summary.from, summaries: [],
		};
		group.from = Math.min(group.from, summary.from);
		group.summaries.push(summary);
		byEpoch.set(key, group);
	}

	const groups = [...byEpoch.values()];
	return groups.flatMap(group => {
		const nextStart = Math.min(input.to, ...groups.filter(({entryId, from}) => entryId === group.entryId && from > group.from).map(({from}) => from));
		return listGapsOfEpoch(group, input.from, nextStart);
	});
};

/** Builds the report of one day. */
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
 * Without a last summary the entry ended without a planned stop at an unknown time, so the time after it is shown
 * as not covered, at most until the next epoch of the entry: an entry id names one process at a time.
 */
const listGapsOfEpoch = ({entryId, epoch, from, summaries}: EpochCoverage, dayFrom: number, dayTo: number): CoverageGap[] => {
	const ordered = selectCompletePeriods(summaries).toSorted((a, b) => a.sequence - b.sequence);
	const gaps: CoverageGap[] = [];
	const first = ordered[0];
	// Earlier summaries of the process exist, and one that ends this late would have been written on this day.
	const isStartMissing = first !== undefined && first.sequence > 0 && first.from - dayFrom > longestPeriodMs;
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

/** Entries count in periods of one minute; timers can be late. */
const longestPeriodMs = 120_000;

/** A period of which a part is missing is not covered. */
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
	const targeted = computeSum(Object.values(counters.classes).map(group => group.targeted));
	const inTime = computeSum(Object.values(counters.classes).map(group => group.inTime));
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
	Object.entries(counters.classes).map(([lengthClass, group]) => buildClass(Number(lengthClass), group, plan));

const buildClass = (lengthClass: number, group: WorkspaceCounters['classes'][string], plan: Plan | undefined): ReportClass => ({
	lengthClass,
	requests: group.requests,
	inTimeShare: group.targeted === 0 ? undefined : group.inTime / group.targeted,
	firstTokenP95Ms: readFirstTokenHistogram(group)?.getValueAtPercentile(95),
	firstTokenP50Ms: readFirstTokenHistogram(group)?.getValueAtPercentile(50),
	targetsMs: plan ? listTargets(plan, lengthClass) : [],
});

/** Targets that apply within a class, in order of prompt length. */
const listTargets = ({firstTokenTargets}: Plan, lengthClass: number): number[] => {
	// A prompt of exactly the lower limit of a class can have the target of the class below; it is left out here.
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
