import type {TextHash32} from '@knapweedrack/core';

/** Up to this number of other entries, every entry exchanges heartbeats with all others. */
export const fullMeshLimit = 8;
/** Offsets of the targets on the ring of entries; with the exchanges initiated by others, an entry has up to twice as many contacts. */
const ringOffsets = [1, 2, 5, 11] as const;

/** Which entries an entry sends heartbeats to, and how often. */
export type HeartbeatPlan = {targets: string[]; intervalMs: number};

const meshIntervalMs = 1000;
/** At 350 entries, one heartbeat per second to each target would exceed the traffic budget of an entry. */
const ringIntervalMs = 2000;

/**
 * Selects the targets of heartbeats. An exchange informs both sides, so only one of a pair initiates it.
 * In a larger fleet the entries form a ring in hash order, and each entry has targets at a few fixed offsets.
 */
export const selectHeartbeatTargets = (ownId: string, others: readonly string[], hash: TextHash32): HeartbeatPlan => {
	if (others.length <= fullMeshLimit) {
		return {targets: others.filter(other => isInitiator(ownId, other, hash)), intervalMs: meshIntervalMs};
	}

	const ring = [ownId, ...others].map(id => ({id, position: hash(id)})).toSorted((left, right) => left.position - right.position || compareIds(left.id, right.id));
	const own = ring.findIndex(({id}) => id === ownId);
	const targets = new Set(ringOffsets.map(offset => ring[(own + offset) % ring.length]!.id));
	targets.delete(ownId);
	return {targets: [...targets], intervalMs: ringIntervalMs};
};

// The parity of the hashes distributes the initiating sides over the entries.
const isInitiator = (ownId: string, other: string, hash: TextHash32): boolean =>
	((hash(ownId) + hash(other)) % 2 === 0) === (compareIds(ownId, other) < 0);

const compareIds = (left: string, right: string): number => left < right ? -1 : 1;
