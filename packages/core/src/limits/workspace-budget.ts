import {computeStaticFloor, type LimitSlice, type PlanLimits} from './plan-limits.js';
import type {LimitDemand} from './slice-holder.js';

/** Settings of a workspace budget. */
export type WorkspaceBudgetOptions = {
	/** Last known number of sessions (live entries). */
	entries: number;
	/** Time in ms for which a slice is valid. */
	sliceLifetimeMs?: number;
	/** True when no slice of a former owner can still be valid: there was none, or one slice lifetime has passed. */
	isSettled?: boolean;
};

/** Input of a workspace budget. */
export type WorkspaceBudgetEvent =
	| {type: 'demand'; entryId: string; demand: LimitDemand}
	/** Number of sessions, and ids of the entries that the owner cannot reach; these may use their static floors. */
	| {type: 'entries'; entries: number; unreachable: readonly string[]}
	| {type: 'plan'; plan: PlanLimits};

/** Latest slice and measured demand of one entry. */
type Share = {
	slice: PlanLimits;
	expiresAt: number;
	/** Smoothed request demand per second. */
	requestsPerSecond: number;
	/** Smoothed token demand per second. */
	tokensPerSecond: number;
	/** Demand per second averaged over a longer time, which distinguishes an overload from a burst or a single long prompt. */
	sustained: Pick<PlanLimits, RateName>;
	/** Debt of the entry's token bucket; see `LimitDemand`. */
	debtTokens: number;
	/** Requests in progress. */
	concurrency: number;
	requestedAt: number;
};

const noRates: PlanLimits = {requestsPerSecond: 0, tokensPerSecond: 0, concurrency: 0};
const rateNames = ['requestsPerSecond', 'tokensPerSecond'] as const;
type RateName = (typeof rateNames)[number];

/** Headroom as a share of the measured demand, so that a rising demand is not refused before the next slice. */
const headroomShare = 0.5;
/** Time constant in ms of the smoothed demand. */
const demandTimeConstantMs = 250;
/** Time constant in ms of the sustained demand. */
const sustainedTimeConstantMs = 3000;
/** Time in ms that the first demand of an entry is assumed to cover. */
const firstDemandIntervalMs = 1000;
/** Share of the static floor that each entry gets while slices of a former owner may still be valid. */
const settlingShare = 0.5;

/**
 * Divides the limits of one workspace among the entries; the sum of live slices never exceeds an unchanged plan.
 * After a plan is lowered, slices issued before stay valid until they expire.
 */
export class WorkspaceBudget {
	#plan: PlanLimits;
	#entries: number;
	readonly #sliceLifetimeMs: number;
	readonly #settledAt: number;
	#unreachable: ReadonlySet<string> = new Set();
	readonly #shares = new Map<string, Share>();

	constructor(plan: PlanLimits, options: WorkspaceBudgetOptions, now: number) {
		this.#plan = plan;
		this.#entries = options.entries;
		this.#sliceLifetimeMs = options.sliceLifetimeMs ?? 2000;
		this.#settledAt = options.isSettled ? now : now + this.#sliceLifetimeMs;
	}

	/** Computes the sum of the live slices. */
	computeLiveTotal(now: number): PlanLimits {
		return this.#computeLiveTotal(now, undefined);
	}

	/** Applies an event; returns a slice for a demand and `undefined` otherwise. */
	handle(event: WorkspaceBudgetEvent & {type: 'demand'}, now: number): LimitSlice;
	handle(event: WorkspaceBudgetEvent, now: number): LimitSlice | undefined;
	handle(event: WorkspaceBudgetEvent, now: number): LimitSlice | undefined {
		if (event.type === 'demand') {
			return this.#handleDemand(event.entryId, event.demand, now);
		}

		if (event.type === 'entries') {
			this.#entries = event.entries;
			this.#unreachable = new Set(event.unreachable);
		} else {
			this.#plan = event.plan;
		}

		return undefined;
	}

	#handleDemand(entryId: string, demand: LimitDemand, now: number): LimitSlice {
		this.#removeExpired(now);
		const share = this.#updateShare(entryId, demand, now);
		const slice = now < this.#settledAt ? this.#computeSettlingSlice() : this.#computeSlice(entryId, share, now);
		share.slice = slice;
		share.expiresAt = now + this.#sliceLifetimeMs;
		return {...slice, lifetimeMs: this.#sliceLifetimeMs, isContended: this.#isDemandAbovePlan()};
	}

	#updateShare(entryId: string, demand: LimitDemand, now: number): Share {
		const known = this.#shares.get(entryId);
		const intervalMs = known ? now - known.requestedAt : firstDemandIntervalMs;
		const share: Share = {
			slice: known?.slice ?? noRates,
			expiresAt: known?.expiresAt ?? -Infinity,
			requestsPerSecond: computeSmoothedDemand(known?.requestsPerSecond, demand.requests, intervalMs, demandTimeConstantMs),
			tokensPerSecond: computeSmoothedDemand(known?.tokensPerSecond, demand.tokens, intervalMs, demandTimeConstantMs),
			sustained: {
				requestsPerSecond: computeSmoothedDemand(known?.sustained.requestsPerSecond, demand.requests, intervalMs, sustainedTimeConstantMs),
				tokensPerSecond: computeSmoothedDemand(known?.sustained.tokensPerSecond, demand.tokens, intervalMs, sustainedTimeConstantMs),
			},
			debtTokens: demand.debtTokens,
			concurrency: demand.concurrency,
			requestedAt: now,
		};
		this.#shares.set(entryId, share);
		return share;
	}

	/** True when the sustained demand of all entries exceeds a rate of the plan. */
	#isDemandAbovePlan(): boolean {
		return rateNames.some(name => {
			let demand = 0;
			for (const share of this.#shares.values()) {
				demand += share.sustained[name];
			}

			return demand > this.#plan[name];
		});
	}

	#computeSettlingSlice(): PlanLimits {
		const floor = computeStaticFloor(this.#plan, this.#entries);
		return {
			requestsPerSecond: floor.requestsPerSecond * settlingShare,
			tokensPerSecond: floor.tokensPerSecond * settlingShare,
			concurrency: Math.floor(floor.concurrency * settlingShare),
		};
	}

	#computeSlice(entryId: string, share: Share, now: number): PlanLimits {
		const others = this.#computeLiveTotal(now, entryId);
		const available = this.#computeAvailable(now);
		return {
			requestsPerSecond: this.#computeRate('requestsPerSecond', share, available, others),
			tokensPerSecond: this.#computeRate('tokensPerSecond', share, available, others),
			concurrency: this.#computeConcurrency(entryId, share, available, others),
		};
	}

	/** Plan minus the static floors of unreachable entries whose slice has expired, because they may use their floors. */
	#computeAvailable(now: number): PlanLimits {
		const floor = computeStaticFloor(this.#plan, this.#entries);
		let lostCount = 0;
		for (const entryId of this.#unreachable) {
			lostCount += (this.#shares.get(entryId)?.expiresAt ?? -Infinity) > now ? 0 : 1;
		}

		return {
			requestsPerSecond: Math.max(0, this.#plan.requestsPerSecond - (lostCount * floor.requestsPerSecond)),
			tokensPerSecond: Math.max(0, this.#plan.tokensPerSecond - (lostCount * floor.tokensPerSecond)),
			concurrency: Math.max(0, this.#plan.concurrency - (lostCount * floor.concurrency)),
		};
	}

	/** Computes a rate: demand is served first, and the rest of the plan is divided as headroom. */
	#computeRate(name: RateName, share: Share, available: PlanLimits, others: PlanLimits): number {
		const limit = available[name];
		let demand = 0;
		let headroom = 0;
		for (const other of this.#shares.values()) {
			demand += this.#getDemand(name, other);
			headroom += this.#computeHeadroom(name, other);
		}

		const spare = Math.max(0, limit - demand);
		const fair = this.#getDemand(name, share) * Math.min(1, limit / Math.max(demand, Number.MIN_VALUE));
		const extra = this.#computeHeadroom(name, share) * Math.min(1, spare / Math.max(headroom, Number.MIN_VALUE));
		return Math.max(0, Math.min(fair + extra, limit - others[name]));
	}

	/**
	 * Demand per second of an entry. A debt in tokens counts as demand, so that it is repaid at up to the rate of the plan;
	 * repaid from a slice that shrank to the floor, the debt of one long prompt would block the entry for many seconds.
	 */
	#getDemand(name: RateName, share: Share): number {
		return name === 'tokensPerSecond' ? Math.max(share.tokensPerSecond, Math.min(share.debtTokens, this.#plan.tokensPerSecond)) : share[name];
	}

	/** Headroom for a rising demand; an idle entry gets its static floor, so that it can admit a first burst. */
	#computeHeadroom(name: RateName, share: Share): number {
		const floor = this.#plan[name] / Math.max(1, this.#entries);
		const demand = this.#getDemand(name, share);
		return Math.max(floor - demand, demand * headroomShare);
	}

	/** Computes a concurrency: requests in progress are kept, and the rest of the plan is divided equally. */
	#computeConcurrency(entryId: string, share: Share, available: PlanLimits, others: PlanLimits): number {
		let inProgress = 0;
		let shareCount = 0;
		for (const other of this.#shares.values()) {
			inProgress += other.concurrency;
			shareCount++;
		}

		const spare = Math.max(0, available.concurrency - inProgress);
		// When the spare concurrency is smaller than the number of entries, the entries that request first get 1 more each.
		const extra = Math.max(spare > 0 ? 1 : 0, Math.floor(spare / Math.max(1, shareCount)));
		return Math.max(0, Math.min(share.concurrency + extra, available.concurrency - others.concurrency));
	}

	#computeLiveTotal(now: number, except: string | undefined): PlanLimits {
		const sum = {...noRates};
		for (const [entryId, share] of this.#shares) {
			if (entryId !== except && share.expiresAt > now) {
				sum.requestsPerSecond += share.slice.requestsPerSecond;
				sum.tokensPerSecond += share.slice.tokensPerSecond;
				sum.concurrency += share.slice.concurrency;
			}
		}

		return sum;
	}

	/** Removes entries whose slice expired at least one slice lifetime ago. */
	#removeExpired(now: number): void {
		for (const [entryId, share] of this.#shares) {
			if (share.expiresAt + this.#sliceLifetimeMs <= now) {
				this.#shares.delete(entryId);
			}
		}
	}
}

/** Exponential average per second, weighted by time, so that it does not depend on how often an entry requests a slice. */
const computeSmoothedDemand = (previous: number | undefined, amount: number, intervalMs: number, timeConstantMs: number): number => {
	const weight = 1 - Math.exp(-intervalMs / timeConstantMs);
	// For intervals near 0 the quotient approaches the reciprocal of the time constant.
	const perMs = intervalMs < 1 ? 1 / timeConstantMs : weight / intervalMs;
	return ((previous ?? 0) * (1 - weight)) + (amount * perMs * 1000);
};
