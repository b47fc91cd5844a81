/** Rate limit with a burst of one second; time in ms is passed in. */
export class TokenBucket {
	readonly #perSecond: number;
	#tokens: number;
	#updatedAt: number | undefined;

	constructor(perSecond: number) {
		this.#perSecond = perSecond;
		this.#tokens = perSecond;
	}

	/** Takes one token; returns 0, or the time in ms until one is free. */
	consume(now: number): number {
		const elapsedMs = now - (this.#updatedAt ?? now);
		this.#updatedAt = now;
		this.#tokens = Math.min(this.#perSecond, this.#tokens + (elapsedMs * this.#perSecond / 1000));
		if (this.#tokens < 1) {
			return Math.max(1, Math.ceil((1 - this.#tokens) * 1000 / this.#perSecond));
		}

		this.#tokens -= 1;
		return 0;
	}
}
