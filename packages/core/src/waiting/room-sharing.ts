import type {EngineProfile} from '../engine-model/engine-profile.js';
import {computePrefillMs} from '../engine-model/engine-timing.js';
import type {PromptDemand} from '../placement/placement-types.js';

/** Share of its target for which a request leaves all room to more urgent ones that wait; the rest suffices to be on time. */
const fullYieldShare = 0.2;
/** Multiple of the slots that more urgent requests need, since slots become free one at a time on all servers alike, and more requests arrive meanwhile. */
const reserveMultiple = 8;
/** Largest share of the backend servers that is left to more urgent requests; the rest keeps the others from starving. */
const maxReserveShare = 0.75;
/** Share of its target in which a prompt is prefilled on the servers that it needs. */
const prefillTargetShare = 0.4;

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
	if (hasBegun || countMoreUrgent(urgency, demands) === 0) {
		return yieldKinds.none;
	}

	return waitedMs < targetMs * fullYieldShare ? yieldKinds.full : yieldKinds.part;
};

/** Room of a service: usable backend servers, slots of each, and the number of servers that the request itself needs. */
export type ServiceRoom = {servers: number; slots: number; neededServers: number};

/** Number of backend servers that a less urgent request leaves to the more urgent ones that wait; the servers that it needs itself remain. */
export const computeReservedServers = (urgency: number, demands: readonly WaitingDemand[], {servers, slots, neededServers}: ServiceRoom): number =>
	Math.max(0, Math.min(Math.floor(servers * maxReserveShare), servers - neededServers, Math.ceil(countMoreUrgent(urgency, demands) * reserveMultiple / slots)));

/** Number of backend servers that a prompt needs for its prefill to be on time and for its memory. */
export const computeNeededServers = (profile: EngineProfile, {promptTokens, outputTokens, targetMs}: Pick<PromptDemand, 'promptTokens' | 'outputTokens' | 'targetMs'>): number =>
	Math.max(
		1,
		Math.ceil(computePrefillMs(profile, promptTokens) / (targetMs * prefillTargetShare)),
		Math.ceil((promptTokens + outputTokens) / profile.memoryTokens),
	);

const countMoreUrgent = (urgency: number, demands: readonly WaitingDemand[]): number => {
	let requests = 0;
	for (const demand of demands) {
		requests += demand.urgency < urgency ? demand.requests : 0;
	}

	return requests;
};

/** Slots that one entry may use while it hears from no other one; at least 1, so that each entry makes progress. */
export const computeStaticShare = (slots: number, entries: number): number => Math.max(1, Math.floor(slots / Math.max(1, entries)));
