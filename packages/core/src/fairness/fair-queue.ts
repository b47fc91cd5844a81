import {BinaryHeap} from './binary-heap.js';

/** What the fair queue needs to know about an item. */
export type FairQueueEntry<Value> = {
	workspaceId: string;
	/** Share of the workspace under contention. */
	weight: number;
	/** Cost in tokens. */
	cost: number;
	/** Order inside the workspace; smaller values are served first. */
	order: number;
	value: Value;
};

type Flow<Value> = {
	workspaceId: string;
	entries: BinaryHeap<FairQueueEntry<Value>>;
	/** Virtual time at which the next entry of the workspace starts. */
	startTag: number;
	cost: number;
	weight: number;
};

const flowCleanupThreshold = 1024;

/**
 * Start-time fair queue: among workspaces by token cost over weight,
 * inside a workspace by the smallest order.
 */
export class FairQueue<Value> {
	readonly #flows = new Map<string, Flow<Value>>();
	readonly #active = new BinaryHeap<Flow<Value>>((left, right) => left.startTag - right.startTag);
	#virtualTime = 0;
	#size = 0;
	#cost = 0;
	#totalActiveWeight = 0;

	/** Number of queued entries. */
	get size(): number {
		return this.#size;
	}

	/** Sum of queued costs in tokens. */
	get cost(): number {
		return this.#cost;
	}

	/** Adds an entry. */
	add(entry: FairQueueEntry<Value>): void {
		const flow = this.#getFlow(entry.workspaceId);
		if (flow.entries.size === 0) {
			// An idle workspace gains no credit for the time in which it asked for nothing.
			flow.startTag = Math.max(flow.startTag, this.#virtualTime);
			flow.weight = entry.weight;
			this.#totalActiveWeight += flow.weight;
			this.#active.add(flow);
		}

		flow.entries.add(entry);
		flow.cost += entry.cost;
		this.#size++;
		this.#cost += entry.cost;
	}

	/** Entry that is served next. */
	getFirst(): FairQueueEntry<Value> | undefined {
		return this.#active.getFirst()?.entries.getFirst();
	}

	/** Removes the entry that is served next and charges its cost to the workspace. */
	removeFirst(): FairQueueEntry<Value> | undefined {
		const flow = this.#active.removeFirst();
		if (flow === undefined) {
			return undefined;
		}

		const entry = flow.entries.removeFirst()!;
		this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
		flow.startTag += entry.cost / entry.weight;
		this.#updateAfterRemoval(flow, entry);
		if (flow.entries.size > 0) {
			this.#active.add(flow);
		}

		return entry;
	}

	/** Removes an entry without charging its workspace; false when it is absent. */
	remove(entry: FairQueueEntry<Value>): boolean {
		const flow = this.#flows.get(entry.workspaceId);
		if (!flow?.entries.remove(entry)) {
			return false;
		}

		this.#updateAfterRemoval(flow, entry);
		if (flow.entries.size === 0) {
			this.#active.remove(flow);
		}

		return true;
	}

	/** Tokens that are served before a new entry of this workspace. */
	estimateCostAhead(workspaceId: string, weight: number): number {
		const flow = this.#flows.get(workspaceId);
		const own = flow?.cost ?? 0;
		const isActive = (flow?.entries.size ?? 0) > 0;
		const totalWeight = isActive ? this.#totalActiveWeight : this.#totalActiveWeight + weight;
		return Math.min(this.#cost, (own * totalWeight) / weight);
	}

	#updateAfterRemoval(flow: Flow<Value>, entry: FairQueueEntry<Value>): void {
		flow.cost -= entry.cost;
		this.#size--;
		this.#cost -= entry.cost;
		if (flow.entries.size === 0) {
			this.#totalActiveWeight -= flow.weight;
		}
	}

	#getFlow(workspaceId: string): Flow<Value> {
		const known = this.#flows.get(workspaceId);
		if (known !== undefined) {
			return known;
		}

		this.#removeIdleFlows();
		const flow: Flow<Value> = {
			workspaceId,
			entries: new BinaryHeap((left, right) => left.order - right.order),
			startTag: this.#virtualTime,
			cost: 0,
			weight: 1,
		};
		this.#flows.set(workspaceId, flow);
		return flow;
	}

	#removeIdleFlows(): void {
		if (this.#flows.size < flowCleanupThreshold) {
			return;
		}

		for (const [workspaceId, flow] of this.#flows) {
			if (flow.entries.size === 0 && flow.startTag <= this.#virtualTime) {
				this.#flows.delete(workspaceId);
			}
		}
	}
}
