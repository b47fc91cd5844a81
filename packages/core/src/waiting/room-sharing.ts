/** Share of its target for which a request leaves room to more urgent ones elsewhere; the rest suffices to be on time. */
const yieldShare = 0.2;

/** What waits at one or more entries for a service, by urgency. */
export type WaitingDemand = {service: string; urgency: number; requests: number; cost: number};

/** A request that may have to leave room to others. */
export type YieldingRequest = {urgency: number; hasBegun: boolean; waitedMs: number; targetMs: number};

/** True while a request leaves the room to more urgent ones that wait at other entries; the time for which it does is bounded. */
export const isYielding = ({urgency, hasBegun, waitedMs, targetMs}: YieldingRequest, elsewhere: readonly WaitingDemand[]): boolean =>
	!hasBegun && waitedMs < targetMs * yieldShare && elsewhere.some(demand => demand.urgency < urgency && demand.requests > 0);

/** Slots that one entry may use while it hears from no other one; at least 1, so that each entry makes progress. */
export const computeStaticShare = (slots: number, entries: number): number => Math.max(1, Math.floor(slots / Math.max(1, entries)));
