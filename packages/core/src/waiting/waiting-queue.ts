import {FairQueue, type FairQueueEntry} from '../fairness/fair-queue.js';
import {estimateWaitMs, isDeadlineUnreachable, type AdmissionInputs} from './admission-estimate.js';
import {DrainRate} from './drain-rate.js';
import type {WaitingDemand} from './room-sharing.js';

/** Most requests that one run tries, since each trial compares all backend servers. */
const trialLimit = 6;
/** Requests of one size class that are tried in a run; when two do not fit, a third one hardly does. */
const missLimit = 2;
/** Time after which a request is tried although others of its size did not fit, in ms, so that one that no server can take is refused. */
const retryMs = 100;

/** Shortest wait that counts as one, in ms; a request that is placed at once is in the queue for less. */
const minWaitMs = 1;

/** A request that waits for a backend server. */
export type WaitingRequest = {
	/** 0 is the first. */
	urgency: number;
	workspaceId: string;
	/** Prompt tokens, or 1 for a request that only takes a slot. */
	cost: number;
	/** Time at which the caller gives up, in ms. */
	deadlineAt: number;
	/** Time from which the request is placed only where more room is free, because its target is hard to reach, in ms. */
	lateAt: number;
	/** True when the caller has a part of the answer and waits for the rest. */
	hasBegun: boolean;
};

/** A queued request; identifies it until it leaves the queue. */
export type WaitingItem<Value> = FairQueueEntry<Value> & {request: WaitingRequest; addedAt: number; triedAt: number};

/** Result of trying to place a request. */
export const trialResults = {
	/** It has been placed. */
	placed: 'placed',
	/** No room now. */
	noRoom: 'noRoom',
	/** No room now on the servers that are left to it; this tells nothing about the requests behind it. */
	blocked: 'blocked',
	/** It leaves room to others; this tells nothing about the requests behind it. */
	skipped: 'skipped',
	/** It has left the queue for another reason. */
	left: 'left',
} as const;
/** Value of `trialResults`. */
export type TrialResult = (typeof trialResults)[keyof typeof trialResults];

/** Requests of one urgency. */
type Level<Value> = FairQueue<Value>;

/**
 * Requests of one service that wait at one entry. They are tried in this order: the rest of answers that have begun, urgency, fairness
 * between workspaces by cost, earliest deadline.
 */
export class WaitingQueue<Value> {
	/** By urgency; those that have begun are at `begunLevel`. */
	readonly #levels = new Map<number, Level<Value>>();
	readonly #items = new Set<WaitingItem<Value>>();
	readonly #rate = new DrainRate();

	/** Number of waiting requests. */
	get size(): number {
		return this.#items.size;
	}

	/** Adds a request at the time `now`, in ms. */
	add(request: WaitingRequest, value: Value, now: number): WaitingItem<Value> {
		const item: WaitingItem<Value> = {
			workspaceId: request.workspaceId, weight: 1, cost: Math.max(1, request.cost), order: request.deadlineAt, value, request, addedAt: now, triedAt: Number.NEGATIVE_INFINITY,
		};
		this.#getLevel(request).add(item);
		this.#items.add(item);
		this.#rate.recordWaiting(true, now);
		return item;
	}

	/** Removes a request that was not placed, without charging its workspace; false when it is absent. */
	remove(item: WaitingItem<Value>, now: number): boolean {
		return this.#end(item, now) && this.#getLevel(item.request).remove(item);
	}

	/** All waiting requests, in the order of their arrival. */
	list(): ReadonlySet<WaitingItem<Value>> {
		return this.#items;
	}

	/**
	 * Tries requests in order. One that does not fit ends the trials of its size class for less urgent requests, and a second one ends them
	 * for all, so that a request is never overtaken by a less urgent one of its size and does not block those of another size.
	 */
	run(now: number, tryPlace: (item: WaitingItem<Value>) => TrialResult): void {
		const misses = new RunMisses();
		let trials = 0;
		for (const [urgency, item] of this.#listInOrder()) {
			const size = {sizeClass: computeSizeClass(item.cost), isLate: now > item.request.lateAt};
			if (misses.isOvertaking(size.sizeClass, urgency) || (misses.count(size) >= missLimit && now - item.triedAt < retryMs)) {
				continue;
			}

			item.triedAt = now;
			const result = tryPlace(item);
			if (result === trialResults.placed) {
				this.#serve(item, now);
			} else if (result === trialResults.noRoom) {
				misses.add(size, urgency);
			}

			trials += result === trialResults.noRoom || result === trialResults.blocked ? 1 : 0;
			if (trials >= trialLimit) {
				return;
			}
		}
	}

	/** Lists the requests that would pass their deadline in the queue; less urgent ones are so sooner when a more urgent one arrives. */
	listUnreachable(now: number): Array<WaitingItem<Value>> {
		const ratePerMs = this.#rate.compute(now);
		const unreachable: Array<WaitingItem<Value>> = [];
		let costAhead = 0;
		let requestsAhead = 0;
		for (const [, item] of this.#listInOrder()) {
			if (!item.request.hasBegun && isDeadlineUnreachable({
				costAhead, requestsAhead, ratePerMs, leftMs: item.request.deadlineAt - now,
			})) {
				unreachable.push(item);
			} else {
				costAhead += item.cost;
				requestsAhead++;
			}
		}

		return unreachable;
	}

	/** Inputs of the admission estimate for a request that arrives now. */
	estimate({urgency, workspaceId, deadlineAt}: WaitingRequest, now: number): AdmissionInputs {
		const own = this.#levels.get(urgency);
		let costAhead = own?.estimateCostAhead(workspaceId, 1) ?? 0;
		let requestsAhead = own === undefined || own.cost === 0 ? 0 : Math.ceil(own.size * costAhead / own.cost);
		for (const [level, queue] of this.#levels) {
			costAhead += level < urgency ? queue.cost : 0;
			requestsAhead += level < urgency ? queue.size : 0;
		}

		return {
			costAhead, requestsAhead, ratePerMs: requestsAhead === 0 ? undefined : this.#rate.compute(now), leftMs: deadlineAt - now,
		};
	}

	/** Inputs of the retry delay for the requests of one urgency: cost at the same or a higher one, rate in cost per ms, time in ms. */
	describe(urgency: number, now: number): {waiting: number; costAhead: number; ratePerMs: number | undefined; drainMs: number | undefined} {
		let costAhead = 0;
		for (const [level, queue] of this.#levels) {
			costAhead += level <= urgency ? queue.cost : 0;
		}

		const ratePerMs = this.#rate.compute(now);
		return {
			waiting: this.size, costAhead, ratePerMs, drainMs: estimateWaitMs({costAhead, ratePerMs}),
		};
	}

	/** Sums what waits by urgency, for the reports to other entries; without answers that have begun. */
	summarize(service: string): WaitingDemand[] {
		return [...this.#levels]
			.filter(([urgency, queue]) => urgency !== begunLevel && queue.size > 0)
			.map(([urgency, queue]) => ({
				service, urgency, requests: queue.size, cost: Math.round(queue.cost),
			}));
	}

	* #listInOrder(): Generator<[urgency: number, item: WaitingItem<Value>]> {
		for (const urgency of [...this.#levels.keys()].toSorted((a, b) => a - b)) {
			for (const entry of this.#levels.get(urgency)!.list()) {
				yield [urgency, entry as WaitingItem<Value>];
			}
		}
	}

	#serve(item: WaitingItem<Value>, now: number): void {
		// A request that was placed at once into an empty queue says nothing about the rate at which room becomes free.
		const hasWaited = this.size > 1 || now - item.addedAt >= minWaitMs;
		if (this.#end(item, now)) {
			this.#getLevel(item.request).serve(item);
			if (hasWaited) {
				this.#rate.record(item.cost, now);
			}
		}
	}

	#end(item: WaitingItem<Value>, now: number): boolean {
		const isKnown = this.#items.delete(item);
		this.#rate.recordWaiting(this.size > 0, now);
		return isKnown;
	}

	#getLevel({urgency, hasBegun}: WaitingRequest): Level<Value> {
		const key = hasBegun ? begunLevel : urgency;
		const known = this.#levels.get(key);
		if (known !== undefined) {
			return known;
		}

		const level = new FairQueue<Value>();
		this.#levels.set(key, level);
		return level;
	}
}

/** Size of a request, and whether it is late; late ones need more room. */
type TriedSize = {sizeClass: number; isLate: boolean};

/** Requests that did not fit in one run. */
class RunMisses {
	/** Most urgent request that did not fit, by size class. */
	readonly #urgencies = new Map<number, number>();
	readonly #counts = new Map<string, number>();

	/** True when a request would overtake a more urgent one of its size that did not fit. */
	isOvertaking(sizeClass: number, urgency: number): boolean {
		return (this.#urgencies.get(sizeClass) ?? Number.POSITIVE_INFINITY) < urgency;
	}

	count({sizeClass, isLate}: TriedSize): number {
		return this.#counts.get(`${sizeClass} ${isLate}`) ?? 0;
	}

	add(size: TriedSize, urgency: number): void {
		const known = this.#urgencies.get(size.sizeClass) ?? Number.POSITIVE_INFINITY;
		this.#urgencies.set(size.sizeClass, Math.min(known, urgency));
		this.#counts.set(`${size.sizeClass} ${size.isLate}`, this.count(size) + 1);
	}
}

/** Key of answers that have begun, before all urgencies. */
const begunLevel = -1;

/** Requests whose costs are within a factor of two fit about the same room. */
const computeSizeClass = (cost: number): number => Math.floor(Math.log2(Math.max(1, cost)));
