/** Settings of lane credits. */
export type LaneCreditOptions = {
	laneCount: number;
	/** Share of the engine's time that is kept for longer prompts while they wait. */
	longShare: number;
	/** Largest credit of a lane in ms; also the initial credit. */
	maxCreditMs: number;
};

/**
 * Time credits that keep longer prompts from starving on the engine.
 * The engine runs shorter prompts first, so the prefill of a longer one proceeds only while no shorter prompt is in
 * flight. While a longer prompt waits, a lane and all shorter lanes may keep the engine busy for only a share of the
 * time. Busy time is measured instead of tokens, because a loaded engine does not reach the prefill rate of its profile.
 */
export class LaneCredits {
	readonly #options: LaneCreditOptions;
	readonly #creditsMs: number[];
	#updatedAt: number | undefined;

	constructor(options: LaneCreditOptions) {
		this.#options = options;
		this.#creditsMs = Array.from({length: options.laneCount}, () => options.maxCreditMs);
	}

	/** Charges or credits the time since the last call; `inFlight` holds the prefill tokens in flight by lane. */
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

	/** True when the lane may start more work although a longer prompt waits. */
	isAvailable(lane: number): boolean {
		return this.#creditsMs[lane]! > 0;
	}
}
