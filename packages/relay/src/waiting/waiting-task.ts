import {
	computeNeededServers, computeReservedServers, computeStaticShare, decideYield, isDeadlineUnreachable, trialResults, yieldKinds, WaitingQueue,
	type AdmissionInputs, type Service, type TrialResult, type WaitingDemand, type WaitingItem,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {PlacedRequest, PlacementDemand, PlacementTask} from '../placement/placement-task.js';

/** Interval at which waiting requests are tried without another cause, in ms; much shorter than the shortest target. */
const tickMs = 20;
/** Delay of a run after room was freed, in ms, so that simultaneous changes share a run. */
const wakeMs = 1;
/** Least time between runs that load reports start, in ms; in a large fleet they arrive all the time. */
const reportRunMs = 10;

/** Most groups of waiting requests that the metrics name. */
const describedLimit = 8;
/** Share of the target after which a waiting request counts as late; the same as for short prompts in `selectPlacement`. */
const lateShare = 0.6;

/** A request that needs backend servers of a service whose requests differ in urgency. */
export type QueuedRequest = {
	requestId: string | undefined;
	route: string;
	service: Service;
	urgency: number;
	workspace: string | undefined;
	excludedServerIds: ReadonlySet<string>;
	buildDemand: () => PlacementDemand;
	/** True while a request that no backend server takes now may go on waiting. */
	canWait: (demand: PlacementDemand) => boolean;
	/** True once the request needs no backend server any more. */
	isOver: () => boolean;
};

/** How the wait of a request ended, unless it was placed. */
export const waitingEnds = {
	/** It needs no backend server any more. */
	over: 'over',
	/** No backend server can take it. */
	unplaced: 'unplaced',
	/** It would pass its deadline in the queue. */
	deadlineUnreachable: 'deadlineUnreachable',
} as const;
/** Value of `waitingEnds`. */
export type WaitingEnd = (typeof waitingEnds)[keyof typeof waitingEnds];

/** Dependencies of the waiting task. */
export type WaitingOptions = {
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	placement: Pick<PlacementTask, 'place'>;
	/** Ids of the usable backend servers of a service. */
	listServers: (service: string) => string[];
	/** Number of entries that may be running, including this one. */
	countEntries: () => number;
	/** What waits at other entries, as far as their reports are fresh; undefined while no other entry is heard. */
	listElsewhere: () => readonly WaitingDemand[] | undefined;
	/** Called when another urgency waits than before. */
	notifyWaiting: () => void;
};

/** A request with the functions that end its wait. */
type Waiter = QueuedRequest & {resolve: (result: PlacedRequest | WaitingEnd) => void; reject: (error: Error) => void};

/** Requests of one service that wait at this entry. */
type ServiceQueue = {
	name: string;
	queue: WaitingQueue<Waiter>;
	/** Requests of this entry that were placed and have not ended. */
	placed: number;
	lastRunAt: number;
	/** Urgencies that wait, as last reported. */
	reported: string;
	unsubscribe: (() => void) | undefined;
	cancelRun: (() => void) | undefined;
};

/** Holds the requests that wait for backend servers, by service, and decides which of them is tried next. */
export class WaitingTask {
	readonly #options: WaitingOptions;
	readonly #queues = new Map<string, ServiceQueue>();

	constructor(options: WaitingOptions) {
		this.#options = options;
	}

	/** Waits until a request is placed or its wait ends; rejects when placement throws. */
	async acquire(request: QueuedRequest): Promise<PlacedRequest | WaitingEnd> {
		const {timer} = this.#options;
		const queue = this.#getQueue(request.service.name);
		const now = timer.now();
		const demand = request.buildDemand();
		const waiting = {
			lateAt: now - demand.waitedMs + (demand.targetMs * lateShare),
			urgency: request.urgency, workspaceId: request.workspace ?? '', hasBegun: demand.hasBegun, deadlineAt: now + demand.deadlineMs,
			cost: request.service.engine === undefined ? 1 : demand.promptTokens,
		};
		const inputs = queue.queue.estimate(waiting, now);
		if (!demand.hasBegun && isDeadlineUnreachable(inputs)) {
			this.#recordRefusal(request, waitingEnds.deadlineUnreachable, inputs, demand);
			return waitingEnds.deadlineUnreachable;
		}

		const ended = new Promise<PlacedRequest | WaitingEnd>((resolve, reject) => {
			queue.queue.add(waiting, {...request, resolve, reject}, now);
		});
		this.#run(queue);
		const result = await ended;
		this.#options.metrics.recordWaiting(request.service.name, request.urgency, timer.now() - now);
		return result;
	}

	/** Tries waiting requests soon, because this entry has freed room or a backend server has joined. */
	notifyRoom(): void {
		for (const queue of this.#queues.values()) {
			this.#scheduleRun(queue, wakeMs);
		}
	}

	/** Tries waiting requests soon, because another entry has reported its load. */
	notifyReport(): void {
		const now = this.#options.timer.now();
		for (const queue of this.#queues.values()) {
			this.#scheduleRun(queue, Math.max(wakeMs, queue.lastRunAt + reportRunMs - now));
		}
	}

	/** What waits at this entry, by service and urgency. */
	listWaiting(): WaitingDemand[] {
		return [...this.#queues.values()].flatMap(({name, queue}) => queue.summarize(name));
	}

	/** Numbers of waiting requests by service, urgency and workspace, the largest first. */
	listLargest(): Array<{service: string; urgency: string; workspace: string; requests: number}> {
		const counts = new Map<string, {service: string; urgency: string; workspace: string; requests: number}>();
		for (const {name, queue} of this.#queues.values()) {
			for (const {request: {urgency, workspaceId}} of queue.list()) {
				const key = JSON.stringify([name, urgency, workspaceId]);
				const known = counts.get(key);
				counts.set(key, {
					service: name, urgency: String(urgency), workspace: workspaceId, requests: (known?.requests ?? 0) + 1,
				});
			}
		}

		return [...counts.values()].toSorted((a, b) => b.requests - a.requests).slice(0, describedLimit);
	}

	/** Number of requests that wait at this entry. */
	get size(): number {
		let size = 0;
		for (const {queue} of this.#queues.values()) {
			size += queue.size;
		}

		return size;
	}

	/** Estimated time until the requests of a service at the same or a higher urgency are placed, in ms; undefined while unknown. */
	estimateDrainMs(service: string, urgency: number): number | undefined {
		return this.#queues.get(service)?.queue.describe(urgency, this.#options.timer.now()).drainMs;
	}

	#getQueue(name: string): ServiceQueue {
		const known = this.#queues.get(name);
		if (known !== undefined) {
			return known;
		}

		const queue: ServiceQueue = {
			name, queue: new WaitingQueue(), placed: 0, lastRunAt: Number.NEGATIVE_INFINITY, reported: '', unsubscribe: undefined, cancelRun: undefined,
		};
		this.#queues.set(name, queue);
		return queue;
	}

	#scheduleRun(queue: ServiceQueue, delayMs: number): void {
		if (queue.queue.size > 0 && queue.cancelRun === undefined) {
			queue.cancelRun = this.#options.timer.schedule(delayMs, () => {
				queue.cancelRun = undefined;
				this.#run(queue);
			});
		}
	}

	/** Ends the waits that are over and tries the others in order. */
	#run(queue: ServiceQueue): void {
		const now = this.#options.timer.now();
		queue.lastRunAt = now;
		const elsewhere = this.#options.listElsewhere()?.filter(({service}) => service === queue.name);
		queue.queue.run(now, item => this.#tryItem(queue, item, elsewhere));
		this.#update(queue);
	}

	#handleTick(queue: ServiceQueue): void {
		const now = this.#options.timer.now();
		for (const item of queue.queue.list()) {
			if (item.value.isOver()) {
				this.#end(queue, item, waitingEnds.over);
			}
		}

		for (const item of queue.queue.listUnreachable(now)) {
			this.#recordRefusal(item.value, waitingEnds.deadlineUnreachable, queue.queue.estimate(item.request, now), item.value.buildDemand());
			this.#end(queue, item, waitingEnds.deadlineUnreachable);
		}

		this.#run(queue);
	}

	#tryItem(queue: ServiceQueue, item: WaitingItem<Waiter>, elsewhere: readonly WaitingDemand[] | undefined): TrialResult {
		const {service, excludedServerIds, buildDemand, canWait, isOver, urgency, resolve} = item.value;
		try {
			if (isOver()) {
				this.#end(queue, item, waitingEnds.over);
				return trialResults.left;
			}

			const demand = buildDemand();
			const local = queue.queue.summarize(queue.name);
			const demands = elsewhere && [...local, ...elsewhere];
			const yielding = demands === undefined ? yieldKinds.none : decideYield({...demand, urgency}, demands);
			if (yielding === yieldKinds.full || (demands === undefined && this.#isAboveStaticShare(queue, service, {urgency, hasBegun: demand.hasBegun, local}))) {
				return trialResults.skipped;
			}

			const reserved = yielding === yieldKinds.part ? this.#listReserved(service, urgency, {demand, demands: demands!}) : [];
			const placed = this.#place(service, demand, {excludedServerIds, reserved});
			if (placed === undefined && reserved.length > 0 && demand.waitedMs < demand.targetMs) {
				return trialResults.blocked;
			}

			if (placed === 'wait' || (placed === undefined && canWait(demand))) {
				return excludedServerIds.size === 0 ? trialResults.noRoom : trialResults.blocked;
			}

			if (placed === undefined) {
				this.#recordRefusal(item.value, waitingEnds.unplaced, queue.queue.estimate(item.request, this.#options.timer.now()), demand);
				this.#end(queue, item, waitingEnds.unplaced);
				return trialResults.left;
			}

			resolve(this.#countPlaced(queue, placed));
			return trialResults.placed;
		} catch (error) {
			queue.queue.remove(item, this.#options.timer.now());
			item.value.reject(error as Error);
			return trialResults.left;
		}
	}

	/** Backend servers that are left to more urgent requests: the first ones by id, so that all entries leave the same ones. */
	#listReserved({name, engine}: Service, urgency: number, {demand, demands}: {demand: PlacementDemand; demands: readonly WaitingDemand[]}): string[] {
		if (engine === undefined) {
			return [];
		}

		const servers = this.#options.listServers(name);
		const count = computeReservedServers(urgency, demands, {servers: servers.length, slots: engine.slots, neededServers: computeNeededServers(engine, demand)});
		return servers.toSorted().slice(0, count);
	}

	/** Places a request outside the reserved servers; on these, too, when it is late and no other one can take it. */
	#place(service: Service, demand: PlacementDemand, {excludedServerIds, reserved}: {excludedServerIds: ReadonlySet<string>; reserved: readonly string[]}): PlacedRequest | 'wait' | undefined {
		const {placement} = this.#options;
		if (reserved.length === 0) {
			return placement.place(service, demand, excludedServerIds);
		}

		const placed = placement.place(service, demand, new Set([...excludedServerIds, ...reserved]));
		return placed === undefined && demand.waitedMs >= demand.targetMs ? placement.place(service, demand, excludedServerIds) : placed;
	}

	/** While no other entry is heard, less urgent requests keep to this entry's share of the slots. */
	#isAboveStaticShare(queue: ServiceQueue, service: Service, {urgency, hasBegun, local}: {urgency: number; hasBegun: boolean; local: readonly WaitingDemand[]}): boolean {
		const {listServers, countEntries} = this.#options;
		const entries = countEntries();
		if (entries <= 1 || service.engine === undefined || hasBegun || local.every(demand => demand.urgency >= urgency)) {
			return false;
		}

		return queue.placed >= computeStaticShare(listServers(service.name).length * service.engine.slots, entries);
	}

	#countPlaced(queue: ServiceQueue, placed: PlacedRequest): PlacedRequest {
		let isReleased = false;
		queue.placed++;
		return {
			...placed,
			release() {
				placed.release();
				queue.placed -= isReleased ? 0 : 1;
				isReleased = true;
			},
		};
	}

	#end(queue: ServiceQueue, item: WaitingItem<Waiter>, end: WaitingEnd): void {
		queue.queue.remove(item, this.#options.timer.now());
		item.value.resolve(end);
	}

	/** Ticks while requests wait, and reports when other urgencies wait than before. */
	#update(queue: ServiceQueue): void {
		if (queue.queue.size > 0) {
			queue.unsubscribe ??= this.#options.timer.subscribe(tickMs, () => {
				this.#handleTick(queue);
			});
		} else {
			queue.unsubscribe?.();
			queue.unsubscribe = undefined;
		}

		const waiting = queue.queue.summarize(queue.name).map(({urgency}) => urgency).join(' ');
		if (waiting !== queue.reported) {
			queue.reported = waiting;
			this.#options.notifyWaiting();
		}
	}

	#recordRefusal({requestId, route, service, urgency, workspace}: QueuedRequest, reason: WaitingEnd, {costAhead, requestsAhead, ratePerMs, leftMs}: AdmissionInputs, demand: PlacementDemand): void {
		const {metrics, log, listElsewhere} = this.#options;
		metrics.countWaitingRefusal(service.name, urgency, reason);
		log.writeRequest('waiting.refused', requestId, {
			route, service: service.name, urgency, workspace, reason, waiting: this.#queues.get(service.name)?.queue.size, costAhead: Math.round(costAhead), requestsAhead, ratePerMs, leftMs: Math.round(leftMs),
			waitedMs: Math.round(demand.waitedMs), tokens: demand.promptTokens, elsewhere: listElsewhere()?.filter(other => other.service === service.name),
		});
	}
}
