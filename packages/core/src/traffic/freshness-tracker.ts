/** Steady and wall clock read at the same moment, in ms. */
export type ClockReading = {monotonic: number; wall: number};

/**
 * Age of knowledge that was confirmed by its source.
 * The steady clock does not count the time for which an instance was suspended, the wall clock does but may jump.
 * Knowledge therefore counts as unconfirmed as soon as the two clocks have moved apart.
 */
export class FreshnessTracker {
	#confirmed: ClockReading | undefined;

	/** `clockToleranceMs`: difference of the clocks that is taken for noise. */
	constructor(private readonly clockToleranceMs: number) {}

	/** Records a confirmation; the reading is the one taken before the source was asked. */
	confirm(askedAt: ClockReading): void {
		if (this.#confirmed === undefined || askedAt.monotonic >= this.#confirmed.monotonic) {
			this.#confirmed = askedAt;
		}
	}

	/** Age in ms; infinite when the knowledge is unconfirmed or the clocks have moved apart since. */
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

		const steadyMs = now.monotonic - this.#confirmed.monotonic;
		const wallMs = now.wall - this.#confirmed.wall;
		return Math.abs(wallMs - steadyMs) > this.clockToleranceMs;
	}

	/** True while the knowledge is at most `maxAgeMs` old. */
	isFresh(now: ClockReading, maxAgeMs: number): boolean {
		return this.computeAgeMs(now) <= maxAgeMs;
	}
}
