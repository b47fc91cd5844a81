/** Shortest retry delay in ms. */
const minDelayMs = 150;
/** Largest retry delay as a share of the caller's remaining time; callers ignore a longer one. */
const maxShare = 1 / 3;
/** Range over which callers of the most urgent class return, and the addition for each less urgent class, in ms. */
const spreadMs = 250;

/** What decides when a caller that was refused by a queue should come back. */
export type RefusedWaiting = {
	/** Estimated time until the queue at the urgency of the request has drained, in ms; undefined while unknown. */
	drainMs: number | undefined;
	/** Target of the route in ms, which counts while the queue's rate is unknown. */
	targetMs: number;
	urgency: number;
	/** Time until the caller stops waiting, in ms. */
	callerLeftMs: number;
	/** Random number in [0, 1). */
	random: number;
};

/**
 * Computes the retry delay in ms: the time in which the queue drains, and a spread that grows with it, so that callers do not return as a
 * wave. More urgent ones return sooner. The caller's remaining time limits it.
 */
export const computeWaitingRetryDelayMs = ({drainMs, targetMs, urgency, callerLeftMs, random}: RefusedWaiting): number => {
	const baseMs = drainMs ?? targetMs;
	const dueMs = minDelayMs + baseMs + (random * ((spreadMs * (urgency + 1)) + baseMs));
	return Math.min(dueMs, Math.max(0, callerLeftMs * maxShare));
};
