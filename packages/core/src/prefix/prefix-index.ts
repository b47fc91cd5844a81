/** Length of a prefix block, in prompt tokens. */
export const prefixBlockTokens = 1024;

/** One prefix cache event of an engine; `seq` has gaps when events were lost. */
export type PrefixCacheEvent = {
	seq: number;
	kind: 'stored' | 'evicted' | 'cleared';
	/** Hashes of prefix blocks; each hash covers all earlier blocks too. */
	blocks: readonly string[];
};

/** Settings of a prefix index. */
export type PrefixIndexOptions = {
	/** Age in ms after which a stored block without a newer event no longer counts as cached. */
	maxAgeMs?: number;
	/** Age limit in ms for blocks stored before a gap, because the lost events may be evictions; also for blocks without an event yet. */
	maxAgeAfterGapMs?: number;
	/** Number of blocks kept per server; the oldest are removed first. */
	maxBlocksPerServer?: number;
};

type ServerBlocks = {
	bootId: string;
	/** Highest sequence number seen; `undefined` before the first event. */
	lastSeq: number | undefined;
	/** Expiry time by block hash, in the order of the last update. */
	expiries: Map<string, number>;
};

/** Tracks which prefix blocks each engine caches. The cache events are late and incomplete, so the results are hints only. */
export class PrefixIndex {
	readonly #maxAgeMs: number;
	readonly #maxAgeAfterGapMs: number;
	readonly #maxBlocks: number;
	readonly #servers = new Map<string, ServerBlocks>();

	constructor(options: PrefixIndexOptions = {}) {
		this.#maxAgeMs = options.maxAgeMs ?? 600_000;
		this.#maxAgeAfterGapMs = options.maxAgeAfterGapMs ?? 30_000;
		this.#maxBlocks = options.maxBlocksPerServer ?? 4096;
	}

	/** Applies a batch of events; returns the number of sequence numbers that are missing. */
	applyEvents(serverId: string, bootId: string, events: readonly PrefixCacheEvent[], now: number): number {
		const server = this.#getServer(serverId, bootId);
		let missing = 0;
		for (const event of events) {
			missing += this.#applyEvent(server, event, now);
		}

		return missing;
	}

	/** Records that a server finished the prefill of these blocks, before its cache events arrive. */
	recordStored(serverId: string, bootId: string, blocks: readonly string[], now: number): void {
		this.#addBlocks(this.#getServer(serverId, bootId), blocks, now + this.#maxAgeAfterGapMs);
	}

	/** Counts the leading blocks of a prompt that the server is assumed to cache. */
	countMatching(serverId: string, blocks: readonly string[], now: number): number {
		const server = this.#servers.get(serverId);
		if (server === undefined) {
			return 0;
		}

		const firstMiss = blocks.findIndex(block => (server.expiries.get(block) ?? -Infinity) <= now);
		return firstMiss === -1 ? blocks.length : firstMiss;
	}

	/** Last sequence number seen, after which to poll for events; `undefined` before the first event of this boot id. */
	getLastSeq(serverId: string, bootId: string): number | undefined {
		const server = this.#servers.get(serverId);
		return server?.bootId === bootId ? server.lastSeq : undefined;
	}

	/** Removes a server that left. */
	removeServer(serverId: string): void {
		this.#servers.delete(serverId);
	}

	/** Removes blocks whose age limit has passed. */
	removeExpired(now: number): void {
		for (const server of this.#servers.values()) {
			for (const [block, expiry] of server.expiries) {
				if (expiry <= now) {
					server.expiries.delete(block);
				}
			}
		}
	}

	#getServer(serverId: string, bootId: string): ServerBlocks {
		const known = this.#servers.get(serverId);
		if (known?.bootId === bootId) {
			return known;
		}

		const created: ServerBlocks = {bootId, lastSeq: undefined, expiries: new Map()};
		this.#servers.set(serverId, created);
		return created;
	}

	#applyEvent(server: ServerBlocks, event: PrefixCacheEvent, now: number): number {
		const {lastSeq} = server;
		// A duplicate or reordered event does not describe the present state.
		if (lastSeq !== undefined && event.seq <= lastSeq) {
			return 0;
		}

		const missing = lastSeq === undefined ? 0 : event.seq - lastSeq - 1;
		server.lastSeq = event.seq;
		if (missing > 0) {
			this.#updateAfterGap(server, now);
		}

		if (event.kind === 'stored') {
			this.#addBlocks(server, event.blocks, now + this.#maxAgeMs);
		} else if (event.kind === 'evicted') {
			for (const block of event.blocks) {
				server.expiries.delete(block);
			}
		} else {
			server.expiries.clear();
		}

		return missing;
	}

	#updateAfterGap(server: ServerBlocks, now: number): void {
		const limit = now + this.#maxAgeAfterGapMs;
		for (const [block, expiry] of server.expiries) {
			server.expiries.set(block, Math.min(expiry, limit));
		}
	}

	#addBlocks(server: ServerBlocks, blocks: readonly string[], expiry: number): void {
		for (const block of blocks) {
			const known = server.expiries.get(block) ?? 0;
			server.expiries.delete(block);
			server.expiries.set(block, Math.max(known, expiry));
		}

		for (const block of server.expiries.keys()) {
			if (server.expiries.size <= this.#maxBlocks) {
				break;
			}

			server.expiries.delete(block);
		}
	}
}
