import type {BackendServerProfile} from '../types/index.js';

/** Settings of the warm-up of a backend server. */
export type WarmupOptions = {
	/** Factor by which the bounds grow in one step. */
	growth?: number;
	/** Completed requests needed to leave the cold level. */
	coldSuccesses?: number;
	/** Completed requests needed for each later step. */
	successesPerStep?: number;
	/** Least time in ms between two steps. */
	minStepMs?: number;
	/** A first token later than this multiple of the expected time counts as a latency jump. */
	latencyJumpFactor?: number;
	/** Consecutive late first tokens that reset the level. */
	latencyJumps?: number;
	/** Lateness in ms that is never counted as a jump. */
	latencyToleranceMs?: number;
};

/** Bounds of a backend server at its present warm-up level. */
export type WarmupLimits = {
	concurrency: number;
	/** Prefill tokens in flight. */
	prefillTokens: number;
};

/** Time to the first token of a granted request, compared with the expectation. */
export type WarmupSample = {
	firstTokenMs: number;
	/** First-token time in ms expected at the profile's prefill rate, including work ahead. */
	expectedMs: number;
};

/** Level that a former owner passes on for one boot id. */
export type WarmupHandover = {bootId: string; factor: number};

/**
 * Warm-up level of one backend server.
 * Only completed requests raise it; reports of the engine lag behind and never do.
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

	/** Multiple of the cold concurrency that the server is given. */
	get factor(): number {
		return this.#factor;
	}

	/** Bounds at the present level; prefill grows faster, because long prompts wait for it. */
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

	/** True when the warm-up bounds no longer restrict the server. */
	get isWarm(): boolean {
		const {concurrency, prefillTokens} = this.limits;
		return concurrency >= this.#profile.maxConcurrency && prefillTokens >= this.#profile.kvTokens;
	}

	/** Takes over capacity figures from a report; the level itself does not rise. */
	updateProfile(profile: BackendServerProfile): void {
		this.#profile = profile;
	}

	/** Returns to the cold level after a boot change, an error or a latency jump. */
	reset(now: number): void {
		this.#factor = 1;
		this.#successes = 0;
		this.#consecutiveJumps = 0;
		this.#changedAt = now;
	}

	/** Takes over the level that the former owner measured for the same boot. */
	resetTo(factor: number, now: number): void {
		this.reset(now);
		this.#factor = Math.max(1, factor);
	}

	/** Records a first token; repeated late ones reset the level. */
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

	/** Records a completed request; enough of them raise the level. */
	recordCompleted(grantedAt: number, now: number): void {
		// A request granted below the present level says nothing about this level.
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
