import type {TextHash32} from '@knapweedrack/core';

/** Up to this number of other entries, each one is in contact with all others. */
export const fullMeshLimit = 8;
/** Distances on the ring of entries; with the exchanges started by others, an entry is in contact with twice as many. */
const ringOffsets = [1, 2, 5, 11] as const;

/** Which entries an entry sends heartbeats to, and how often. */
export type HeartbeatPlan = {targets: string[]; periodMs: number};

const meshPeriodMs = 1000;
/** At 350 entries, a heartbeat a second to each target would take more than the traffic budget of an entry. */
const ringPeriodMs = 2000;

/**
 * Selects the targets of heartbeats. An exchange informs both sides, so only one of a pair starts it.
 * In a larger fleet the entries form a ring in hash order, and each has a bounded set at fixed distances.
 */
export const selectHeartbeatTargets = (ownId: string, others: readonly string[], hash: TextHash32): HeartbeatPlan => {
	if (others.length <= fullMeshLimit) {
		return {targets: others.filter(other => isInitiator(ownId, other, hash)), periodMs: meshPeriodMs};
	}

	const ring = [ownId, ...others].map(id => ({id, place: hash(id)})).toSorted((left, right) => left.place - right.place || compareIds(left.id, right.id));
	const own = ring.findIndex(({id}) => id === ownId);
	const targets = new Set(ringOffsets.map(offset => ring[(own + offset) % ring.length]!.id));
	targets.delete(ownId);
	return {targets: [...targets], periodMs: ringPeriodMs};
};

// The parity of the hashes spreads the starts over the entries.
const isInitiator = (ownId: string, other: string, hash: TextHash32): boolean =>
	((hash(ownId) + hash(other)) % 2 === 0) === (compareIds(ownId, other) < 0);

const compareIds = (left: string, right: string): number => left < right ? -1 : 1;
