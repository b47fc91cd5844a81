/** Limits of a workspace's plan, which are divided among the entries. */
export type PlanLimits = {
	requestsPerSecond: number;
	/** Prompt and generated tokens per second. */
	tokensPerSecond: number;
	/** Requests in progress. */
	concurrency: number;
};

/** Part of a workspace's limits that one entry may use for a time. */
export type LimitSlice = PlanLimits & {
	/** Time in ms for which the slice is valid; 0 when the owner cannot grant one yet. */
	lifetimeMs: number;
	/** True when the demand of all entries exceeds the plan, so that no entry can get a larger slice. */
	isContended: boolean;
};

/** Computes the static floor: the equal part of a plan that each entry uses while it cannot reach the owner. */
export const computeStaticFloor = (plan: PlanLimits, entries: number): PlanLimits => {
	const share = 1 / Math.max(1, entries);
	return {
		requestsPerSecond: plan.requestsPerSecond * share,
		tokensPerSecond: plan.tokensPerSecond * share,
		concurrency: Math.floor(plan.concurrency * share),
	};
};
