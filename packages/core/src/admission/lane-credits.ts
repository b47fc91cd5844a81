/** Settings of lane credits. */
export type LaneCreditOptions = {
	laneCount: number;
	/** Share of the time for which lanes of shorter prompts leave the engine to longer ones. */
	longShare: number;
	/** Largest credit in ms. */
	maxCreditMs: number;
};

/**
 * Time credits that keep longer prompts from starving on the engine.
 * The engine runs shorter prompts first, so a longer one proceeds only while no shorter one is in flight. A lane and
 * all shorter ones may be busy for at most a share of the time while a longer one waits; busy time is used instead of
 * token rates, because the true prefill rate of a loaded engine is below the one in its profile.
 */
export class LaneCredits {
	readonly #options: LaneCreditOptions;
	readonly #creditsMs: number[];
	#updatedAt: number | undefined;

	constructor(options: LaneCreditOptions) {
		this.#options = options;
		this.#creditsMs = Array.from({length: options.laneCount}, () => options.maxCreditMs);
	}

	/** Counts the time since the last call; `inFlight` are the prefill tokens in flight by lane. */
	updateTime(inFlight: readonly number[], now: number): void {
		const elapsedMs = Math.max(0, now - (this.#updatedAt ?? now));
		this.#updatedAt = now;
		let isBusy = false;
		for (let lane = 0; lane < this.#creditsMs.length; lane++) {
			isBusy ||= inFlight[lane]! > 0;
			const change = isBusy ? -this.#options.longShare : 1 - this.#options.longShare;
			this.#creditsMs[lane] = Math.min(this.#options.maxCreditMs, this.#creditsMs[lane]! + (elapsedMs * change));
		}
	}

	/** True when the lane may start more work although a longer one waits. */
	isAvailable(lane: number): boolean {
		return this.#creditsMs[lane]! > 0;
	}
}
