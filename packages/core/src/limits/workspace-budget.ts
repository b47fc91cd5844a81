import {computeStaticFloor, type LimitSlice, type PlanLimits} from './plan-limits.js';
import type {LimitDemand} from './slice-holder.js';

/** Settings of a workspace budget. */
export type WorkspaceBudgetOptions = {
	/** Last known number of sessions. */
	entries: number;
	sliceLifetimeMs?: number;
	/** True when this entry has been the owner for longer than one slice lifetime, or nobody was before. */
	isSettled?: boolean;
};

/** What happens to a workspace budget. */
export type WorkspaceBudgetEvent =
	| {type: 'demand'; entryId: string; demand: LimitDemand}
	/** Sessions and those of them that the owner cannot reach; the latter may use their static floors. */
	| {type: 'entries'; entries: number; unreachable: readonly string[]}
	| {type: 'plan'; plan: PlanLimits};

type Share = {
	slice: PlanLimits;
	expiresAt: number;
	/** Smoothed demand per second. */
	requestsPerSecond: number;
	tokensPerSecond: number;
	/** Demand per second over a longer time, to tell an overload from a burst or a single long prompt. */
	sustained: Pick<PlanLimits, RateName>;
	/** Tokens that the entry owes for prompts larger than its slice. */
	debtTokens: number;
	concurrency: number;
	requestedAt: number;
};

const noRates: PlanLimits = {requestsPerSecond: 0, tokensPerSecond: 0, concurrency: 0};
const rateNames = ['requestsPerSecond', 'tokensPerSecond'] as const;
type RateName = (typeof rateNames)[number];

/** Room above the measured demand, so that a rising demand is not refused before the next slice. */
const headroomShare = 0.5;
/** Time constant in ms of the measured demand. */
const demandTimeConstantMs = 250;
/** Time constant of the sustained demand. */
const sustainedTimeConstantMs = 3000;
const firstDemandIntervalMs = 1000;
/** Part of each floor handed out while slices of a former owner may still be valid. */
const settlingShare = 0.5;

/** Divides one workspace's rates over entries; the sum of live slices never exceeds the plan. */
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

	/** Sum of the live slices. */
	computeLiveTotal(now: number): PlanLimits {
		return this.#computeLiveTotal(now, undefined);
	}

	/** Applies an event; a demand is answered with a slice. */
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

	/** Plan without the floors of entries that may use them because they lost contact. */
	#computeAvailable(now: number): PlanLimits {
		const floor = computeStaticFloor(this.#plan, this.#entries);
		let lost = 0;
		for (const entryId of this.#unreachable) {
			lost += (this.#shares.get(entryId)?.expiresAt ?? -Infinity) > now ? 0 : 1;
		}

		return {
			requestsPerSecond: Math.max(0, this.#plan.requestsPerSecond - (lost * floor.requestsPerSecond)),
			tokensPerSecond: Math.max(0, this.#plan.tokensPerSecond - (lost * floor.tokensPerSecond)),
			concurrency: Math.max(0, this.#plan.concurrency - (lost * floor.concurrency)),
		};
	}

	/** Demand comes first; what the plan leaves over is spread as headroom. */
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

	/** A debt is repaid at the rate of the plan; a slice that shrank to the floor would block the entry for the rest of it. */
	#getDemand(name: RateName, share: Share): number {
		return name === 'tokensPerSecond' ? Math.max(share.tokensPerSecond, Math.min(share.debtTokens, this.#plan.tokensPerSecond)) : share[name];
	}

	/** Room for a rising demand; an idle entry gets its static floor, so that it can admit a first burst. */
	#computeHeadroom(name: RateName, share: Share): number {
		const floor = this.#plan[name] / Math.max(1, this.#entries);
		const demand = this.#getDemand(name, share);
		return Math.max(floor - demand, demand * headroomShare);
	}

	#computeConcurrency(entryId: string, share: Share, available: PlanLimits, others: PlanLimits): number {
		let busy = 0;
		let shareCount = 0;
		for (const other of this.#shares.values()) {
			busy += other.concurrency;
			shareCount++;
		}

		const spare = Math.max(0, available.concurrency - busy);
		// A plan with less concurrency than entries gives its few permits to those that ask first.
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

	#removeExpired(now: number): void {
		for (const [entryId, share] of this.#shares) {
			if (share.expiresAt + this.#sliceLifetimeMs <= now) {
				this.#shares.delete(entryId);
			}
		}
	}
}

/** Exponential average weighted by time, so that the result does not depend on how often an entry asks. */
const computeSmoothedDemand = (former: number | undefined, amount: number, intervalMs: number, timeConstantMs: number): number => {
	const weight = 1 - Math.exp(-intervalMs / timeConstantMs);
	// For intervals near 0 the quotient approaches the reciprocal of the time constant.
	const perMs = intervalMs < 1 ? 1 / timeConstantMs : weight / intervalMs;
	return ((former ?? 0) * (1 - weight)) + (amount * perMs * 1000);
};
