import type {LaneBacklog} from './admission-queue.js';

/** Weight of a new sample in the exponential averages. */
const smoothingFactor = 0.1;
/** Time constants in ms of the grant rate; long prompts are granted one at a time and need a longer average. */
const shortTimeConstantMs = 4000;
const longTimeConstantMs = 120_000;

/** Prefill tokens granted after a wait, and time in which requests waited; both decay exponentially. */
type GrantRate = {timeConstantMs: number; tokens: number; timeMs: number};

/** Measured grant rates, permit hold time and decode time of one backend server, from which waiting times are estimated. */
export class ServiceRateEstimator {
	#holdMs = 0;
	#decodeMsPerToken: number;
	readonly #grantRates: GrantRate[];
	#updatedAt: number | undefined;

	/** Starts with the whole prefill rate for the shortest lane and half of the preceding lane's rate for each longer one. */
	constructor(laneCount: number, prefillTokensPerSecond: number, decodeMsPerToken: number) {
		this.#decodeMsPerToken = decodeMsPerToken;
		this.#grantRates = Array.from({length: laneCount}, (_, lane) => {
			const timeConstantMs = lane === 0 ? shortTimeConstantMs : longTimeConstantMs;
			const timeMs = timeConstantMs / 4;
			return {timeConstantMs, timeMs, tokens: (prefillTokensPerSecond * timeMs) / (1000 * (2 ** lane))};
		});
	}

	/** Mean time in ms from grant to release of completed attempts; 0 before the first one. */
	get holdMs(): number {
		return this.#holdMs;
	}

	/** Mean time in ms per expected generated token. */
	get decodeMsPerToken(): number {
		return this.#decodeMsPerToken;
	}

	/** Prefill tokens per second that are granted in a lane while requests wait there. */
	getGrantRate(lane: number): number {
		const {tokens, timeMs} = this.#grantRates[lane]!;
		return (tokens * 1000) / timeMs;
	}

	/** Adds the time since the last call to the lanes in which requests wait; `backlogs` is indexed by lane. */
	updateTime(backlogs: readonly LaneBacklog[], now: number): void {
		const elapsedMs = now - (this.#updatedAt ?? now);
		this.#updatedAt = now;
		if (elapsedMs <= 0) {
			return;
		}

		for (const [lane, grantRate] of this.#grantRates.entries()) {
			if (backlogs[lane]!.size > 0) {
				const decay = Math.exp(-elapsedMs / grantRate.timeConstantMs);
				grantRate.tokens *= decay;
				grantRate.timeMs = (grantRate.timeMs * decay) + elapsedMs;
			}
		}
	}

	/** Records the prefill tokens of a request that was granted after a wait. */
	recordGrant(lane: number, prefillTokens: number): void {
		this.#grantRates[lane]!.tokens += prefillTokens;
	}

	/** Records how long in ms a completed attempt held its permit. */
	recordHold(holdMs: number): void {
		this.#holdMs = this.#holdMs === 0 ? holdMs : this.#holdMs + (smoothingFactor * (holdMs - this.#holdMs));
	}

	/** Records the time in ms from the first token to the end of a completed attempt. */
	recordDecode(durationMs: number, expectedTokens: number): void {
		if (expectedTokens > 0) {
			this.#decodeMsPerToken += smoothingFactor * ((durationMs / expectedTokens) - this.#decodeMsPerToken);
		}
	}
}
