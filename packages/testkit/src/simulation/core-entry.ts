import {
	LongPromptPool, PrefixIndex, RetryBudget, isLongPrompt, applyAssumedMemory, selectCandidates, selectGroup,
	type AttemptResult, type Candidate, type GroupPlan, type LoadSnapshot, type LongPromptPoolOptions,
	type Permit, type PermitReply, type PermitRequest, type RoutingServer,
} from '@knapweedrack/core';
import {prefixBlockTokens} from '../engine/hashes.js';
import type {TraceRequest} from './load-trace.js';
import type {OwnedAdmissionPoint} from './owned-admission-point.js';
import type {EntryLocation, SimulationWorld} from './simulation-world.js';

/** Where an attempt may run: on one server, on a group of servers, or nowhere. */
export type SimulatedTarget =
	| {type: 'single'; candidate: Candidate; otherCandidateCount: number}
	| {type: 'group'; plan: GroupPlan}
	| {type: 'none'; reason: 'no_backend_server' | 'group_unavailable'};

const initialPrefillTokensPerSecond = 20_000;
const smoothingFactor = 0.1;

/** State of one entry: prefix cache hints, measured prefill rate and answer length, held permits, and server loads from permit replies. */
export class CoreEntry {
	readonly prefixes = new PrefixIndex();
	readonly retryBudget = new RetryBudget();
	readonly #longPool: LongPromptPool;
	readonly #loads = new Map<string, {load: LoadSnapshot; at: number}>();
	readonly #permits = new Map<string, Permit>();
	readonly #outOfServiceDomains = new Set<string>();
	#prefillTokensPerSecond = initialPrefillTokensPerSecond;
	#meanAnswerTokens: number | undefined;

	constructor(
		private readonly world: SimulationWorld,
		readonly location: EntryLocation,
		private readonly points: ReadonlyMap<string, OwnedAdmissionPoint>,
		longPool: LongPromptPoolOptions | undefined,
	) {
		this.#longPool = new LongPromptPool(longPool);
	}

	get prefillTokensPerSecond(): number {
		return this.#prefillTokensPerSecond;
	}

	/** Records the offered tokens of a long prompt, which determine the size of the pool for long prompts. An entry sees only its share of the load, so the tokens are multiplied by the number of entries. */
	recordOfferedTokens({promptTokens}: TraceRequest): void {
		if (isLongPrompt(promptTokens)) {
			this.#longPool.recordOffered(promptTokens * this.world.entries.length, this.world.clock.now);
		}
	}

	/** Updates the smoothed prefill rate from the time to first token of one prompt; prompts shorter than a prefix block are ignored. */
	recordPrefillRate(tokens: number, durationMs: number): void {
		if (tokens >= prefixBlockTokens && durationMs > 0) {
			this.#prefillTokensPerSecond += smoothingFactor * ((tokens * 1000 / durationMs) - this.#prefillTokensPerSecond);
		}
	}

	/** Updates the smoothed length of answers in tokens. */
	recordAnswerLength(tokens: number): void {
		const known = this.#meanAnswerTokens ?? tokens;
		this.#meanAnswerTokens = known + (smoothingFactor * (tokens - known));
	}

	estimateDecodeTokens(maxTokens: number): number {
		return Math.max(1, Math.min(maxTokens, Math.ceil(this.#meanAnswerTokens ?? maxTokens)));
	}

	setDomainInService(failureDomain: string, isInService: boolean): void {
		if (isInService) {
			this.#outOfServiceDomains.delete(failureDomain);
		} else {
			this.#outOfServiceDomains.add(failureDomain);
		}

		for (const point of this.points.values()) {
			if (point.owner.id === this.location.id && point.server.failureDomain === failureDomain) {
				point.setOutOfService(!isInService);
			}
		}
	}

	selectTarget(request: TraceRequest, excluded: ReadonlySet<string>, attemptId: string): SimulatedTarget {
		const {now} = this.world.clock;
		const servers = this.world.servers.filter(({failureDomain}) => !this.#outOfServiceDomains.has(failureDomain));
		const routing = applyAssumedMemory(servers.map(({id}) => this.#toRoutingServer(id, request)));
		const kvTokens = request.promptTokens + request.maxTokens;
		const candidates = selectCandidates({
			subsetKey: this.location.id,
			affinityKey: request.blocks[0] ?? request.workspace.id,
			choiceKey: attemptId,
			promptTokens: request.promptTokens,
			kvTokens,
			servers: routing,
			excluded,
			longPoolSize: this.#longPool.computeSize(servers.length, this.#prefillTokensPerSecond, now),
			now,
		});
		if (candidates[0] !== undefined) {
			return {type: 'single', candidate: candidates[0], otherCandidateCount: candidates.length - 1};
		}

		const isTooLong = routing.some(server => server.kvTokens !== undefined && kvTokens > server.kvTokens);
		return isTooLong ? this.#selectGroup(request, routing, excluded) : {type: 'none', reason: 'no_backend_server'};
	}

	/** Requests a permit from the owner of a server; the reply and the load in it arrive after the network delay. */
	requestPermit(request: PermitRequest, handleReply: (reply: PermitReply) => void): void {
		const point = this.points.get(request.serverId)!;
		this.world.send(this.location, point.owner, () => {
			point.request(request, reply => {
				this.world.send(point.owner, this.location, () => {
					if (reply.load !== undefined) {
						this.#loads.set(request.serverId, {load: reply.load, at: this.world.clock.now});
					}

					if (reply.type === 'granted') {
						this.#permits.set(reply.permit.permitId, reply.permit);
					}

					handleReply(reply);
				});
			});
		});
	}

	reportFirstToken({serverId, permitId}: Permit): void {
		const point = this.points.get(serverId)!;
		this.world.send(this.location, point.owner, () => {
			point.handle({type: 'firstToken', permitId});
		});
	}

	releasePermit({serverId, permitId}: Permit, result: AttemptResult): void {
		this.#permits.delete(permitId);
		const point = this.points.get(serverId)!;
		this.world.send(this.location, point.owner, () => {
			point.handle({type: 'release', permitId, result});
		});
	}

	renewPermits(): void {
		const byServer = new Map<string, string[]>();
		for (const {serverId, permitId} of this.#permits.values()) {
			byServer.set(serverId, [...byServer.get(serverId) ?? [], permitId]);
		}

		for (const [serverId, permitIds] of byServer) {
			const point = this.points.get(serverId)!;
			this.world.send(this.location, point.owner, () => {
				point.handle({type: 'renew', permitIds});
			});
		}
	}

	#toRoutingServer(id: string, request: TraceRequest): RoutingServer {
		const {now} = this.world.clock;
		const point = this.points.get(id)!;
		const isOwned = point.owner.id === this.location.id;
		const known = isOwned ? {load: point.admissionPoint.load, at: now} : this.#loads.get(id);
		return {
			id,
			isOwned,
			load: known?.load,
			loadAt: known?.at,
			cachedTokens: this.prefixes.countMatching(id, request.blocks, now) * prefixBlockTokens,
			kvTokens: known?.load.kvTokens,
		};
	}

	#selectGroup(request: TraceRequest, routing: readonly RoutingServer[], excluded: ReadonlySet<string>): SimulatedTarget {
		const plan = selectGroup({
			promptTokens: request.promptTokens,
			maxTokens: request.maxTokens,
			excluded,
			choiceKey: request.id,
			servers: routing.flatMap(({id, kvTokens, load}) => kvTokens === undefined
				? []
				: [{
					id,
					failureDomain: this.points.get(id)!.server.failureDomain,
					kvTokensFree: kvTokens - (load?.kvTokensUsed ?? 0),
					maxSegmentTokens: kvTokens,
				}]),
		});
		return plan.ok ? {type: 'group', plan: plan.value} : {type: 'none', reason: 'group_unavailable'};
	}
}
