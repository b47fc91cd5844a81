import type {EngineProfile} from '../engine-model/engine-profile.js';
import type {PlacementCandidate} from '../placement/placement-types.js';

/**
 * Offset in the order of engines of a server that is not a home server; larger than the usual distance between two servers in the
 * order, and small enough that a home server with a late first token is passed over.
 */
const otherServerShift = 0.3;
/** Offset in the order for long prompts, as long as the order itself, so that long prompts of two domains meet only when many are open. */
const otherLongShift = 1;
/** Most requests that a failure domain sends to its home servers by preference, as a multiple of an equal share. */
const homeShareLimit = 1.25;
/** Share of an engine's slots that a failure domain leaves at most to the domains before it. */
const sparedSlotShare = 0.25;

/** Failure domain of an entry in a fleet whose loads come in summaries. */
export type DomainPlace = {
	/** Place of the domain in the sorted list of failure domains with running entries. */
	index: number;
	/** Number of failure domains with running entries. */
	count: number;
	/** Share of all known requests that the entries of this domain have sent. */
	requestShare: number;
	/** Number of servers of the service, also those that are no candidates. */
	servers: number;
};

/** A candidate with its place in the list of all servers of the service, which is the same on all entries. */
export type ListedCandidate = PlacementCandidate & {listIndex: number};

/**
 * Prepares candidates for figures of other failure domains that are aged. Each failure domain has every `count`-th server as a home
 * server. Within a domain the figures are fresh, so that requests to home servers rarely meet others that the entry does not know of.
 * A domain with more than its share of the requests uses its home servers for a part of them only. The last slots of a server are
 * left to the domains before this one in the server's order, since requests of those may be on their way.
 */
export const spreadCandidates = (
	profile: EngineProfile,
	candidates: readonly ListedCandidate[],
	{place, random}: {place: DomainPlace; random: () => number},
): PlacementCandidate[] => {
	const isHomePreferred = random() < computeHomeProbability(place);
	const maxSparedSlots = Math.floor(profile.slots * sparedSlotShare);
	return candidates.map(({id, load, penaltyMs, orderShift, listIndex}) => {
		const rank = rankDomain(listIndex, place);
		return {
			id,
			load,
			penaltyMs,
			spreadOrder: orderShift + (isHomePreferred && rank > 0 ? otherServerShift : 0),
			orderShift: orderShift + (rank > 0 ? otherLongShift : 0),
			sparedSlots: Math.min(rank, maxSparedSlots),
		};
	});
};

/** Probability that a request prefers the home servers of its domain, so that these get at most `homeShareLimit` times an equal share. */
export const computeHomeProbability = ({index, count, servers, requestShare}: DomainPlace): number => {
	const homeServers = Math.ceil(Math.max(0, servers - index) / count);
	const limit = homeShareLimit * homeServers / servers;
	return requestShare <= limit ? 1 : limit / requestShare;
};

/** Number of failure domains that go before one on a server; 0 on its home servers. */
export const rankDomain = (listIndex: number, {index, count}: Pick<DomainPlace, 'index' | 'count'>): number =>
	(index - (listIndex % count) + count) % count;

/** Share of the known requests that one failure domain has sent; an equal share while none are known. */
export const computeRequestShare = (count: number, {requests, agedRequests}: {requests: number; agedRequests: number}): number =>
	requests === 0 ? 1 / count : (requests - agedRequests) / requests;
