import {hashRendezvous} from '../routing/rendezvous.js';

/** Bound on the arrivals at a cold backend server and the entries that share it. */
export type ColdShareInput = {
	/** Requests per second that a cold backend server takes from all entries together. */
	requestsPerSecond: number;
	entryId: string;
	/** Ids of all registered entries, including this one once it is registered. */
	entryIds: readonly string[];
};

/** Computes how many requests per second each entry may send to a cold backend server. */
export class ColdShareTable {
	#entryIds: readonly string[] = [];
	/** Entries in the order of their claim, by backend server; valid for `#entryIds`. */
	readonly #ranks = new Map<string, ReadonlyMap<string, number>>();

	/**
	 * Returns this entry's share of a backend server's bound, in whole requests per second. A fleet with more entries than the bound cannot be given
	 * equal whole shares, and equal fractions would leave the server without requests while it is cold. There, as many entries as the bound
	 * allows have a share of one, selected by rendezvous hash for each server. Entries that know different fleets for a moment select
	 * nearly the same ones.
	 */
	computeShare(serverId: string, {requestsPerSecond, entryId, entryIds}: ColdShareInput): number {
		const equalShare = Math.floor(requestsPerSecond / Math.max(1, entryIds.length));
		if (equalShare > 0) {
			return equalShare;
		}

		const rank = this.#getRanks(serverId, entryIds).get(entryId);
		return rank !== undefined && rank < Math.floor(requestsPerSecond) ? 1 : 0;
	}

	/** Keeps only the ranks for the given backend servers; the others no longer exist. */
	retain(serverIds: ReadonlySet<string>): void {
		for (const serverId of this.#ranks.keys()) {
			if (!serverIds.has(serverId)) {
				this.#ranks.delete(serverId);
			}
		}
	}

	#getRanks(serverId: string, entryIds: readonly string[]): ReadonlyMap<string, number> {
		if (entryIds !== this.#entryIds) {
			this.#entryIds = entryIds;
			this.#ranks.clear();
		}

		const ranks = this.#ranks.get(serverId) ?? rankEntries(serverId, entryIds);
		this.#ranks.set(serverId, ranks);
		return ranks;
	}
}

const rankEntries = (serverId: string, entryIds: readonly string[]): ReadonlyMap<string, number> => new Map(entryIds
	.map(id => ({id, score: hashRendezvous(serverId, id)}))
	.toSorted((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
	.map(({id}, rank) => [id, rank]));
