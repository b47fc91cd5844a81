import {setTimeout as wait} from 'node:timers/promises';
import {outcomeKinds, type OutcomeKind} from '@knapweedrack/core';
import {
	CallerClient, type CallResult, type Fleet, type ReplayFault, type ReplayRequest, type ReplayResult, type ReplayTrace,
} from '@knapweedrack/testkit';
import {buildDemoCredential, buildDemoPrompt} from '../demo/demo-plan.js';
import {waitUntilServing, startDemoFleet} from '../demo/run-demo.js';
import type {Progress} from '../program/progress.js';

const model = 'truing-model';

const sendCall = async (caller: CallerClient, request: ReplayRequest): Promise<CallResult> => request.service === undefined
	? caller.sendCompletion({
		model: request.model!,
		prompt: buildDemoPrompt(request.prefix ?? request.id, request.promptTokens),
		maxTokens: request.maxTokens,
		deadlineMs: request.deadlineMs,
	})
	: caller.sendServiceCall({
		method: 'POST', path: request.service, body: JSON.stringify({path: request.service}), idempotencyKey: request.idempotencyKey,
	});

const sendRequest = async (fleet: Fleet, request: ReplayRequest): Promise<ReplayResult> => {
	await wait(request.at);
	const caller = new CallerClient({
		entries: fleet.entries.map(({address}) => address), credential: buildDemoCredential(request.workspace),
	});
	try {
		const {outcome, reason, firstTokenMs, durationMs} = await sendCall(caller, request);
		return {
			id: request.id, outcome: Object.values(outcomeKinds).find(kind => kind === outcome) ?? outcomeKinds.unknown, reason, firstTokenMs, endMs: durationMs,
		};
	} finally {
		await caller.close();
	}
};

const addFault = async (fleet: Fleet, {at, fault}: ReplayFault): Promise<void> => {
	await wait(at);
	if ('server' in fault) {
		const engines = fleet.engines.filter(({serves}) => serves === model);
		await fleet.addFault(engines[(fault.server - 1) % engines.length]!.id, {kind: fault.kind, count: 1});
	}
};

/** Finds why a trace cannot run against processes; undefined when it can. */
export const findProcessObstacle = ({deployment, requests, faults}: ReplayTrace): string | undefined => {
	if (deployment !== 'prairie') {
		return 'only the deployment prairie runs as processes';
	}

	if (requests.some(({idempotencyKey, service}) => idempotencyKey !== undefined && service === undefined)) {
		return 'idempotency keys of completions are not sent to processes';
	}

	return faults.some(({fault}) => 'failureDomain' in fault) ? 'drains of failure domains are not applied to processes' : undefined;
};

/** Replays a trace in real time against processes on loopback. */
export const runProcessReplay = async (trace: ReplayTrace, progress: Progress): Promise<ReplayResult[]> => {
	const fleet = await startDemoFleet(progress);
	try {
		await waitUntilServing(fleet, progress);
		progress.update('replaying the trace');
		const [results] = await Promise.all([
			Promise.all(trace.requests.map(async request => sendRequest(fleet, request))),
			...trace.faults.map(async fault => addFault(fleet, fault)),
		]);
		return results;
	} finally {
		progress.update('stopping the fleet');
		await fleet.close();
	}
};
