import {BinaryHeap} from './binary-heap.js';

/** A queued value with the data that decides its place in the queue. */
export type FairQueueEntry<Value> = {
	workspaceId: string;
	/** Relative share that the workspace gets while others also wait. */
	weight: number;
	/** Cost in tokens. */
	cost: number;
	/** Order within the workspace; smaller values are served first. */
	order: number;
	value: Value;
};

/** Queue of one workspace. */
type Flow<Value> = {
	workspaceId: string;
	entries: BinaryHeap<FairQueueEntry<Value>>;
	/** Virtual time at which the next entry of the workspace starts. */
	startTag: number;
	/** Sum of queued costs in tokens. */
	cost: number;
	weight: number;
};

/** Number of workspaces from which on idle ones are removed when a new one is added. */
const flowCleanupThreshold = 1024;

/**
 * Start-time fair queue. Workspaces are served in proportion to their weights, measured in token cost;
 * within a workspace, the entry with the smallest order is served first.
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

	/** Adds an entry to the queue of its workspace. */
	add(entry: FairQueueEntry<Value>): void {
		const flow = this.#getFlow(entry.workspaceId);
		if (flow.entries.size === 0) {
			// An idle workspace gains no credit for the time in which it sent no requests.
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

	/** Returns the entry that is served next without removing it; `undefined` when the queue is empty. */
	getFirst(): FairQueueEntry<Value> | undefined {
		return this.#active.getFirst()?.entries.getFirst();
	}

	/** Removes and returns the entry that is served next and charges its cost to its workspace. */
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

	/** Lists the entries in the order in which they would be served, without changing the queue. */
	* list(): Generator<FairQueueEntry<Value>> {
		const flows = [...this.#flows.values()].filter(({entries}) => entries.size > 0)
			.map(({entries, startTag}) => ({rest: entries.toSorted(), startTag}));
		while (flows.length > 0) {
			let first = 0;
			for (const [index, flow] of flows.entries()) {
				if (flow.startTag < flows[first]!.startTag) {
					first = index;
				}
			}

			const flow = flows[first]!;
			const entry = flow.rest.shift()!;
			if (flow.rest.length === 0) {
				flows.splice(first, 1);
			}

			flow.startTag += entry.cost / entry.weight;
			yield entry;
		}
	}

	/** Removes an entry and charges its cost to its workspace, also when it is not the first one; false when it is absent. */
	serve(entry: FairQueueEntry<Value>): boolean {
		const flow = this.#flows.get(entry.workspaceId);
		if (!flow?.entries.remove(entry)) {
			return false;
		}

		// The heap of flows is ordered by their tags, so that a flow leaves it while its tag changes.
		this.#active.remove(flow);
		this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
		flow.startTag += entry.cost / entry.weight;
		this.#updateAfterRemoval(flow, entry);
		if (flow.entries.size > 0) {
			this.#active.add(flow);
		}

		return true;
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

	/** Estimates the queued cost in tokens that is served before a new entry of this workspace. */
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
