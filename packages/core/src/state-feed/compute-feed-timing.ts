/** Limits of a deployment that decide how old the state of a follower may become, in ms. */
export type FeedBounds = {
	/** Time after a disruption within which an entry acts on the current state. */
	settleMs: number;
	/** Times within which a change must take effect: of a backend server, of the configuration, of a failure domain. */
	leaveServerMs: number;
	applyConfigurationMs: number;
	leaveDomainMs: number;
};

/** Times of the feed between the entries that read the store and those that follow them, in ms. */
export type FeedTiming = {
	/** Wait of a call of the probe watch at an entry that others follow; it bounds the age that the followers see. */
	probeWaitMs: number;
	/** Time for which a watch may fail before the followers are told that this entry does not reach the store. */
	failureToleranceMs: number;
	/** Time between two questions of a follower for the ages. */
	askMs: number;
	/** Time without a message after which a reader counts as silent. */
	silenceMs: number;
	/** Age of the confirmation of the probe watch at which a follower reads the store itself, whatever has become of its reader. */
	confirmationMs: number;
};

/** Shares of the settle time, and of the shortest time in which a change must take effect. */
const shares = {
	probeWait: {settle: 0.2, change: 0.2},
	failureTolerance: {settle: 0.25, change: 0.35},
	ask: {settle: 0.1, change: 0.1},
	silence: {settle: 0.25, change: 0.375},
	confirmation: {settle: 0.7, change: 0.7},
} as const;

/** Shortest wait of a call, in ms, so that low limits do not make a reader call the store all the time. */
const minProbeWaitMs = 100;

/**
 * Computes the times of the feed. A follower that loses its reader goes on with the last state that it has, so the age at which it reads
 * the store itself, and the time that this takes, must stay below the time in which a change must take effect.
 */
export const computeFeedTiming = ({settleMs, leaveServerMs, applyConfigurationMs, leaveDomainMs}: FeedBounds): FeedTiming => {
	const changeMs = Math.min(leaveServerMs, applyConfigurationMs, leaveDomainMs);
	const compute = ({settle, change}: {settle: number; change: number}): number => Math.round(Math.min(settleMs * settle, changeMs * change));
	return {
		probeWaitMs: Math.max(minProbeWaitMs, compute(shares.probeWait)),
		failureToleranceMs: compute(shares.failureTolerance),
		askMs: compute(shares.ask),
		silenceMs: compute(shares.silence),
		confirmationMs: compute(shares.confirmation),
	};
};
