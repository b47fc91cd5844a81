/** Settings of a retry budget; each has a default. */
export type RetryBudgetOptions = {
	/** Retries allowed per success in the window. */
	share?: number;
	/** Retries allowed per window without any success, so that an idle entry can still retry. */
	minRetries?: number;
	/** Length of the sliding window in ms. */
	windowMs?: number;
};

type Bucket = {index: number; successes: number; retries: number};

const bucketCount = 10;

/** Bounds retries to a share of recent successes, so that an outage does not multiply the load. */
export class RetryBudget {
	readonly #share: number;
	readonly #minRetries: number;
	readonly #bucketMs: number;
	readonly #buckets: Bucket[] = Array.from({length: bucketCount}, () => ({index: -1, successes: 0, retries: 0}));

	constructor(options: RetryBudgetOptions = {}) {
		this.#share = options.share ?? 0.2;
		this.#minRetries = options.minRetries ?? 3;
		this.#bucketMs = (options.windowMs ?? 10_000) / bucketCount;
	}

	/** Counts a completed request, which raises the allowance. */
	recordSuccess(now: number): void {
		this.#getBucket(now).successes++;
	}

	/** True when one more retry is within the budget. */
	isAvailable(now: number): boolean {
		return this.#countRetries(now) + 1 <= this.#computeAllowance(now);
	}

	/** Takes one retry from the budget; false when it is exhausted. */
	tryConsume(now: number): boolean {
		if (!this.isAvailable(now)) {
			return false;
		}

		this.#getBucket(now).retries++;
		return true;
	}

	#computeAllowance(now: number): number {
		const successes = this.#listRecent(now).reduce((sum, bucket) => sum + bucket.successes, 0);
		return this.#minRetries + (this.#share * successes);
	}

	#countRetries(now: number): number {
		return this.#listRecent(now).reduce((sum, bucket) => sum + bucket.retries, 0);
	}

	#listRecent(now: number): Bucket[] {
		const oldest = Math.floor(now / this.#bucketMs) - bucketCount + 1;
		return this.#buckets.filter(bucket => bucket.index >= oldest);
	}

	#getBucket(now: number): Bucket {
		const index = Math.floor(now / this.#bucketMs);
		const bucket = this.#buckets[index % bucketCount]!;
		if (bucket.index !== index) {
			Object.assign(bucket, {index, successes: 0, retries: 0});
		}

		return bucket;
	}
}
