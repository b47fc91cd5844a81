import {isInService} from '../drain/apply-availability-edit.js';
import {computeRendezvousScore, type TextHash32} from '../ownership/rendezvous.js';
import type {Availability} from '../types/configuration.js';
import type {SessionRecord} from '../types/session.js';

/** Input of `selectAdvertisedEntries`: the known entries and what they are ranked by. */
export type AdvertisedEntriesInput = {
	/** Live sessions, including the one of this entry. */
	sessions: readonly SessionRecord[];
	availability: Availability;
	/** Number of backend servers of the requested model that each entry owns, by entry id. */
	ownedServers: ReadonlyMap<string, number>;
	/** Key that spreads callers over entries of equal rank, for example the workspace id. */
	spreadKey: string;
	hash: TextHash32;
	/** Maximum number of entries returned, because callers keep only a few alternatives; all when undefined. */
	limit?: number | undefined;
};

/**
 * Selects the entries that callers may use, in order of preference. Owners of the model's backend servers come first,
 * because they grant their own permits without a message to a peer. Among owners, the share of keys that prefer an entry
 * is in proportion to the number of backend servers it owns.
 */
export const selectAdvertisedEntries = (input: AdvertisedEntriesInput): SessionRecord[] => {
	const serving = input.sessions.filter(session =>
		session.state === 'serving' && isInService(input.availability, {id: session.entryId, failureDomain: session.failureDomain}));
	const ranked = serving.map(session => ({session, ...computeRank(session, input)}));
	ranked.sort((a, b) => Number(b.isOwner) - Number(a.isOwner) || b.score - a.score || compareIds(a.session, b.session));
	return ranked.slice(0, input.limit ?? ranked.length).map(({session}) => session);
};

/** Weighted rendezvous hashing: the share of keys that prefer an entry is in proportion to its owned servers, at least 1. */
const computeRank = (session: SessionRecord, input: AdvertisedEntriesInput): {isOwner: boolean; score: number} => {
	const owned = input.ownedServers.get(session.entryId) ?? 0;
	const score = computeRendezvousScore(input.hash(input.spreadKey), input.hash(session.entryId));
	const uniform = (score + 0.5) / (2 ** 32);
	return {isOwner: owned > 0, score: Math.max(owned, 1) / -Math.log(uniform)};
};

const compareIds = (a: SessionRecord, b: SessionRecord): number => a.entryId < b.entryId ? -1 : 1;
