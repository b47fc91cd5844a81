/** Rate limit that permits a burst of one second's tokens; callers pass in the time in ms. */
export class TokenBucket {
	readonly #perSecond: number;
	#tokens: number;
	#updatedAt: number | undefined;

	constructor(perSecond: number) {
		this.#perSecond = perSecond;
		this.#tokens = perSecond;
	}

	/** Takes one token and returns 0, or returns the time in ms until a token is available. */
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
