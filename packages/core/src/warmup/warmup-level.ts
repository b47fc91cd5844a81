import type {BackendServerProfile} from '../types/index.js';

/** Settings of the warm-up of a backend server. */
export type WarmupOptions = {
	/** Factor by which the level, and with it the concurrency, grows in one step. */
	growth?: number;
	/** Completed requests needed to leave the cold level. */
	coldSuccesses?: number;
	/** Completed requests needed for each later step. */
	successesPerStep?: number;
	/** Least time in ms between two steps. */
	minStepMs?: number;
	/** A first token later than this multiple of the expected time counts as a latency jump. */
	latencyJumpFactor?: number;
	/** Number of consecutive latency jumps that reset the level. */
	latencyJumps?: number;
	/** Excess in ms over the expected time that is never counted as a jump. */
	latencyToleranceMs?: number;
};

/** Capacity bounds of a backend server at its present warm-up level. */
export type WarmupLimits = {
	/** Running attempts. */
	concurrency: number;
	/** Prefill tokens in flight. */
	prefillTokens: number;
};

/** Measured and expected time to first token of a granted request. */
export type WarmupSample = {
	/** Time in ms from the grant to the first token. */
	firstTokenMs: number;
	/** Time in ms expected at the profile's prefill rate, including the prefill that runs first. */
	expectedMs: number;
};

/** Level that a former owner measured for one boot id and passes to the next owner. */
export type WarmupHandover = {bootId: string; factor: number};

/**
 * Warm-up level of one backend server, which limits its load after a start.
 * Only completed requests raise the level; reports never do, because they lag behind the state of the engine.
 */
export class WarmupLevel {
	#profile: BackendServerProfile;
	readonly #growthFactor: number;
	readonly #coldSuccesses: number;
	readonly #successesPerStep: number;
	readonly #minStepMs: number;
	readonly #jumpFactor: number;
	readonly #jumpLimit: number;
	readonly #toleranceMs: number;
	#factor = 1;
	#successes = 0;
	#consecutiveJumps = 0;
	#changedAt = -Infinity;

	constructor(profile: BackendServerProfile, options: WarmupOptions = {}) {
		this.#profile = profile;
		this.#growthFactor = options.growth ?? 2;
		this.#coldSuccesses = options.coldSuccesses ?? 16;
		this.#successesPerStep = options.successesPerStep ?? 8;
		this.#minStepMs = options.minStepMs ?? 1000;
		this.#jumpFactor = options.latencyJumpFactor ?? 4;
		this.#jumpLimit = options.latencyJumps ?? 3;
		this.#toleranceMs = options.latencyToleranceMs ?? 500;
	}

	/** Level as a multiple of the cold concurrency; 1 is cold. */
	get factor(): number {
		return this.#factor;
	}

	/** Bounds at the present level. The prefill bound grows with the square of the level, because long prompts wait for it. */
	get limits(): WarmupLimits {
		const {coldConcurrency, coldPrefillTokens, maxConcurrency, kvTokens} = this.#profile;
		return {
			concurrency: Math.min(maxConcurrency, Math.floor(coldConcurrency * this.#factor)),
			prefillTokens: Math.min(Math.max(kvTokens, coldPrefillTokens), Math.floor(coldPrefillTokens * (this.#factor ** 2))),
		};
	}

	/** True at the lowest level. */
	get isCold(): boolean {
		return this.#factor === 1;
	}

	/** True when the warm-up bounds have reached the capacity in the profile. */
	get isWarm(): boolean {
		const {concurrency, prefillTokens} = this.limits;
		return concurrency >= this.#profile.maxConcurrency && prefillTokens >= this.#profile.kvTokens;
	}

	/** Sets the profile from a report; the level does not change. */
	updateProfile(profile: BackendServerProfile): void {
		this.#profile = profile;
	}

	/** Returns to the cold level after a boot change, an error or several latency jumps in a row. */
	reset(now: number): void {
		this.#factor = 1;
		this.#successes = 0;
		this.#consecutiveJumps = 0;
		this.#changedAt = now;
	}

	/** Sets the level that the former owner measured for the same boot id. */
	resetTo(factor: number, now: number): void {
		this.reset(now);
		this.#factor = Math.max(1, factor);
	}

	/** Records a first token; several latency jumps in a row reset the level. */
	recordFirstToken(sample: WarmupSample, now: number): void {
		if (!this.#isJump(sample)) {
			this.#consecutiveJumps = 0;
			return;
		}

		this.#consecutiveJumps++;
		this.#successes = 0;
		if (this.#consecutiveJumps >= this.#jumpLimit) {
			this.reset(now);
		}
	}

	/** Records a completed request; enough of them raise the level by one step. */
	recordCompleted(grantedAt: number, now: number): void {
		// A request granted before the last change of the level does not show how the server runs at the present level.
		if (grantedAt >= this.#changedAt) {
			this.#successes++;
			this.#tryRaise(now);
		}
	}

	#isJump({firstTokenMs, expectedMs}: WarmupSample): boolean {
		return firstTokenMs > Math.max(expectedMs * this.#jumpFactor, expectedMs + this.#toleranceMs);
	}

	#tryRaise(now: number): void {
		const needed = this.isCold ? this.#coldSuccesses : this.#successesPerStep;
		if (this.isWarm || this.#successes < needed || now - this.#changedAt < this.#minStepMs) {
			return;
		}

		this.#factor *= this.#growthFactor;
		this.#successes = 0;
		this.#changedAt = now;
	}
}
