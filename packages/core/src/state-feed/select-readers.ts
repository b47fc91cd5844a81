import {hashRendezvous} from '../routing/rendezvous.js';

/** An entry and the failure domain that it runs in. */
export type FeedEntry = {id: string; failureDomain: string};

/** Fleet size below which all entries read the store themselves. */
const minFollowingFleet = 12;
/** Readers of a large fleet: one for this many entries. */
const entriesPerReader = 32;
/** Two, so that the entries that follow a lost reader have another one. */
const minReaders = 2;
const orderKey = 'store-readers';

/** Number of readers of a fleet; all entries of a small one. */
export const computeReaderCount = (entries: number): number =>
	entries < minFollowingFleet ? entries : Math.max(minReaders, Math.ceil(entries / entriesPerReader));

/**
 * Orders entries by rendezvous hash; the first ones are the readers of the store. Failure domains take turns, so that the loss of one
 * leaves readers in others. All entries that know the same fleet compute the same order without a message.
 */
export const rankReaders = <Entry extends FeedEntry>(entries: readonly Entry[]): Entry[] => {
	const turns = new Map<string, number>();
	return sortByScore(orderKey, entries)
		.map((entry, rank) => {
			const turn = turns.get(entry.failureDomain) ?? 0;
			turns.set(entry.failureDomain, turn + 1);
			return {entry, turn, rank};
		})
		.toSorted((a, b) => a.turn - b.turn || a.rank - b.rank)
		.map(({entry}) => entry);
};

/** Orders readers for one entry: those of its own failure domain first, the others spread evenly over the entries. */
export const rankReadersFor = <Entry extends FeedEntry>(self: FeedEntry, readers: readonly Entry[]): Entry[] =>
	sortByScore(self.id, readers).toSorted((a, b) => Number(b.failureDomain === self.failureDomain) - Number(a.failureDomain === self.failureDomain));

const sortByScore = <Entry extends FeedEntry>(key: string, entries: readonly Entry[]): Entry[] => entries
	.map(entry => ({entry, score: hashRendezvous(key, entry.id)}))
	.toSorted((a, b) => b.score - a.score || (a.entry.id < b.entry.id ? -1 : 1))
	.map(({entry}) => entry);
