import {
	addLoad, computeWorkLoad, noLoad, type ServerLoad, type ServerWork,
} from './server-load.js';

/** News of another entry about its own work on one backend server. */
export type PeerLoad = {load: ServerLoad; receivedAt: number};

/** Age at which news of another entry no longer counts; three times the period in which entries repeat it. */
const newsLifetimeMs = 1500;

/** Work on all backend servers: that of this entry, and that of the others as far as they have told. */
export class LoadTable {
	readonly #own = new Map<string, Map<symbol, ServerWork>>();
	readonly #peers = new Map<string, Map<string, PeerLoad>>();

	/** Adds work of this entry; the returned key names it until `remove`. */
	add(serverId: string, work: ServerWork): symbol {
		const key = Symbol(serverId);
		const works = this.#own.get(serverId) ?? new Map<symbol, ServerWork>();
		works.set(key, work);
		this.#own.set(serverId, works);
		return key;
	}

	/** Notes the first token of a piece of work. */
	setDecoding(serverId: string, key: symbol): void {
		const work = this.#own.get(serverId)?.get(key);
		if (work !== undefined) {
			work.isDecoding = true;
		}
	}

	remove(serverId: string, key: symbol): void {
		const works = this.#own.get(serverId);
		works?.delete(key);
		if (works?.size === 0) {
			this.#own.delete(serverId);
		}
	}

	/** Work of this entry on a backend server. */
	computeOwnLoad(serverId: string, now: number): ServerLoad {
		let load = noLoad;
		for (const work of this.#own.get(serverId)?.values() ?? []) {
			load = addLoad(load, computeWorkLoad(work, now));
		}

		return load;
	}

	/** Backend servers on which this entry has work. */
	listOwnServers(): string[] {
		return [...this.#own.keys()];
	}

	/** Replaces what another entry has told about one backend server. */
	setPeerLoad(entryId: string, serverId: string, load: ServerLoad, now: number): void {
		const loads = this.#peers.get(entryId) ?? new Map<string, PeerLoad>();
		loads.set(serverId, {load, receivedAt: now});
		this.#peers.set(entryId, loads);
	}

	/** Forgets the news of an entry that has ended. */
	removePeer(entryId: string): void {
		this.#peers.delete(entryId);
	}

	/** Load of a backend server over all entries. */
	computeLoad(serverId: string, now: number): ServerLoad {
		return this.#addNews(this.computeOwnLoad(serverId, now), serverId, this.#peers.values(), now);
	}

	/** Load of a backend server over this entry and some of the others. */
	computeLoadOfEntries(serverId: string, entryIds: Iterable<string>, now: number): ServerLoad {
		const tables = [...entryIds].map(id => this.#peers.get(id)).filter(table => table !== undefined);
		return this.#addNews(this.computeOwnLoad(serverId, now), serverId, tables, now);
	}

	/** Backend servers on which this entry or some of the others have, or had, work. */
	listServers(entryIds: Iterable<string>): string[] {
		const peers = [...entryIds].flatMap(id => [...this.#peers.get(id)?.keys() ?? []]);
		return [...new Set([...this.#own.keys(), ...peers])];
	}

	#addNews(own: ServerLoad, serverId: string, tables: Iterable<ReadonlyMap<string, PeerLoad>>, now: number): ServerLoad {
		let load = own;
		for (const loads of tables) {
			const news = loads.get(serverId);
			if (news !== undefined && now - news.receivedAt <= newsLifetimeMs) {
				const ageMs = now - news.receivedAt;
				load = addLoad(load, {...news.load, reads: news.load.reads.map(read => ({...read, ageMs: read.ageMs + ageMs}))});
			}
		}

		return load;
	}
}
