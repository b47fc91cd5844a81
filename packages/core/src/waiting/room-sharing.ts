/** Share of its target for which a request leaves all room to more urgent ones that wait; the rest suffices to be on time. */
const fullYieldShare = 0.2;
/** Share of its target for which it still leaves them some backend servers; after that it is placed like any other, so that it does not starve. */
const partYieldShare = 0.5;
/** Multiple of the slots that more urgent requests need, since as many more arrive while a long prompt is prefilled. */
const reserveMultiple = 2;
/** Largest share of the backend servers that is left to more urgent requests. */
const maxReserveShare = 0.5;

/** What waits at one or more entries for a service, by urgency. */
export type WaitingDemand = {service: string; urgency: number; requests: number; cost: number};

/** A request that may have to leave room to others. */
export type YieldingRequest = {urgency: number; hasBegun: boolean; waitedMs: number; targetMs: number};

/** How much room a request leaves to more urgent ones. */
export const yieldKinds = {none: 'none', part: 'part', full: 'full'} as const;
/** Value of `yieldKinds`. */
export type YieldKind = (typeof yieldKinds)[keyof typeof yieldKinds];

/** Decides how much room a request leaves to more urgent ones that wait at any entry. */
export const decideYield = ({urgency, hasBegun, waitedMs, targetMs}: YieldingRequest, demands: readonly WaitingDemand[]): YieldKind => {
	if (hasBegun || waitedMs >= targetMs * partYieldShare || countMoreUrgent(urgency, demands) === 0) {
		return yieldKinds.none;
	}

	return waitedMs < targetMs * fullYieldShare ? yieldKinds.full : yieldKinds.part;
};

/** Number of backend servers that a less urgent request leaves to the more urgent ones that wait. */
export const computeReservedServers = (urgency: number, demands: readonly WaitingDemand[], {servers, slots}: {servers: number; slots: number}): number =>
	Math.min(Math.floor(servers * maxReserveShare), Math.ceil(countMoreUrgent(urgency, demands) * reserveMultiple / slots));

const countMoreUrgent = (urgency: number, demands: readonly WaitingDemand[]): number => {
	let requests = 0;
	for (const demand of demands) {
		requests += demand.urgency < urgency ? demand.requests : 0;
	}

	return requests;
};

/** Slots that one entry may use while it hears from no other one; at least 1, so that each entry makes progress. */
export const computeStaticShare = (slots: number, entries: number): number => Math.max(1, Math.floor(slots / Math.max(1, entries)));
