import type {LaneBacklog} from './admission-queue.js';

const smoothingFactor = 0.1;
/** Time constants in ms of the drain rate; long prompts are granted one by one and need a longer one. */
const shortTimeConstantMs = 4000;
const longTimeConstantMs = 120_000;

type GrantRate = {timeConstantMs: number; tokens: number; timeMs: number};

/** Measured rates of one backend server from which waiting times are estimated. */
export class ServiceRateEstimator {
	#holdMs = 0;
	#decodeMsPerToken: number;
	readonly #grantRates: GrantRate[];
	#updatedAt: number | undefined;

	/** Until measured, the shortest lane drains at the whole prefill rate and each longer one at half of the one below. */
	constructor(laneCount: number, prefillTokensPerSecond: number, decodeMsPerToken: number) {
		this.#decodeMsPerToken = decodeMsPerToken;
		this.#grantRates = Array.from({length: laneCount}, (_, lane) => {
			const timeConstantMs = lane === 0 ? shortTimeConstantMs : longTimeConstantMs;
			const timeMs = timeConstantMs / 4;
			return {timeConstantMs, timeMs, tokens: (prefillTokensPerSecond * timeMs) / (1000 * (2 ** lane))};
		});
	}

	/** Mean time in ms from grant to release. */
	get holdMs(): number {
		return this.#holdMs;
	}

	/** Mean time in ms per expected generated token. */
	get decodeMsPerToken(): number {
		return this.#decodeMsPerToken;
	}

	/** Prefill tokens per second granted in a lane while requests wait in it. */
	getGrantRate(lane: number): number {
		const {tokens, timeMs} = this.#grantRates[lane]!;
		return (tokens * 1000) / timeMs;
	}

	/** Counts the time since the last call for the lanes in which requests wait. */
	updateTime(backlogs: readonly LaneBacklog[], now: number): void {
		const elapsedMs = now - (this.#updatedAt ?? now);
		this.#updatedAt = now;
		if (elapsedMs <= 0) {
			return;
		}

		for (const [lane, drain] of this.#grantRates.entries()) {
			if (backlogs[lane]!.size > 0) {
				const decay = Math.exp(-elapsedMs / drain.timeConstantMs);
				drain.tokens *= decay;
				drain.timeMs = (drain.timeMs * decay) + elapsedMs;
			}
		}
	}

	/** Records prefill tokens granted to a request that waited. */
	recordGrant(lane: number, prefillTokens: number): void {
		this.#grantRates[lane]!.tokens += prefillTokens;
	}

	/** Records how long a finished attempt held its permit. */
	recordHold(holdMs: number): void {
		this.#holdMs = this.#holdMs === 0 ? holdMs : this.#holdMs + (smoothingFactor * (holdMs - this.#holdMs));
	}

	/** Records the time from the first token to the end of a completed attempt. */
	recordDecode(durationMs: number, expectedTokens: number): void {
		if (expectedTokens > 0) {
			this.#decodeMsPerToken += smoothingFactor * ((durationMs / expectedTokens) - this.#decodeMsPerToken);
		}
	}
}
