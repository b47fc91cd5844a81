import type {InstanceList, ListedInstance} from '@knapweedrack/protocol';

type Snapshot = {at: number; list: InstanceList};

/** Instance list whose changes become visible with a lag; callers pass in the time in ms. */
export class InstanceTable {
	readonly #instances = new Map<string, ListedInstance>();
	#snapshots: Snapshot[] = [{at: Number.NEGATIVE_INFINITY, list: {revision: 0, instances: []}}];
	#revision = 0;

	put(instance: ListedInstance, now: number): void {
		this.#instances.set(instance.id, instance);
		this.#record(now);
	}

	delete(id: string, now: number): boolean {
		const isPresent = this.#instances.delete(id);
		if (isPresent) {
			this.#record(now);
		}

		return isPresent;
	}

	/** Returns the list as it was `lagMs` ago. */
	getList(now: number, lagMs: number): InstanceList {
		return this.#snapshots.findLast(({at}) => at <= now - lagMs)?.list ?? this.#snapshots[0]!.list;
	}

	/** Returns the list without lag. */
	getCurrent(): InstanceList {
		return this.#snapshots.at(-1)!.list;
	}

	#record(now: number): void {
		this.#revision += 1;
		this.#snapshots.push({at: now, list: {revision: this.#revision, instances: [...this.#instances.values()]}});
		if (this.#snapshots.length > snapshotLimit) {
			this.#snapshots = this.#snapshots.slice(-snapshotLimit);
		}
	}
}

/** Number of snapshots kept; with more changes than this within the lag, the oldest kept snapshot becomes visible early. */
const snapshotLimit = 10_000;
