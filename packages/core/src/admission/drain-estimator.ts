const smoothing = 0.1;
const rateWindowMs = 2000;

/** Measured rates of one backend server from which waiting times are estimated. */
export class DrainEstimator {
	#holdMs: number | undefined;
	#decodeMsPerToken: number;
	readonly #laneRates: number[];
	#updatedAt = 0;

	constructor(laneCount: number, decodeMsPerToken: number) {
		this.#laneRates = Array.from({length: laneCount}, () => 0);
		this.#decodeMsPerToken = decodeMsPerToken;
	}

	/** Mean time in ms from grant to release. */
	get holdMs(): number {
		return this.#holdMs ?? 0;
	}

	/** Mean time in ms per expected generated token. */
	get decodeMsPerToken(): number {
		return this.#decodeMsPerToken;
	}

	/** Records granted prefill tokens. */
	recordGrant(lane: number, prefillTokens: number, now: number): void {
		this.#updateRates(now);
		this.#laneRates[lane]! += (prefillTokens * 1000) / rateWindowMs;
	}

	/** Records how long a finished attempt held its permit. */
	recordHold(holdMs: number): void {
		this.#holdMs = this.#holdMs === undefined ? holdMs : this.#holdMs + (smoothing * (holdMs - this.#holdMs));
	}

	/** Records the time from the first token to the end of a completed attempt. */
	recordDecode(durationMs: number, expectedTokens: number): void {
		if (expectedTokens > 0) {
			this.#decodeMsPerToken += smoothing * ((durationMs / expectedTokens) - this.#decodeMsPerToken);
		}
	}

	/** Prefill tokens per second granted in all lanes below this one. */
	computeRateBelow(lane: number, now: number): number {
		this.#updateRates(now);
		let rate = 0;
		for (let index = 0; index < lane; index++) {
			rate += this.#laneRates[index]!;
		}

		return rate;
	}

	#updateRates(now: number): void {
		const elapsedMs = now - this.#updatedAt;
		if (elapsedMs <= 0) {
			return;
		}

		const decay = Math.exp(-elapsedMs / rateWindowMs);
		for (let index = 0; index < this.#laneRates.length; index++) {
			this.#laneRates[index]! *= decay;
		}

		this.#updatedAt = now;
	}
}
