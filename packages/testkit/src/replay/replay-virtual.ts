import {
	decideClaim, outcomeKinds, refusalReasons, type ClaimRecord, type OutcomeKind,
} from '@knapweedrack/core';
import {prefixBlockTokens} from '../engine/hashes.js';
import {findLengthClass, promptLengthClasses, type TraceRequest} from '../simulation/load-trace.js';
import {runSimulation, type SimulationEvent} from '../simulation/run-simulation.js';
import type {SimulatedDeployment} from '../simulation/simulated-deployment.js';
import type {RequestEnd, RequestResult} from '../simulation/simulation-world.js';
import type {
	ReplayFault, ReplayRequest, ReplayResult, ReplayTrace,
} from './replay-trace.js';

/** Fixed duration of a call to a plain service, in ms of virtual time. */
const serviceMs = 20;
const goldenRatio = 0.618_033_988_75;

const toTraceRequest = (request: ReplayRequest, index: number, deployment: SimulatedDeployment): TraceRequest => {
	const lengthClass = promptLengthClasses[findLengthClass(request.promptTokens)]!;
	const prefix = request.prefix ?? request.id;
	return {
		id: request.id,
		at: request.at,
		workspace: deployment.workspaces.find(({id}) => id === request.workspace)!,
		// Multiples of the golden ratio, modulo 1, spread the requests evenly over the entries.
		entryDraw: (index * goldenRatio) % 1,
		promptTokens: request.promptTokens,
		maxTokens: request.maxTokens,
		answerTokens: request.maxTokens,
		firstTokenMs: lengthClass.firstTokenMs,
		deadlineMs: request.deadlineMs ?? lengthClass.deadlineMs,
		blocks: Array.from({length: Math.floor(request.promptTokens / prefixBlockTokens)}, (_, block) => `${prefix}:${block}`),
	};
};

const toEvent = ({at, fault}: ReplayFault): SimulationEvent => fault.kind === 'crash' || fault.kind === 'cold'
	? {at, type: fault.kind, server: fault.server}
	: {
		at, type: 'domain', failureDomain: fault.failureDomain, isInService: fault.kind === 'restore',
	};

const endOutcomes: Record<RequestEnd['type'], OutcomeKind> = {
	completed: outcomeKinds.completed,
	refused: outcomeKinds.notRun,
	failed: outcomeKinds.failed,
};

const toReplayResult = ({request, end, firstTokenMs, endMs}: RequestResult): ReplayResult => ({
	id: request.id, outcome: endOutcomes[end.type], reason: end.type === 'completed' ? undefined : end.reason, firstTokenMs, endMs,
});

/** Finds the reason for which a request is refused before a backend server is selected. */
const findRefusal = ({workspace, model}: ReplayRequest, deployment: SimulatedDeployment): string | undefined => {
	if (!deployment.workspaces.some(({id}) => id === workspace)) {
		return refusalReasons.unauthenticated;
	}

	return model === undefined || model === deployment.model ? undefined : refusalReasons.unknownModel;
};

/** Describes the content of a request; used in place of the digest of its body. */
const describeBody = ({model, service, promptTokens, prefix}: ReplayRequest): string => JSON.stringify([model, service, promptTokens, prefix]);

/** Computes the result of a request whose idempotency key was used before; undefined when the claim lets the request run. */
const resolveRepeated = (request: ReplayRequest, first: ReplayRequest, result: ReplayResult): ReplayResult | undefined => {
	const isFinished = first.at + result.endMs <= request.at;
	const claim: ClaimRecord = {
		workspaceId: first.workspace,
		bodyDigest: describeBody(first),
		nonce: first.id,
		entryId: '',
		epoch: '',
		state: isFinished ? 'finished' : 'dispatched',
		createdAt: first.at,
		outcome: isFinished ? {kind: result.outcome, reason: result.reason} : undefined,
	};
	const decision = decideClaim(claim, {
		workspaceId: request.workspace, bodyDigest: describeBody(request), nonce: request.id, entryId: '', epoch: '', phase: 'claiming',
		wallNow: request.at, isHolderGone: false,
	});
	if (decision.type === 'answer') {
		return {
			id: request.id, outcome: decision.outcome.kind, reason: decision.outcome.reason, endMs: 0,
		};
	}

	return decision.type === 'refuse'
		? {
			id: request.id, outcome: decision.outcome, reason: decision.reason, endMs: 0,
		}
		: undefined;
};

/** Replaces the results of requests whose idempotency key is already claimed, because such requests do not run again. */
const applyClaims = (requests: readonly ReplayRequest[], results: ReadonlyMap<string, ReplayResult>): ReplayResult[] => {
	const holders = new Map<string, {request: ReplayRequest; result: ReplayResult}>();
	return requests.toSorted((left, right) => left.at - right.at).map(request => {
		const key = request.idempotencyKey === undefined ? undefined : `${request.workspace}/${request.idempotencyKey}`;
		const holder = key === undefined ? undefined : holders.get(key);
		const repeated = holder === undefined ? undefined : resolveRepeated(request, holder.request, holder.result);
		const result = repeated ?? results.get(request.id)!;
		if (key !== undefined && repeated === undefined) {
			holders.set(key, {request, result});
		}

		return result;
	});
};

/** Replays a trace in virtual time with the decision code of the core; calls to plain services take a fixed time. */
export const runVirtualReplay = (trace: ReplayTrace, deployment: SimulatedDeployment, seed = 1): ReplayResult[] => {
	const results = new Map<string, ReplayResult>();
	const runnable: ReplayRequest[] = [];
	for (const request of trace.requests) {
		const reason = findRefusal(request, deployment);
		if (reason !== undefined) {
			results.set(request.id, {
				id: request.id, outcome: outcomeKinds.notRun, reason, endMs: 0,
			});
		} else if (request.service === undefined) {
			runnable.push(request);
		} else if (request.idempotencyKey === undefined) {
			results.set(request.id, {
				id: request.id, outcome: outcomeKinds.notRun, reason: refusalReasons.idempotencyKeyMissing, endMs: 0,
			});
		} else {
			results.set(request.id, {id: request.id, outcome: outcomeKinds.completed, endMs: serviceMs});
		}
	}

	const {results: simulated} = runSimulation({
		deployment, policy: 'core', seed, trace: runnable.map((request, index) => toTraceRequest(request, index, deployment)), events: trace.faults.map(fault => toEvent(fault)),
	});
	for (const result of simulated) {
		results.set(result.request.id, toReplayResult(result));
	}

	return applyClaims(trace.requests, results);
};
