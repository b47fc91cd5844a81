import {refusalReasons, type RefusalReason} from '../types/index.js';
import {computeStaticFloor, type LimitSlice, type PlanLimits} from './plan-limits.js';
import {TokenBucket} from './token-bucket.js';

/** Settings of a slice holder. */
export type SliceHolderOptions = {
	/** Last known number of sessions (live entries), by which the plan is divided into static floors. */
	entries: number;
	/** Time in ms for which the owner is unreachable before the static floor applies. */
	floorDelayMs?: number;
	/** Capacity of the token buckets, in ms of their rate. */
	burstMs?: number;
};

/** Input of a slice holder. */
export type SliceHolderEvent =
	| {type: 'slice'; slice: LimitSlice; /** Sending time of the request for the slice. */ requestedAt: number}
	| {type: 'unreachable'; /** Time at which the call to the owner failed, at the latest its timeout; now unless given. */ since?: number}
	| {type: 'entries'; entries: number}
	| {type: 'plan'; plan: PlanLimits};

/** Estimated cost of one request. */
export type LimitCost = {tokens: number};

/** Decision on one request; `retryAfterMs` is the estimated time until it can be admitted. */
export type LimitDecision = {type: 'admitted'} | {type: 'refused'; reason: RefusalReason; retryAfterMs: number};

/** Demand of one entry since its last request for a slice; part of the next one. */
export type LimitDemand = {
	requests: number;
	tokens: number;
	/** Debt of the token bucket, caused by prompts larger than a slice or by more tokens used than estimated. */
	debtTokens: number;
	/** Requests in progress. */
	concurrency: number;
};

const minRetryAfterMs = 50;
const maxRetryAfterMs = 60_000;

/**
 * Applies the limits of one workspace in one entry: those of a slice from the owner while it is valid, otherwise the
 * static floor once the owner has been unreachable for a while, otherwise nothing is admitted.
 */
export class SliceHolder {
	#plan: PlanLimits;
	#entries: number;
	readonly #floorDelayMs: number;
	readonly #burstMs: number;
	readonly #requests: TokenBucket;
	readonly #tokens: TokenBucket;
	#rates: PlanLimits = {requestsPerSecond: 0, tokensPerSecond: 0, concurrency: 0};
	#isContended = false;
	#expiresAt = -Infinity;
	#unreachableSince: number | undefined;
	/** Time of the last answer of the owner; a call that was sent before it may fail after it. */
	#answeredAt = -Infinity;
	#mode: 'none' | 'slice' | 'floor' = 'none';
	#inProgress = 0;
	#demand = {requests: 0, tokens: 0};

	constructor(plan: PlanLimits, options: SliceHolderOptions, now: number) {
		this.#plan = plan;
		this.#entries = options.entries;
		this.#floorDelayMs = options.floorDelayMs ?? 2000;
		this.#burstMs = options.burstMs ?? 400;
		this.#requests = new TokenBucket(now);
		this.#tokens = new TokenBucket(now);
	}

	/** Requests in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** True while a slice from the owner is valid. */
	hasSlice(now: number): boolean {
		return now < this.#expiresAt;
	}

	/** True while a slice or the static floor applies; otherwise nothing can be admitted. */
	hasLimits(now: number): boolean {
		return this.#resolveMode(now) !== 'none';
	}

	/**
	 * True while the next slice may allow more: there is neither a slice nor a static floor, or the plan exceeds the demand of all
	 * entries, so that unused capacity can be shifted to this entry.
	 */
	canGrow(now: number): boolean {
		return this.hasSlice(now) ? !this.#isContended : !this.hasLimits(now);
	}

	/** Applies an event. */
	handle(event: SliceHolderEvent, now: number): void {
		this.#updateMode(now);
		switch (event.type) {
			case 'slice': {
				this.#answeredAt = now;
				this.#applySlice(event.slice, event.requestedAt);
				break;
			}

			case 'unreachable': {
				this.#unreachableSince ??= Math.max(event.since ?? now, this.#answeredAt);
				break;
			}

			case 'entries': {
				this.#entries = event.entries;
				break;
			}

			case 'plan': {
				this.#plan = event.plan;
				break;
			}
		}

		this.#applyMode(this.#resolveMode(now), now);
	}

	/**
	 * Admits or refuses a request; every admitted request must be ended with `release`.
	 * With `isRepeated`, a further attempt to admit the same request is not counted as demand again.
	 */
	tryConsume(cost: LimitCost, now: number, isRepeated = false): LimitDecision {
		this.#updateMode(now);
		if (!isRepeated) {
			this.#demand.requests++;
			this.#demand.tokens += cost.tokens;
		}

		if (this.#mode === 'none') {
			return this.#refuse(refusalReasons.requestRateExceeded, this.#estimateFloorWaitMs(now));
		}

		const requestWaitMs = this.#requests.computeWaitMs(1, now);
		if (requestWaitMs > 0) {
			return this.#refuse(refusalReasons.requestRateExceeded, requestWaitMs);
		}

		const tokenWaitMs = this.#tokens.computeWaitMs(cost.tokens, now);
		if (tokenWaitMs > 0) {
			return this.#refuse(refusalReasons.tokenRateExceeded, tokenWaitMs);
		}

		if (this.#inProgress >= this.#rates.concurrency) {
			return this.#refuse(refusalReasons.concurrencyExceeded, 1000);
		}

		this.#requests.consume(1, now);
		this.#tokens.consume(cost.tokens, now);
		this.#inProgress++;
		return {type: 'admitted'};
	}

	/** Ends an admitted request and replaces its estimated cost by the measured number of tokens. */
	release(cost: LimitCost, usedTokens: number, now: number): void {
		this.#updateMode(now);
		this.#inProgress = Math.max(0, this.#inProgress - 1);
		this.#tokens.consume(usedTokens - cost.tokens, now);
	}

	/** Returns the demand since the last call and resets the counters. */
	resetDemand(now: number): LimitDemand {
		const demand = {...this.#demand, debtTokens: Math.max(0, -this.#tokens.getLevel(now)), concurrency: this.#inProgress};
		this.#demand = {requests: 0, tokens: 0};
		return demand;
	}

	/** Estimates the time in ms until the static floor applies if the owner does not answer. */
	#estimateFloorWaitMs(now: number): number {
		return (this.#unreachableSince ?? now) + this.#floorDelayMs - now;
	}

	#refuse(reason: RefusalReason, waitMs: number): LimitDecision {
		return {type: 'refused', reason, retryAfterMs: Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)))};
	}

	#applySlice(slice: LimitSlice, requestedAt: number): void {
		this.#unreachableSince = undefined;
		// A lifetime of 0 means that the owner cannot grant a slice yet; the last slice then stays valid until it expires.
		if (slice.lifetimeMs > 0) {
			this.#rates = slice;
			this.#isContended = slice.isContended;
			// Counted from the sending time of the request, so that the slice expires here before it expires at the owner.
			this.#expiresAt = requestedAt + slice.lifetimeMs;
		}
	}

	#resolveMode(now: number): 'none' | 'slice' | 'floor' {
		if (now < this.#expiresAt) {
			return 'slice';
		}

		return this.#unreachableSince !== undefined && now >= this.#unreachableSince + this.#floorDelayMs ? 'floor' : 'none';
	}

	/** Sets the buckets to the limits that apply now; the refill counts from the time at which the last limits ended or these began. */
	#updateMode(now: number): void {
		const mode = this.#resolveMode(now);
		if (mode === this.#mode) {
			return;
		}

		const floorStartsAt = mode === 'floor' ? this.#unreachableSince! + this.#floorDelayMs : now;
		this.#applyMode(mode, Math.min(now, this.#mode === 'slice' ? this.#expiresAt : floorStartsAt));
	}

	#applyMode(mode: 'none' | 'slice' | 'floor', changedAt: number): void {
		this.#mode = mode;
		if (mode === 'floor') {
			this.#rates = computeStaticFloor(this.#plan, this.#entries);
		} else if (mode === 'none') {
			this.#rates = {requestsPerSecond: 0, tokensPerSecond: 0, concurrency: 0};
		}

		this.#setRate(this.#requests, this.#rates.requestsPerSecond, changedAt, 1);
		this.#setRate(this.#tokens, this.#rates.tokensPerSecond, changedAt, 0);
	}

	/** Sets a bucket's rate; `minCapacity` keeps a low rate from leaving too little capacity for one request. */
	#setRate(bucket: TokenBucket, ratePerSecond: number, now: number, minCapacity: number): void {
		const capacity = ratePerSecond === 0 ? 0 : Math.max(minCapacity, (ratePerSecond * this.#burstMs) / 1000);
		bucket.setRate(ratePerSecond, capacity, now);
	}
}
