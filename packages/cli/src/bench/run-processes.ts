import {setTimeout as wait} from 'node:timers/promises';
import {outcomeKinds, refusalReasons, type RefusalReason} from '@knapweedrack/core';
import {
	CallerClient, computeRunFigures, createLoadTrace, mixedBursts, simulatedDeployments,
	type CallResult, type Fleet, type RequestEnd, type RequestResult, type TraceRequest,
} from '@knapweedrack/testkit';
import {buildDemoCredential, buildDemoPrompt} from '../demo/demo-plan.js';
import {waitUntilServing, startDemoFleet} from '../demo/run-demo.js';
import type {Progress} from '../program/progress.js';
import {buildTarget, type DeploymentReport} from './bench-report.js';

const deployment = simulatedDeployments.prairie;
/** Offered load as a share of the capacity in real time; reduced because one machine runs all engines, entries and callers. */
const processLoad = 0.5;
const longPromptWorkspaces = ['great-plains-shortline', 'qu-appelle-valley-rail', 'carlton-trail-railway'];
const longestPromptTokens = 1_000_000;

const toRequestEnd = ({outcome, reason, retryAfterMs}: CallResult): RequestEnd => {
	if (outcome === outcomeKinds.completed) {
		return {type: 'completed'};
	}

	const knownReason = Object.values(refusalReasons).find(each => each === reason) ?? refusalReasons.internal;
	return outcome === outcomeKinds.notRun
		? {type: 'refused', reason: knownReason, retryAfterMs: retryAfterMs ?? 0}
		: {type: 'failed', reason: knownReason};
};

/** Sends a request as a caller of one of the workspaces whose plan permits long prompts. */
const sendRequest = async (callers: readonly CallerClient[], request: TraceRequest, index: number): Promise<RequestResult> => {
	await wait(request.at);
	const prefix = request.blocks.find(block => block.startsWith('shared.')) ?? request.id;
	const result = await callers[index % callers.length]!.sendCompletion({
		model: deployment.model,
		prompt: buildDemoPrompt(prefix, Math.min(longestPromptTokens, request.promptTokens)),
		maxTokens: request.answerTokens,
		deadlineMs: request.deadlineMs,
	});
	return {
		request, end: toRequestEnd(result), firstTokenMs: result.firstTokenMs, endMs: result.durationMs, attempts: 1,
	};
};

const sendTrace = async (fleet: Fleet, trace: readonly TraceRequest[]): Promise<RequestResult[]> => {
	const callers = longPromptWorkspaces.map(workspaceId => new CallerClient({
		entries: fleet.entries.map(({address}) => address), credential: buildDemoCredential(workspaceId),
	}));
	try {
		return await Promise.all(trace.map(async (request, index) => sendRequest(callers, request, index)));
	} finally {
		await Promise.all(callers.map(async caller => caller.close()));
	}
};

const countCrashes = async (fleet: Fleet): Promise<number> => {
	const states = await Promise.all(fleet.engines.map(async ({id}) => fleet.fetchState(id))) as Array<{crashes: number}>;
	return states.reduce((sum, {crashes}) => sum + crashes, 0);
};

/** Runs the mixed load against processes on loopback, without network delays between failure domains. */
export const runProcessBench = async ({seed, durationMs}: {seed: number; durationMs: number}, progress: Progress): Promise<DeploymentReport> => {
	const fleet = await startDemoFleet(progress);
	try {
		await waitUntilServing(fleet, progress);
		progress.update('sending the load');
		const trace = createLoadTrace({
			deployment, seed, load: processLoad, durationMs, ...mixedBursts,
		});
		const results = await sendTrace(fleet, trace);
		const crashes = await countCrashes(fleet);
		return {
			deployment: deployment.name,
			runs: [{
				policy: 'processes', load: processLoad, hasLong: true, figures: computeRunFigures(results, durationMs), crashes,
			}],
			targets: [buildTarget({
				name: 'crashes of cold engines', limit: 0, direction: 'at most', unit: '', value: crashes,
			})],
			notes: ['the load is relative to engines in real time; the modelled time of the engines runs faster'],
		};
	} finally {
		progress.update('stopping the fleet');
		await fleet.close();
	}
};
