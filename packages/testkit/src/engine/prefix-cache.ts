/** Change of the cache, published as a cache event; `blocks` are prefix block hashes. */
export type CacheChange = {kind: 'stored' | 'evicted' | 'cleared'; blocks: string[]};

/** Least-recently-used cache of prefix blocks that counts the running requests that use each block. */
export class PrefixCache {
	/** Users of each block; the order of the map is the order of last use, oldest first. */
	#userCounts = new Map<string, number>();
	#unusedCount = 0;
	#changes: CacheChange[] = [];

	get size(): number {
		return this.#userCounts.size;
	}

	/** Counts the leading blocks of a prompt that are in the cache. */
	count(blocks: readonly string[]): number {
		const missing = blocks.findIndex(block => !this.#userCounts.has(block));
		return missing === -1 ? blocks.length : missing;
	}

	/** Stores the missing blocks and protects all given blocks from eviction until `release`. */
	reserve(blocks: readonly string[]): void {
		const stored: string[] = [];
		for (const block of blocks) {
			const users = this.#userCounts.get(block);
			if (users === undefined) {
				stored.push(block);
			}

			if (users === 0) {
				this.#unusedCount -= 1;
			}

			this.#userCounts.delete(block);
			this.#userCounts.set(block, (users ?? 0) + 1);
		}

		this.#record('stored', stored);
	}

	/** Removes one user from each block; a block without users can be evicted. */
	release(blocks: readonly string[]): void {
		for (const block of blocks) {
			const users = (this.#userCounts.get(block) ?? 1) - 1;
			this.#userCounts.set(block, users);
			if (users === 0) {
				this.#unusedCount += 1;
			}
		}
	}

	/** Evicts least recently used blocks without users until at most `limit` blocks without users are left. */
	removeUnused(limit: number): void {
		if (this.#unusedCount <= limit) {
			return;
		}

		const evicted: string[] = [];
		for (const [block, users] of this.#userCounts) {
			if (this.#unusedCount <= limit) {
				break;
			}

			if (users === 0) {
				this.#userCounts.delete(block);
				this.#unusedCount -= 1;
				evicted.push(block);
			}
		}

		this.#record('evicted', evicted);
	}

	reset(): void {
		this.#userCounts = new Map();
		this.#unusedCount = 0;
		this.#changes.push({kind: 'cleared', blocks: []});
	}

	/** Returns the changes since the last call. */
	consumeChanges(): CacheChange[] {
		const changes = this.#changes;
		this.#changes = [];
		return changes;
	}

	#record(kind: CacheChange['kind'], blocks: string[]): void {
		if (blocks.length > 0) {
			this.#changes.push({kind, blocks});
		}
	}
}
