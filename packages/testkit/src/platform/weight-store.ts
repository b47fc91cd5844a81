/** Accepted transfer with its duration, or the time until a refused one can be retried. */
export type TransferResult =
	| {type: 'accepted'; transferId: string; durationMs: number}
	| {type: 'refused'; retryAfterMs: number};

/** Weight store that runs a limited number of transfers at the same time; callers pass in the time in ms. */
export class WeightStore {
	readonly #limit: number;
	readonly #durationMs: number;
	#endTimes: number[] = [];
	#accepted = 0;

	constructor(limit: number, durationMs: number) {
		this.#limit = limit;
		this.#durationMs = durationMs;
	}

	get accepted(): number {
		return this.#accepted;
	}

	request(now: number): TransferResult {
		this.#endTimes = this.#endTimes.filter(end => end > now);
		if (this.#endTimes.length >= this.#limit) {
			return {type: 'refused', retryAfterMs: Math.ceil(Math.min(...this.#endTimes) - now)};
		}

		this.#endTimes.push(now + this.#durationMs);
		this.#accepted += 1;
		return {type: 'accepted', transferId: `transfer-${this.#accepted}`, durationMs: this.#durationMs};
	}
}
