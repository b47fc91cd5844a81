import type {ObjectList, StoredObject, WatchEvent} from '@knapweedrack/protocol';

/** Condition under which a write takes effect: always, only if the object is absent, or only if it has the given version. */
export type TableCondition = {type: 'none'} | {type: 'absent'} | {type: 'version'; version: number};

/** Result of a write; a mismatch carries the present version, which is 0 for an absent object. */
export type WriteResult =
	| {type: 'written'; version: number}
	| {type: 'mismatch'; version: number}
	| {type: 'absent'};

/** Changes after a revision, or `compacted` when some of them are no longer kept. */
export type ChangeResult = {type: 'changes'; revision: number; events: WatchEvent[]} | {type: 'compacted'};

/** Stores objects with a limited history of changes; all versions come from one counter, the revision of the table. */
export class ObjectTable {
	readonly #objects = new Map<string, StoredObject>();
	readonly #historyLimit: number;
	#history: WatchEvent[] = [];
	#revision = 0;
	#compactedRevision = 0;

	/** `historyLimit` is the number of changes kept for watches. */
	constructor(historyLimit: number) {
		this.#historyLimit = historyLimit;
	}

	get revision(): number {
		return this.#revision;
	}

	get size(): number {
		return this.#objects.size;
	}

	get(key: string): StoredObject | undefined {
		return this.#objects.get(key);
	}

	list(prefix: string): ObjectList {
		const items = [...this.#objects.values()].filter(({key}) => key.startsWith(prefix));
		items.sort((left, right) => left.key < right.key ? -1 : 1);
		return {revision: this.#revision, items};
	}

	put(key: string, value: unknown, condition: TableCondition): WriteResult {
		const presentVersion = this.#objects.get(key)?.version ?? 0;
		if (!isConditionMet(condition, presentVersion)) {
			return {type: 'mismatch', version: presentVersion};
		}

		this.#revision += 1;
		this.#objects.set(key, {key, version: this.#revision, value});
		this.#record({
			type: 'put', key, version: this.#revision, value,
		});
		return {type: 'written', version: this.#revision};
	}

	delete(key: string, condition: TableCondition): WriteResult {
		const presentVersion = this.#objects.get(key)?.version ?? 0;
		if (!isConditionMet(condition, presentVersion)) {
			return {type: 'mismatch', version: presentVersion};
		}

		if (presentVersion === 0) {
			return {type: 'absent'};
		}

		this.#revision += 1;
		this.#objects.delete(key);
		this.#record({type: 'delete', key, version: this.#revision});
		return {type: 'written', version: this.#revision};
	}

	/** Lists the changes of keys with a prefix after a revision. */
	listChanges(prefix: string, after: number): ChangeResult {
		if (after < this.#compactedRevision) {
			return {type: 'compacted'};
		}

		// Every change raises the revision by 1, so the position in the history can be computed from the revision.
		const start = Math.max(0, after - (this.#revision - this.#history.length));
		const events = this.#history.slice(start).filter(({key}) => key.startsWith(prefix));
		return {type: 'changes', revision: this.#revision, events};
	}

	/** Compacts the whole history, so that watches after an older revision must list again. */
	removeHistory(): void {
		this.#history = [];
		this.#compactedRevision = this.#revision;
	}

	#record(event: WatchEvent): void {
		this.#history.push(event);
		// Removing half of the history at a time keeps the average cost of a write constant.
		if (this.#history.length > this.#historyLimit) {
			this.#history = this.#history.slice(Math.ceil(this.#history.length / 2));
			this.#compactedRevision = this.#revision - this.#history.length;
		}
	}
}

const isConditionMet = (condition: TableCondition, presentVersion: number): boolean => {
	if (condition.type === 'absent') {
		return presentVersion === 0;
	}

	return condition.type === 'none' || condition.version === presentVersion;
};
