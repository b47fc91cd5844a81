/**
 * Token bucket that can go into debt: a cost above the capacity is admitted when the bucket is full,
 * and later costs wait until the debt is repaid.
 */
export class TokenBucket {
	#ratePerSecond = 0;
	#capacity = 0;
	#level = 0;
	#updatedAt: number;

	constructor(now: number) {
		this.#updatedAt = now;
	}

	/** Present level; negative while in debt. */
	getLevel(now: number): number {
		this.#update(now);
		return this.#level;
	}

	/** Sets rate and capacity; a level above the new capacity is reduced to it. */
	setRate(ratePerSecond: number, capacity: number, now: number): void {
		this.#update(now);
		this.#ratePerSecond = ratePerSecond;
		this.#capacity = capacity;
		this.#level = Math.min(this.#level, capacity);
	}

	/** Computes the time in ms until a cost can be admitted; 0 when it can be admitted now, infinite at rate 0. */
	computeWaitMs(cost: number, now: number): number {
		this.#update(now);
		if (this.#ratePerSecond === 0) {
			return Number.POSITIVE_INFINITY;
		}

		const missing = Math.min(cost, this.#capacity) - this.#level;
		// The tolerance keeps a rounding error in the refill from causing one more wait.
		return missing <= this.#capacity * 1e-9 ? 0 : (missing / this.#ratePerSecond) * 1000;
	}

	/** Subtracts a cost, possibly into debt. A negative cost returns tokens, up to the capacity. */
	consume(cost: number, now: number): void {
		this.#update(now);
		this.#level = Math.min(this.#capacity, this.#level - cost);
	}

	#update(now: number): void {
		const elapsedMs = Math.max(0, now - this.#updatedAt);
		this.#updatedAt = Math.max(this.#updatedAt, now);
		this.#level = Math.min(this.#capacity, this.#level + ((elapsedMs * this.#ratePerSecond) / 1000));
	}
}
