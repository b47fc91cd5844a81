/** The rates of a plan that are divided among entries. */
export type PlanLimits = {
	requestsPerSecond: number;
	/** Prompt and generated tokens per second. */
	tokensPerSecond: number;
	/** Requests in progress. */
	concurrency: number;
};

/** Part of a workspace's rates that one entry may use. */
export type LimitSlice = PlanLimits & {
	/** Time in ms for which the slice is valid; 0 when the owner has nothing to hand out yet. */
	lifetimeMs: number;
	/** True when the demand of all entries exceeds the plan, so that no entry can be given more. */
	isContended: boolean;
};

/** Computes the part of a plan that one entry uses while the owner is unreachable. */
export const computeStaticFloor = (plan: PlanLimits, entries: number): PlanLimits => {
	const share = 1 / Math.max(1, entries);
	return {
		requestsPerSecond: plan.requestsPerSecond * share,
		tokensPerSecond: plan.tokensPerSecond * share,
		concurrency: Math.floor(plan.concurrency * share),
	};
};
