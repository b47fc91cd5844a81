/** Inputs of the decision whether a waiting request can still be served. */
export type AdmissionInputs = {
	/** Cost of the requests that are served before this one. */
	costAhead: number;
	/** Rate at which the queue was served lately, in cost per ms; undefined while unknown. */
	ratePerMs: number | undefined;
	/** Time left until the caller gives up, in ms. */
	leftMs: number;
};

/** Estimates the time until a request is served, in ms; undefined while the rate is unknown. */
export const estimateWaitMs = ({costAhead, ratePerMs}: Pick<AdmissionInputs, 'costAhead' | 'ratePerMs'>): number | undefined =>
	ratePerMs === undefined || ratePerMs <= 0 ? undefined : costAhead / ratePerMs;

/** True when a request would pass its deadline in the queue. While the rate is unknown, no request counts as hopeless before its deadline. */
export const isHopeless = ({leftMs, ...inputs}: AdmissionInputs): boolean => leftMs <= 0 || (estimateWaitMs(inputs) ?? 0) > leftMs;
