/** One object of the store with its version; the value is not validated. */
export type CopiedObject = {version: number; value: unknown};

/** Point in the history of the store: revisions are comparable within an era only. Eras rise, and a store without eras has era 0. */
export type StatePosition = {era: number; revision: number};

/** A change of a copy from one revision to a later one, or the whole content. */
export type StateUpdate = {
	era: number;
	/** Revision that the update starts from; undefined when it has the whole content. */
	from: number | undefined;
	revision: number;
	/** Key, version and value of each object that was written. */
	puts: Array<[key: string, version: number, value: unknown]>;
	deletes: string[];
};

/** Effects of an update on a copy: it was applied, it is older than the copy, or updates before it are missing. */
export const updateEffects = {applied: 'applied', stale: 'stale', gap: 'gap'} as const;

/** One of `updateEffects`, with what has changed. */
export type UpdateResult =
	| {effect: typeof updateEffects.applied; changedKeys: string[]; isRestored: boolean}
	| {effect: typeof updateEffects.stale}
	| {effect: typeof updateEffects.gap};

/** Answer of the store to a list or a watch. */
export type StateAnswer = StatePosition & {
	objects: ReadonlyMap<string, CopiedObject>;
	/** All keys that may differ from the answer before. */
	changedKeys: readonly string[];
	/** True when objects may have been written and deleted since the answer before without being among the changed keys. */
	isList: boolean;
};

/** Number of deleted keys that a copy remembers for updates to others; older positions get the whole content. */
const deletedKeyLimit = 1000;

/**
 * Copy of the objects of one prefix of the store. An entry that reads the store records the answers and builds updates for others;
 * an entry that follows it applies them. A copy never goes back to an earlier position.
 */
export class StateCopy {
	#objects = new Map<string, CopiedObject>();
	#position: StatePosition | undefined;
	/** Revision at which each deleted key was found missing, in the order of these revisions. */
	#deleted = new Map<string, number>();
	/** Updates can start from this revision or a later one. */
	#oldestStart = 0;

	/** Position of the last answer or update; undefined before the first. */
	get position(): StatePosition | undefined {
		return this.#position;
	}

	get objects(): ReadonlyMap<string, CopiedObject> {
		return this.#objects;
	}

	/** Records an answer of the store. Returns the update for copies at the position before; undefined when the answer is older than the copy. */
	record({era, revision, objects, changedKeys, isList}: StateAnswer): StateUpdate | undefined {
		const known = this.#position;
		if (known !== undefined && isBefore({era, revision}, known)) {
			return undefined;
		}

		if (known?.era !== era || isList) {
			this.#replaceAll(objects, {era, revision});
			return this.buildUpdate(undefined);
		}

		const update: StateUpdate = {
			era, from: known.revision, revision, puts: [], deletes: [],
		};
		for (const key of changedKeys) {
			const object = objects.get(key);
			if (object === undefined) {
				update.deletes.push(key);
			} else if (this.#objects.get(key)?.version !== object.version) {
				update.puts.push([key, object.version, object.value]);
			}
		}

		this.#applyChanges(update);
		return update;
	}

	/** Applies an update from another copy. */
	apply(update: StateUpdate): UpdateResult {
		const known = this.#position;
		if (known !== undefined && isBefore(update, known)) {
			return {effect: updateEffects.stale};
		}

		if (update.from !== undefined) {
			if (known?.era !== update.era || known.revision < update.from) {
				return {effect: updateEffects.gap};
			}

			this.#applyChanges(update);
			return {effect: updateEffects.applied, changedKeys: [...update.deletes, ...update.puts.map(([key]) => key)], isRestored: false};
		}

		const previousKeys = [...this.#objects.keys()];
		const objects = new Map(update.puts.map(([key, version, value]) => [key, {version, value}]));
		this.#replaceAll(objects, update);
		return {
			effect: updateEffects.applied, changedKeys: [...new Set([...previousKeys, ...objects.keys()])],
			isRestored: known !== undefined && known.era !== update.era,
		};
	}

	/** Builds the update for a copy at a position; undefined when the copy has nothing to add, or nothing itself. */
	buildUpdate(since: StatePosition | undefined): StateUpdate | undefined {
		const known = this.#position;
		if (known === undefined || (since !== undefined && (isBefore(known, since) || isSame(known, since)))) {
			return undefined;
		}

		const canStart = since?.era === known.era && since.revision >= this.#oldestStart;
		const start = canStart ? since.revision : Number.NEGATIVE_INFINITY;
		return {
			...known,
			from: canStart ? since.revision : undefined,
			puts: [...this.#objects].filter(([, {version}]) => version > start).map(([key, {version, value}]) => [key, version, value]),
			deletes: canStart ? [...this.#deleted].filter(([, revision]) => revision > start).map(([key]) => key) : [],
		};
	}

	/** Replaces the content; what was deleted before is unknown, so that updates can only start here. */
	#replaceAll(objects: ReadonlyMap<string, CopiedObject>, {era, revision}: StatePosition): void {
		this.#objects = new Map(objects);
		this.#deleted = new Map();
		this.#oldestStart = revision;
		this.#position = {era, revision};
	}

	#applyChanges({era, revision, puts, deletes}: StateUpdate): void {
		for (const key of deletes) {
			this.#objects.delete(key);
			// Deleted first, so that the map stays in the order of the revisions.
			this.#deleted.delete(key);
			this.#deleted.set(key, revision);
		}

		for (const [key, version, value] of puts) {
			this.#objects.set(key, {version, value});
			this.#deleted.delete(key);
		}

		for (const [key, deletedAt] of this.#deleted) {
			if (this.#deleted.size <= deletedKeyLimit) {
				break;
			}

			this.#deleted.delete(key);
			this.#oldestStart = Math.max(this.#oldestStart, deletedAt);
		}

		this.#position = {era, revision};
	}
}

const isBefore = (a: StatePosition, b: StatePosition): boolean => a.era < b.era || (a.era === b.era && a.revision < b.revision);

const isSame = (a: StatePosition, b: StatePosition): boolean => a.era === b.era && a.revision === b.revision;
