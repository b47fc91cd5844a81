/** Time in ms for which a renewal of a session is valid, counted from its sending time. */
export const sessionTtlMs = 6000;
/** Time in ms between renewals. */
export const sessionRenewalMs = 2000;
/** Time in ms that observers add to the validity of a session, for the difference of clock rates. */
export const sessionMarginMs = 1000;

/** Options of the lease. */
export type SessionLeaseOptions = {
	ttlMs?: number;
	/** Difference in ms between the progress of the wall clock and of the monotonic clock that counts as a stop of the latter. */
	clockStopMs?: number;
};

/** Session of the own entry. It never extends itself: an answer that arrives after the expiry of the renewal has no effect. */
export class SessionLease {
	#validUntil = Number.NEGATIVE_INFINITY;
	/** A renewal that was sent before this time does not count. */
	#ignoredBefore = Number.NEGATIVE_INFINITY;
	#lastCheck: {now: number; wallNow: number} | undefined;
	readonly #ttlMs: number;
	readonly #clockStopMs: number;

	constructor(options: SessionLeaseOptions = {}) {
		this.#ttlMs = options.ttlMs ?? sessionTtlMs;
		this.#clockStopMs = options.clockStopMs ?? sessionMarginMs / 2;
	}

	/** End of validity in monotonic ms. */
	get validUntil(): number {
		return this.#validUntil;
	}

	isValid(now: number): boolean {
		return now < this.#validUntil;
	}

	/**
	 * Compares both clocks; called at the start of each task step. A monotonic clock that stood still while the instance
	 * was suspended shows no gap by itself, so a jump of the wall clock ends the lease as well.
	 * Returns true when the lease was ended by a gap.
	 */
	checkClock(now: number, wallNow: number): boolean {
		const last = this.#lastCheck;
		this.#lastCheck = {now, wallNow};
		if (last === undefined) {
			return false;
		}

		const elapsed = now - last.now;
		const stoppedMs = wallNow - last.wallNow - elapsed;
		// A lease that had ended before the last check is not ended again, or the renewal that is under way would not count.
		const hasOutlasted = this.isValid(last.now) && elapsed >= this.#validUntil - last.now;
		const hasGap = hasOutlasted || stoppedMs > this.#clockStopMs;
		if (hasGap) {
			this.reset(now);
		}

		return hasGap;
	}

	/** Ends the lease; only a renewal sent from now on starts it again. */
	reset(now: number): void {
		this.#validUntil = Number.NEGATIVE_INFINITY;
		this.#ignoredBefore = now;
	}

	/** Records a successful renewal by the time at which it was sent; returns whether the lease is valid. */
	recordRenewal(sentAt: number, now: number): boolean {
		if (sentAt >= this.#ignoredBefore) {
			this.#validUntil = Math.max(this.#validUntil, sentAt + this.#ttlMs);
		}

		return this.isValid(now);
	}
}
