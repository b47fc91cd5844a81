import {build as buildHistogram} from 'hdr-histogram-js';
import {findLengthClass, longFromTokens, promptLengthClasses} from './load-trace.js';
import type {RequestResult} from './simulation-world.js';

/** Requests of one length class, with their times to first token in ms. */
export type ClassFigures = {
	name: string;
	requests: number;
	completed: number;
	medianMs: number;
	p95Ms: number;
	maxMs: number;
};

/** Number of refusals with one reason, and the times in ms from sending a request to its refusal. */
export type RefusalFigures = {reason: string; count: number; medianMs: number; maxMs: number};

/** Prompt tokens of one workspace: offered, completed within the deadline, and its max-min fair share of all completed tokens. */
export type WorkspaceFigures = {workspaceId: string; offeredTokens: number; servedTokens: number; entitledTokens: number};

/** Figures of one run; `completed` and the rates count only requests that completed within their deadline. */
export type RunFigures = {
	requests: number;
	completed: number;
	classes: ClassFigures[];
	/** Requests and tokens per second that finished within their deadline during the trace. */
	goodRequestsPerSecond: number;
	goodTokensPerSecond: number;
	refusals: RefusalFigures[];
	/** Number of requests that failed after a backend server had started them, by reason. */
	failures: Record<string, number>;
	/** Requests that completed or failed at or after their deadline. */
	late: number;
	/** Long prompts that were not refused but did not complete within their deadline. */
	starvedLong: number;
	admittedLong: number;
	refusedLong: number;
	/** Jain's fairness index of the ratios of served to entitled tokens; 1 when all workspaces have the same ratio. */
	fairness: number;
	workspaces: WorkspaceFigures[];
};

const histogramStepsPerMs = 10;

/** Computes percentiles of times in ms, recorded in steps of 0.1 ms with three significant digits; 0 without values. */
export const computeTimes = (values: readonly number[]): {medianMs: number; p95Ms: number; maxMs: number} => {
	const histogram = buildHistogram({numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(0, Math.round(value * histogramStepsPerMs)));
	}

	const get = (percentile: number) => values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / histogramStepsPerMs;
	return {medianMs: get(50), p95Ms: get(95), maxMs: get(100)};
};

const isCompletedInTime = ({end, endMs, request}: RequestResult): boolean => end.type === 'completed' && endMs <= request.deadlineMs;

const listFirstTokens = (results: readonly RequestResult[]): number[] => results.flatMap(({firstTokenMs}) => firstTokenMs ?? []);

const computeClasses = (results: readonly RequestResult[]): ClassFigures[] => promptLengthClasses.map(({name}, index) => {
	const members = results.filter(({request}) => findLengthClass(request.promptTokens) === index);
	return {
		name, requests: members.length, completed: members.filter(result => isCompletedInTime(result)).length, ...computeTimes(listFirstTokens(members)),
	};
});

const computeRefusals = (results: readonly RequestResult[]): RefusalFigures[] => {
	const times = new Map<string, number[]>();
	for (const {end, endMs} of results) {
		if (end.type === 'refused') {
			times.set(end.reason, [...times.get(end.reason) ?? [], endMs]);
		}
	}

	return [...times].map(([reason, values]) => {
		const {medianMs, maxMs} = computeTimes(values);
		return {
			reason, count: values.length, medianMs, maxMs,
		};
	});
};

const countFailures = (results: readonly RequestResult[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {end} of results) {
		if (end.type === 'failed') {
			counts[end.reason] = (counts[end.reason] ?? 0) + 1;
		}
	}

	return counts;
};

/** Divides the served tokens by weighted max-min fairness; no workspace is entitled to more than it offered. */
const computeEntitlements = (offers: ReadonlyArray<{offered: number; weight: number}>, served: number): number[] => {
	const entitled = offers.map(() => 0);
	let unsatisfied = offers.map((_, index) => index);
	let remainingTokens = served;
	while (unsatisfied.length > 0 && remainingTokens > 0) {
		const weight = unsatisfied.reduce((sum, index) => sum + offers[index]!.weight, 0);
		const tokensPerWeight = Math.min(remainingTokens / weight, ...unsatisfied.map(index => (offers[index]!.offered - entitled[index]!) / offers[index]!.weight));
		for (const index of unsatisfied) {
			entitled[index]! += tokensPerWeight * offers[index]!.weight;
		}

		remainingTokens -= tokensPerWeight * weight;
		const next = unsatisfied.filter(index => entitled[index]! < offers[index]!.offered - 1e-6);
		if (next.length === unsatisfied.length) {
			break;
		}

		unsatisfied = next;
	}

	return entitled;
};

const computeWorkspaces = (results: readonly RequestResult[]): WorkspaceFigures[] => {
	const byId = new Map<string, {weight: number; offered: number; served: number}>();
	for (const result of results) {
		const {workspace, promptTokens} = result.request;
		const sums = byId.get(workspace.id) ?? {weight: workspace.weight, offered: 0, served: 0};
		sums.offered += promptTokens;
		sums.served += isCompletedInTime(result) ? promptTokens : 0;
		byId.set(workspace.id, sums);
	}

	const offers = [...byId.values()];
	const entitled = computeEntitlements(offers, offers.reduce((sum, {served}) => sum + served, 0));
	return [...byId].map(([workspaceId, {offered, served}], index) => ({
		workspaceId, offeredTokens: offered, servedTokens: served, entitledTokens: Math.round(entitled[index]!),
	}));
};

/** Computes Jain's fairness index of shares; 1 when all are equal or zero. */
export const computeJainIndex = (shares: readonly number[]): number => {
	const sum = shares.reduce((total, share) => total + share, 0);
	const squares = shares.reduce((total, share) => total + (share ** 2), 0);
	return squares === 0 ? 1 : (sum ** 2) / (shares.length * squares);
};

/** Computes the figures of a run; `traceMs` is the time over which requests arrived. */
export const computeRunFigures = (results: readonly RequestResult[], traceMs: number): RunFigures => {
	const good = results.filter(result => isCompletedInTime(result));
	const inTime = good.filter(({request, endMs}) => request.at + endMs <= traceMs);
	const long = results.filter(({request}) => request.promptTokens >= longFromTokens);
	const admittedLong = long.filter(({end}) => end.type !== 'refused');
	const workspaces = computeWorkspaces(results);
	return {
		requests: results.length,
		completed: good.length,
		classes: computeClasses(results),
		goodRequestsPerSecond: inTime.length * 1000 / traceMs,
		goodTokensPerSecond: inTime.reduce((sum, {request}) => sum + request.promptTokens + request.answerTokens, 0) * 1000 / traceMs,
		refusals: computeRefusals(results),
		failures: countFailures(results),
		late: results.filter(({end, endMs, request}) => end.type !== 'refused' && endMs >= request.deadlineMs).length,
		starvedLong: admittedLong.filter(result => !isCompletedInTime(result)).length,
		admittedLong: admittedLong.length,
		refusedLong: long.length - admittedLong.length,
		fairness: computeJainIndex(workspaces.map(({servedTokens, entitledTokens}) => entitledTokens === 0 ? 1 : servedTokens / entitledTokens)),
		workspaces,
	};
};
