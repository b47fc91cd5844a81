import type {InstanceList, ListedInstance} from '@knapweedrack/protocol';

type Snapshot = {at: number; list: InstanceList};

/** Instance list that shows each change with a lag; time in ms is passed in. */
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

	/** The list as it was `lagMs` ago. */
	getList(now: number, lagMs: number): InstanceList {
		return this.#snapshots.findLast(({at}) => at <= now - lagMs)?.list ?? this.#snapshots[0]!.list;
	}

	/** The list without lag. */
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

/** Snapshots kept for the lag; more changes than this within the lag are shown early. */
const snapshotLimit = 10_000;
