/** Monotonic and wall clock read at the same moment, in ms. */
export type ClockReading = {monotonic: number; wall: number};

/**
 * Tracks the time since the source of a piece of data last confirmed it.
 * The monotonic clock omits the time for which an instance was suspended. The wall clock includes this time, but may jump.
 * The data therefore counts as unconfirmed as soon as the two clocks have moved apart.
 */
export class FreshnessTracker {
	#confirmed: ClockReading | undefined;

	/** `clockToleranceMs`: difference between the clocks that is ignored as noise. */
	constructor(private readonly clockToleranceMs: number) {}

	/** Records a confirmation; `requestedAt` is read before the request to the source, so that its round trip counts as age. */
	confirm(requestedAt: ClockReading): void {
		if (this.#confirmed === undefined || requestedAt.monotonic >= this.#confirmed.monotonic) {
			this.#confirmed = requestedAt;
		}
	}

	/** Age in ms; infinite when the data is unconfirmed or the clocks have moved apart since. */
	computeAgeMs(now: ClockReading): number {
		if (this.#confirmed === undefined || this.hasClockGap(now)) {
			return Number.POSITIVE_INFINITY;
		}

		return Math.max(0, now.monotonic - this.#confirmed.monotonic);
	}

	/** True when the clocks have moved apart since the last confirmation. */
	hasClockGap(now: ClockReading): boolean {
		if (this.#confirmed === undefined) {
			return false;
		}

		const monotonicMs = now.monotonic - this.#confirmed.monotonic;
		const wallMs = now.wall - this.#confirmed.wall;
		return Math.abs(wallMs - monotonicMs) > this.clockToleranceMs;
	}

	/**
	 * Forgets the confirmation when the clocks have moved apart since, and returns whether they have. Called often, so that a suspension
	 * is noticed although the wall clock is set back later.
	 */
	checkClocks(now: ClockReading): boolean {
		if (!this.hasClockGap(now)) {
			return false;
		}

		this.#confirmed = undefined;
		return true;
	}

	/** True while the last confirmation is at most `maxAgeMs` old. */
	isFresh(now: ClockReading, maxAgeMs: number): boolean {
		return this.computeAgeMs(now) <= maxAgeMs;
	}
}
