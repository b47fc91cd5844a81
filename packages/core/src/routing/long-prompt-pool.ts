/** Settings of a long prompt pool; each has a default. */
export type LongPromptPoolOptions = {
	/** Load in prefill seconds per second that one server of the pool should take. */
	targetLoad?: number;
	/** The pool shrinks when each server of the smaller pool would get at most this share of the target load. */
	shrinkShare?: number;
	/** Time in ms for which the load must stay low before the pool shrinks. */
	shrinkDelayMs?: number;
	/** Time constant in ms of the measured load. */
	smoothingMs?: number;
	/** Largest share of the servers in the pool. */
	maxShare?: number;
};

/**
 * Computes the number of servers to which long prompts are confined.
 * The number follows the offered prefill load of long prompts. Hysteresis keeps cached prefixes from moving between servers
 * with every change of the load.
 */
export class LongPromptPool {
	readonly #targetLoad: number;
	readonly #shrinkShare: number;
	readonly #shrinkDelayMs: number;
	readonly #smoothingMs: number;
	readonly #maxShare: number;
	#size = 1;
	#loadTokensPerSecond = 0;
	#updatedAt: number | undefined;
	#lowSince: number | undefined;

	constructor(options: LongPromptPoolOptions = {}) {
		this.#targetLoad = options.targetLoad ?? 0.6;
		this.#shrinkShare = options.shrinkShare ?? 0.7;
		this.#shrinkDelayMs = options.shrinkDelayMs ?? 30_000;
		this.#smoothingMs = options.smoothingMs ?? 20_000;
		this.#maxShare = options.maxShare ?? 0.75;
	}

	/** Counts the prefill tokens of an offered long prompt. */
	recordOffered(prefillTokens: number, now: number): void {
		this.#updateLoad(now);
		this.#loadTokensPerSecond += (prefillTokens * 1000) / this.#smoothingMs;
	}

	/** Computes the size of the pool out of `servers` servers that each have the given prefill rate. */
	computeSize(servers: number, prefillTokensPerSecond: number, now: number): number {
		this.#updateLoad(now);
		const load = this.#loadTokensPerSecond / prefillTokensPerSecond;
		const needed = Math.max(1, Math.ceil(load / this.#targetLoad));
		const smaller = Math.max(1, Math.ceil(load / (this.#targetLoad * this.#shrinkShare)));
		this.#updateSize(needed, smaller, now);
		return Math.min(this.#size, Math.max(1, Math.floor(servers * this.#maxShare)));
	}

	#updateSize(needed: number, smaller: number, now: number): void {
		if (needed >= this.#size) {
			this.#size = needed;
			this.#lowSince = undefined;
			return;
		}

		if (smaller >= this.#size) {
			this.#lowSince = undefined;
			return;
		}

		this.#lowSince ??= now;
		if (now - this.#lowSince >= this.#shrinkDelayMs) {
			this.#size--;
			this.#lowSince = now;
		}
	}

	#updateLoad(now: number): void {
		const elapsedMs = this.#updatedAt === undefined ? 0 : Math.max(0, now - this.#updatedAt);
		this.#loadTokensPerSecond *= Math.exp(-elapsedMs / this.#smoothingMs);
		this.#updatedAt = now;
	}
}
