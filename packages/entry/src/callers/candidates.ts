import {
	applyAssumedMemory, selectCandidates, selectGroup, serviceStates,
	type BackendServerDescription, type Candidate, type GroupPlan, type RoutingServer,
} from '@knapweedrack/core';
import type {CallerContext} from './caller-context.js';
import {blockTokens} from './content-hash.js';
import type {RequestTask} from './request-task.js';
import type {RequestWork} from './request-work.js';

/** Backend server or group of engines on which the next attempt runs. */
export type Target =
	| {type: 'single'; server: BackendServerDescription; candidate: Candidate; others: number}
	| {type: 'group'; plan: GroupPlan; servers: ReadonlyMap<string, BackendServerDescription>};

/** Why there is no target. */
export type NoTarget = {type: 'none'; reason: 'no_backend_server' | 'no_serving_domain' | 'group_unavailable'};

/** Lists live backend servers in failure domains that are in service and in the plan. */
const listServers = (context: CallerContext, task: RequestTask, serves: string): {servers: BackendServerDescription[]; hasServingDomain: boolean} => {
	const {failureDomains, instances} = context.services.availability.get();
	const isServing = (state: string | undefined) => state !== serviceStates.outOfService;
	const domains = new Set(task.facts.plan.failureDomains.filter(domain => isServing(failureDomains[domain])));
	const servers = context.services.membership.listBackendServers(serves)
		.filter(server => server.state === 'live' && domains.has(server.failureDomain) && isServing(instances[server.id]));
	return {servers, hasServingDomain: domains.size > 0};
};

const toRoutingServer = (context: CallerContext, work: RequestWork, server: BackendServerDescription): RoutingServer => {
	const {permits, timer} = context.services;
	const load = permits.getLoad(server.id);
	if (load !== undefined && load.kvTokens > 0) {
		context.recordKvTokens(work.serves, load.kvTokens);
	}

	const cachedBlocks = context.prefixIndex.countMatching(server.id, work.cost.blocks, timer.now());
	return {
		id: server.id,
		isOwned: permits.isOwned(server.id),
		load,
		cachedTokens: cachedBlocks * blockTokens,
		kvTokens: load !== undefined && load.kvTokens > 0 ? load.kvTokens : context.getKvTokens(work.serves),
	};
};

type GroupSelection = {excluded: ReadonlySet<string>; choiceKey: string};

const selectGroupTarget = (work: RequestWork, servers: readonly BackendServerDescription[], routing: readonly RoutingServer[], selection: GroupSelection): Target | NoTarget => {
	const capacities = new Map(routing.map(server => [server.id, server]));
	const plan = selectGroup({
		promptTokens: work.cost.promptTokens,
		maxTokens: work.cost.maxTokens,
		...selection,
		servers: servers.flatMap(server => {
			const {kvTokens, load} = capacities.get(server.id)!;
			// One token is kept free, because a segment that starts at a character boundary can be one token longer than planned.
			const kvTokensFree = (kvTokens ?? 0) - (load?.kvTokensUsed ?? 0) - 1;
			return kvTokens === undefined
				? []
				: [{
					id: server.id, failureDomain: server.failureDomain, kvTokensFree, maxSegmentTokens: kvTokens,
				}];
		}),
	});
	return plan.ok
		? {type: 'group', plan: plan.value, servers: new Map(servers.map(server => [server.id, server]))}
		: {type: 'none', reason: 'group_unavailable'};
};

/** Selects where the next attempt of a request runs. */
export const selectTarget = (context: CallerContext, task: RequestTask, work: RequestWork, {excluded, attemptId}: {excluded: ReadonlySet<string>; attemptId: string}): Target | NoTarget => {
	const {servers, hasServingDomain} = listServers(context, task, work.serves);
	if (servers.length === 0) {
		return {type: 'none', reason: hasServingDomain ? 'no_backend_server' : 'no_serving_domain'};
	}

	const {cost} = work;
	const now = context.services.timer.now();
	const routing = applyAssumedMemory(servers.map(server => toRoutingServer(context, work, server)));
	const candidates = selectCandidates({
		subsetKey: context.services.entryId,
		// A prompt shorter than one block has no affinity key; a key per workspace would send all its short prompts to two servers.
		affinityKey: cost.blocks[0],
		choiceKey: attemptId,
		promptTokens: cost.promptTokens,
		kvTokens: cost.promptTokens + cost.maxTokens,
		servers: routing,
		excluded,
		longPoolSize: context.longPromptPool.computeSize(servers.length, context.prefillTokensPerSecond, now),
		now,
	});
	const [candidate] = candidates;
	if (candidate !== undefined) {
		return {
			type: 'single', candidate, server: servers.find(server => server.id === candidate.serverId)!, others: candidates.length - 1,
		};
	}

	const isTooLong = work.runOnGroup !== undefined && routing.some(server => server.kvTokens !== undefined && cost.promptTokens + cost.maxTokens > server.kvTokens);
	return isTooLong ? selectGroupTarget(work, servers, routing, {excluded, choiceKey: task.requestId}) : {type: 'none', reason: 'no_backend_server'};
};
