import {isInService} from '../drain/apply-availability-edit.js';
import {computeRendezvousScore, type TextHash32} from '../ownership/rendezvous.js';
import type {Availability} from '../types/configuration.js';
import type {SessionRecord} from '../types/session.js';

/** Input of the selection of entries for callers. */
export type AdvertisedEntriesInput = {
	/** Live sessions, the own one included. */
	sessions: readonly SessionRecord[];
	availability: Availability;
	/** Entries that own backend servers of the wanted model, with their number. */
	ownedServers: ReadonlyMap<string, number>;
	/** Spreads callers over equal entries, for example the workspace id. */
	spreadKey: string;
	hash: TextHash32;
	/** Longest list; callers keep a few alternatives. */
	limit?: number | undefined;
};

/**
 * Selects the entries that callers may use, in order of preference. Owners of the model's backend servers come first,
 * because their permits cost no message; the order among them differs by key in proportion to the servers they own.
 */
export const selectAdvertisedEntries = (input: AdvertisedEntriesInput): SessionRecord[] => {
	const serving = input.sessions.filter(session =>
		session.state === 'serving' && isInService(input.availability, {id: session.entryId, failureDomain: session.failureDomain}));
	const ranked = serving.map(session => ({session, ...computeRank(session, input)}));
	ranked.sort((a, b) => Number(b.isOwner) - Number(a.isOwner) || b.score - a.score || compareIds(a.session, b.session));
	return ranked.slice(0, input.limit ?? ranked.length).map(({session}) => session);
};

/** Weighted rendezvous hashing: the share of keys that prefer an entry is in proportion to its weight. */
const computeRank = (session: SessionRecord, input: AdvertisedEntriesInput): {isOwner: boolean; score: number} => {
	const owned = input.ownedServers.get(session.entryId) ?? 0;
	const score = computeRendezvousScore(input.hash(input.spreadKey), input.hash(session.entryId));
	const uniform = (score + 0.5) / (2 ** 32);
	return {isOwner: owned > 0, score: Math.max(owned, 1) / -Math.log(uniform)};
};

const compareIds = (a: SessionRecord, b: SessionRecord): number => a.entryId < b.entryId ? -1 : 1;
