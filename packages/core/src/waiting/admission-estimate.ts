/**
 * Fewest requests ahead for which the estimate counts. One or two long prompts may wait for a reason of their own, for example because
 * they leave room to others, while the next request would be placed at once.
 */
const minRequestsAhead = 4;

/** Inputs of the decision whether a waiting request can still be served. */
export type AdmissionInputs = {
	/** Cost of the requests that are served before this one. */
	costAhead: number;
	/** Number of these requests. */
	requestsAhead: number;
	/** Rate at which the queue was served lately, in cost per ms; undefined while unknown. */
	ratePerMs: number | undefined;
	/** Time left until the caller gives up, in ms. */
	leftMs: number;
};

/** Estimates the time until a request is served, in ms; undefined while the rate is unknown. */
export const estimateWaitMs = ({costAhead, ratePerMs}: Pick<AdmissionInputs, 'costAhead' | 'ratePerMs'>): number | undefined =>
	ratePerMs === undefined || ratePerMs <= 0 ? undefined : costAhead / ratePerMs;

/**
 * True when a request would pass its deadline in the queue. Before its deadline, no request is refused while the rate is unknown or
 * few requests are ahead of it.
 */
export const isDeadlineUnreachable = ({leftMs, requestsAhead, ...inputs}: AdmissionInputs): boolean =>
	leftMs <= 0 || (requestsAhead >= minRequestsAhead && (estimateWaitMs(inputs) ?? 0) > leftMs);
