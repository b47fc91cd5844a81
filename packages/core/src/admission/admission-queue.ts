import {FairQueue, type FairQueueEntry} from '../fairness/index.js';
import type {PermitRequest} from '../types/index.js';

/** A request that waits for a permit. */
export type QueuedRequest = {
	request: PermitRequest;
	lane: number;
	enqueuedAt: number;
	deadlineAt: number;
};

/** Totals of the requests that wait in one lane. */
export type LaneBacklog = {size: number; prefillTokens: number; kvTokens: number};

type Entry = FairQueueEntry<QueuedRequest>;

const createBacklog = (): LaneBacklog => ({size: 0, prefillTokens: 0, kvTokens: 0});

/**
 * Requests that wait for one backend server: a fair queue per lane, and suspects in order of arrival.
 * A suspect was in flight at a crash and runs alone.
 */
export class AdmissionQueue {
	readonly #lanes: Array<FairQueue<QueuedRequest>>;
	readonly #backlogs: LaneBacklog[];
	readonly #entries = new Map<string, Entry>();
	readonly #suspects = new Map<string, QueuedRequest>();
	readonly #priorityStepMs: number;

	constructor(laneCount: number, priorityStepMs: number) {
		this.#lanes = Array.from({length: laneCount}, () => new FairQueue<QueuedRequest>());
		this.#backlogs = Array.from({length: laneCount}, () => createBacklog());
		this.#priorityStepMs = priorityStepMs;
	}

	/** Number of queued requests. */
	get size(): number {
		return this.#entries.size + this.#suspects.size;
	}

	/** Backlog of each lane, by index; suspects are not counted. */
	get backlogs(): readonly LaneBacklog[] {
		return this.#backlogs;
	}

	/** True when an attempt is queued. */
	has(attemptId: string): boolean {
		return this.#entries.has(attemptId) || this.#suspects.has(attemptId);
	}

	/** Adds a request to its lane, or to the suspects. */
	add(queued: QueuedRequest): void {
		const {request} = queued;
		if (request.isSuspect) {
			this.#suspects.set(request.attemptId, queued);
			return;
		}

		const entry: Entry = {
			workspaceId: request.workspaceId,
			weight: request.weight,
			cost: request.prefillTokens + request.decodeTokens,
			// A priority shifts the due time by a fixed step, so later requests can overtake one of low priority for a bounded time only.
			order: queued.enqueuedAt + request.firstTokenInMs + (request.priority * this.#priorityStepMs),
			value: queued,
		};
		this.#entries.set(request.attemptId, entry);
		this.#lanes[queued.lane]!.add(entry);
		this.#updateBacklog(queued, 1);
	}

	/** Request of a lane that is served next. */
	getFirst(lane: number): QueuedRequest | undefined {
		return this.#lanes[lane]!.getFirst()?.value;
	}

	/** Suspect that is served next. */
	getFirstSuspect(): QueuedRequest | undefined {
		return this.#suspects.values().next().value;
	}

	/** Removes the request of a lane that is served next and charges its cost to its workspace. */
	removeFirst(lane: number): QueuedRequest | undefined {
		const entry = this.#lanes[lane]!.removeFirst();
		if (entry !== undefined) {
			this.#entries.delete(entry.value.request.attemptId);
			this.#updateBacklog(entry.value, -1);
		}

		return entry?.value;
	}

	/** Removes a request without charging its workspace; `undefined` when it is not queued. */
	remove(attemptId: string): QueuedRequest | undefined {
		const suspect = this.#suspects.get(attemptId);
		if (suspect !== undefined) {
			this.#suspects.delete(attemptId);
			return suspect;
		}

		const entry = this.#entries.get(attemptId);
		if (entry !== undefined) {
			this.#entries.delete(attemptId);
			this.#lanes[entry.value.lane]!.remove(entry);
			this.#updateBacklog(entry.value, -1);
		}

		return entry?.value;
	}

	/** All queued requests, suspects first. */
	list(): QueuedRequest[] {
		return [...this.#suspects.values(), ...[...this.#entries.values()].map(entry => entry.value)];
	}

	/** Share of a lane's backlog that is served before a new request of the workspace, from 0 to 1. */
	estimateShareAhead(lane: number, workspaceId: string, weight: number): number {
		const queue = this.#lanes[lane]!;
		return queue.cost === 0 ? 0 : queue.estimateCostAhead(workspaceId, weight) / queue.cost;
	}

	#updateBacklog({lane, request}: QueuedRequest, sign: 1 | -1): void {
		const backlog = this.#backlogs[lane]!;
		backlog.size += sign;
		backlog.prefillTokens += sign * request.prefillTokens;
		backlog.kvTokens += sign * request.kvTokens;
	}
}
