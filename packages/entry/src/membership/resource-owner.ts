import {
	selectRendezvous, type RendezvousCandidate, type SessionRecord, type TextHash32,
} from '@knapweedrack/core';

/** Candidates for the ownership of resources without an owner record: the live entries that serve. */
export const listOwnerCandidates = (sessions: readonly SessionRecord[], hash: TextHash32): RendezvousCandidate[] =>
	sessions.filter(({state}) => state === 'serving').map(({entryId}) => ({id: entryId, hash: hash(entryId)}));

/** Owner of a resource without an owner record: rendezvous hash of its key over the live entries that serve. */
export const selectResourceOwner = (key: string, sessions: readonly SessionRecord[], hash: TextHash32): string | undefined =>
	selectRendezvous(hash(key), listOwnerCandidates(sessions, hash))?.id;
