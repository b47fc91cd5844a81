import {
	addLoad, computeWorkLoad, noLoad, type ServerLoad, type ServerWork,
} from './server-load.js';

/** Load report of a peer about its own work on one backend server. */
export type PeerLoad = {load: ServerLoad; receivedAt: number};

/** Age in ms after which a load report no longer counts; three times the period in which peers repeat it. */
const loadReportLifetimeMs = 1500;

/** Load of all backend servers: the work of this entry, plus the load reports of its peers. */
export class LoadTable {
	readonly #own = new Map<string, Map<symbol, ServerWork>>();
	readonly #peers = new Map<string, Map<string, PeerLoad>>();
	/** Loads of other failure domains, which are also in `#peers`. */
	readonly #domains = new Map<string, Map<string, PeerLoad>>();

	/** Adds work of this entry; the returned key identifies the work until `remove`. */
	add(serverId: string, work: ServerWork): symbol {
		const key = Symbol(serverId);
		const works = this.#own.get(serverId) ?? new Map<symbol, ServerWork>();
		works.set(key, work);
		this.#own.set(serverId, works);
		return key;
	}

	/** Moves work from prefill to decode, after its first token. */
	setDecoding(serverId: string, key: symbol): void {
		const work = this.#own.get(serverId)?.get(key);
		if (work !== undefined) {
			work.isDecoding = true;
		}
	}

	/** Removes work that has ended; an unknown key is ignored. */
	remove(serverId: string, key: symbol): void {
		const works = this.#own.get(serverId);
		works?.delete(key);
		if (works?.size === 0) {
			this.#own.delete(serverId);
		}
	}

	/** Load of this entry's own work on a backend server. */
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

	/** Replaces the load report of a peer about one backend server. */
	setPeerLoad(entryId: string, serverId: string, load: ServerLoad, now: number): void {
		const loads = this.#peers.get(entryId) ?? new Map<string, PeerLoad>();
		loads.set(serverId, {load, receivedAt: now});
		this.#peers.set(entryId, loads);
	}

	/** Replaces the load that the entries of another failure domain have put on one backend server. */
	setDomainLoad(failureDomain: string, serverId: string, load: ServerLoad, now: number): void {
		const key = formatDomainKey(failureDomain);
		this.setPeerLoad(key, serverId, load, now);
		this.#domains.set(key, this.#peers.get(key)!);
	}

	/** Requests that other failure domains have on a backend server, with the age of the oldest of these figures in ms; undefined without figures. */
	computeDomainRequests(serverId: string, now: number): {requests: number; ageMs: number | undefined} {
		let requests = 0;
		let oldestAt = Number.POSITIVE_INFINITY;
		for (const loads of this.#domains.values()) {
			const report = loads.get(serverId);
			if (report !== undefined && now - report.receivedAt <= loadReportLifetimeMs) {
				requests += report.load.requests;
				oldestAt = Math.min(oldestAt, report.receivedAt);
			}
		}

		return {requests, ageMs: oldestAt === Number.POSITIVE_INFINITY ? undefined : now - oldestAt};
	}

	/** Removes the load reports of an entry that has ended. */
	removePeer(entryId: string): void {
		this.#peers.delete(entryId);
	}

	/** Load of a backend server from all entries. */
	computeLoad(serverId: string, now: number): ServerLoad {
		return this.#addPeerLoads(this.computeOwnLoad(serverId, now), serverId, this.#peers.values(), now);
	}

	/** Load of a backend server from this entry and the given peers. */
	computeLoadOfEntries(serverId: string, entryIds: Iterable<string>, now: number): ServerLoad {
		const tables = [...entryIds].map(id => this.#peers.get(id)).filter(table => table !== undefined);
		return this.#addPeerLoads(this.computeOwnLoad(serverId, now), serverId, tables, now);
	}

	/** Backend servers on which this entry or one of the given peers has, or had, work. */
	listServers(entryIds: Iterable<string>): string[] {
		const peers = [...entryIds].flatMap(id => [...this.#peers.get(id)?.keys() ?? []]);
		return [...new Set([...this.#own.keys(), ...peers])];
	}

	#addPeerLoads(own: ServerLoad, serverId: string, tables: Iterable<ReadonlyMap<string, PeerLoad>>, now: number): ServerLoad {
		let load = own;
		for (const loads of tables) {
			const report = loads.get(serverId);
			if (report !== undefined && now - report.receivedAt <= loadReportLifetimeMs) {
				const ageMs = now - report.receivedAt;
				const aged = report.load.prefills.length === 0
					? report.load
					: {...report.load, prefills: report.load.prefills.map(prefill => ({...prefill, ageMs: prefill.ageMs + ageMs}))};
				load = load === noLoad ? aged : addLoad(load, aged);
			}
		}

		return load;
	}
}

/** Key of what the entries of another failure domain report together; cannot equal the id of an entry, which contains no slash. */
export const formatDomainKey = (failureDomain: string): string => `domain/${failureDomain}`;
