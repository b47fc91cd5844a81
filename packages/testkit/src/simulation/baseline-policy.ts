import {refusalReasons, selectGroup} from '@knapweedrack/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {GroupRun} from './group-run.js';
import type {TraceRequest} from './load-trace.js';
import {
	availabilityLagMs, type EntryLocation, type Policy, type RequestObserver, type SimulationWorld,
} from './simulation-world.js';
import type {SimulatedServer, WorkAnswer, WorkEvent} from './simulated-server.js';

/** Load balancers without coordination between entries, in the order of the report. */
export const baselineNames = ['random', 'round robin', 'least outstanding'] as const;
/** Name of a baseline, as shown in the report. */
export type BaselineName = (typeof baselineNames)[number];

type BaselineEntry = EntryLocation & {
	nextServerIndex: number;
	outstanding: Map<string, number>;
	/** Failure domains that the entry has learned to be out of service. */
	outOfServiceDomains: Set<string>;
};

const attemptLimit = 3;
const retryAfterMs = 1000;
const assumedFreeMemoryShare = 0.5;

/** Baseline in which each entry selects servers on its own and without admission control; engines serve requests in order of arrival. */
export class BaselinePolicy implements Policy {
	readonly #entries: BaselineEntry[];
	readonly #random;
	#sequence = 0;

	constructor(private readonly world: SimulationWorld, private readonly name: BaselineName, seed: number) {
		this.#random = xoroshiro128plus(seed);
		this.#entries = world.entries.map((location, index) => ({
			...location,
			// Spreads the first servers of the entries evenly; otherwise all entries would send to the same server in each round.
			nextServerIndex: Math.floor(index * world.servers.length / world.entries.length),
			outstanding: new Map(),
			outOfServiceDomains: new Set(),
		}));
	}

	start(): void {
		// A baseline has no state to initialize and no periodic tasks.
	}

	setDomainInService(failureDomain: string, isInService: boolean): void {
		for (const entry of this.#entries) {
			this.world.clock.scheduleIn(availabilityLagMs * uniformFloat64(this.#random), () => {
				if (isInService) {
					entry.outOfServiceDomains.delete(failureDomain);
				} else {
					entry.outOfServiceDomains.add(failureDomain);
				}
			});
		}
	}

	handle(request: TraceRequest, entryIndex: number, observer: RequestObserver): void {
		this.#runAttempt(request, this.#entries[entryIndex]!, observer, new Set());
	}

	#runAttempt(request: TraceRequest, entry: BaselineEntry, observer: RequestObserver, tried: Set<string>): void {
		const servers = this.world.servers.filter(({id, failureDomain}) => !tried.has(id) && !entry.outOfServiceDomains.has(failureDomain));
		if (servers.length === 0) {
			observer.recordEnd({type: 'refused', reason: refusalReasons.noBackendServer, retryAfterMs});
			return;
		}

		observer.recordAttempt();
		if (request.promptTokens + request.maxTokens > this.world.deployment.engine.kvTokens) {
			this.#runOnGroup(request, entry, observer, servers);
			return;
		}

		const server = this.#selectServer(entry, servers);
		tried.add(server.id);
		this.#updateOutstanding(entry, server.id, 1);
		this.#submit(request, entry, server, {
			observer,
			retry: () => {
				this.#runAttempt(request, entry, observer, tried);
			},
			canRetry: tried.size < attemptLimit,
		});
	}

	#submit(request: TraceRequest, entry: BaselineEntry, server: SimulatedServer, {observer, retry, canRetry}: {observer: RequestObserver; retry: () => void; canRetry: boolean}): void {
		let hasFirstToken = false;
		const fail = (event: WorkAnswer | WorkEvent) => {
			this.#updateOutstanding(entry, server.id, -1);
			const isRefused = event === 'overloaded' || event === 'outOfMemory';
			if (canRetry && !hasFirstToken && event !== 'expired') {
				retry();
			} else {
				observer.recordEnd(isRefused
					? {type: 'refused', reason: refusalReasons.backendRefused, retryAfterMs}
					: {type: 'failed', reason: event === 'expired' ? refusalReasons.deadlineExceeded : refusalReasons.backendFailed});
			}
		};

		this.world.submit(entry, server, {
			requestId: request.id,
			attemptId: `a${++this.#sequence}`,
			kind: 'generate',
			promptTokens: request.promptTokens,
			maxTokens: request.maxTokens,
			answerTokens: request.answerTokens,
			priority: 0,
			deadlineAt: request.at + request.deadlineMs,
			blocks: request.blocks,
			importTokens: 0,
		}, {
			answer(answer) {
				if (answer !== 'accepted') {
					fail(answer);
				}
			},
			event: event => {
				if (event === 'firstToken') {
					hasFirstToken = true;
					observer.recordFirstToken();
				} else if (event === 'finished') {
					this.#updateOutstanding(entry, server.id, -1);
					observer.recordEnd({type: 'completed'});
				} else {
					fail(event);
				}
			},
		});
	}

	/** Forms a group with the core's selection. Half of each server's memory is assumed to be free, because an entry without coordination does not know what others use. */
	#runOnGroup(request: TraceRequest, entry: BaselineEntry, observer: RequestObserver, servers: readonly SimulatedServer[]): void {
		const start = this.#selectServer(entry, servers);
		const {kvTokens} = this.world.deployment.engine;
		const plan = selectGroup({
			promptTokens: request.promptTokens,
			maxTokens: request.maxTokens,
			servers: servers.filter(({failureDomain}) => failureDomain === start.failureDomain)
				.map(({id, failureDomain}) => ({
					id, failureDomain, kvTokensFree: kvTokens * assumedFreeMemoryShare, maxSegmentTokens: kvTokens,
				})),
		});
		if (!plan.ok) {
			observer.recordEnd({type: 'refused', reason: refusalReasons.groupUnavailable, retryAfterMs});
			return;
		}

		new GroupRun(this.world, entry, {
			request,
			attemptId: `a${++this.#sequence}`,
			members: plan.value.members,
			deadlineAt: request.at + request.deadlineMs,
			getPermit: () => undefined,
			recordSegment: () => undefined,
			recordFirstToken: observer.recordFirstToken,
			recordEnd(end) {
				const ends = {
					finished: {type: 'completed'},
					unreserved: {type: 'refused', reason: refusalReasons.groupUnavailable, retryAfterMs},
					failed: {type: 'failed', reason: refusalReasons.backendFailed},
					expired: {type: 'failed', reason: refusalReasons.deadlineExceeded},
				} as const;
				observer.recordEnd(ends[end]);
			},
		}).start();
	}

	#updateOutstanding(entry: BaselineEntry, serverId: string, change: 1 | -1): void {
		entry.outstanding.set(serverId, (entry.outstanding.get(serverId) ?? 0) + change);
	}

	#compareServers(entry: BaselineEntry, left: SimulatedServer, right: SimulatedServer): number {
		return (entry.outstanding.get(left.id) ?? 0) - (entry.outstanding.get(right.id) ?? 0);
	}

	#selectServer(entry: BaselineEntry, servers: readonly SimulatedServer[]): SimulatedServer {
		if (this.name === 'random') {
			return servers[Math.floor(uniformFloat64(this.#random) * servers.length)]!;
		}

		const startIndex = entry.nextServerIndex++ % servers.length;
		if (this.name === 'round robin') {
			return servers[startIndex]!;
		}

		// The rotation breaks ties differently each time, so that an idle entry does not always use the first server.
		const order = [...servers.slice(startIndex), ...servers.slice(0, startIndex)];
		return order.toSorted((left, right) => this.#compareServers(entry, left, right))[0]!;
	}
}
