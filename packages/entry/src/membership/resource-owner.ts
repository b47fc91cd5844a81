import {selectRendezvous, type SessionRecord, type TextHash32} from '@knapweedrack/core';

/** Owner of a resource without an owner record: rendezvous hash of its key over the live entries that serve. */
export const selectResourceOwner = (key: string, sessions: readonly SessionRecord[], hash: TextHash32): string | undefined => {
	const serving = sessions.filter(({state}) => state === 'serving');
	return selectRendezvous(hash(key), serving.map(({entryId}) => ({id: entryId, hash: hash(entryId)})))?.id;
};
