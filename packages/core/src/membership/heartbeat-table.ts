import type {Heartbeat} from '../types/session.js';

/** Maximum age in ms of a heartbeat that counts as fresh. */
export const heartbeatFreshnessMs = 3000;

/**
 * Time in ms after an entry regained access to the object API during which it cannot have taken over from other owners;
 * shorter than the session expiry of 7 s.
 */
export const storeRegainGraceMs = 4000;

/**
 * Latest heartbeats of other entries; their age counts from the sending time of the exchange, so that a late answer is
 * not fresh.
 */
export class HeartbeatTable {
	readonly #heartbeats = new Map<string, {heartbeat: Heartbeat; sentAt: number; lastWithoutStoreAt: number}>();

	constructor(private readonly freshnessMs: number = heartbeatFreshnessMs) {}

	accept(heartbeat: Heartbeat, sentAt: number): void {
		const known = this.#heartbeats.get(heartbeat.entryId);
		if (known === undefined || sentAt >= known.sentAt) {
			const lastWithoutStoreAt = heartbeat.reachesStore ? known?.lastWithoutStoreAt ?? Number.NEGATIVE_INFINITY : sentAt;
			this.#heartbeats.set(heartbeat.entryId, {heartbeat, sentAt, lastWithoutStoreAt});
		}
	}

	/**
	 * True when a reachable entry has reached the object API for long enough that it may have taken over. An entry that
	 * could not reach it a short time ago cannot have taken over yet, so owners have time to renew after an outage.
	 */
	isTakeoverPossible(entryId: string, now: number): boolean {
		const known = this.#heartbeats.get(entryId);
		return Boolean(this.get(entryId, now)?.reachesStore) && now - known!.lastWithoutStoreAt > storeRegainGraceMs;
	}

	/** Fresh heartbeat of an entry; undefined when it is not reachable. */
	get(entryId: string, now: number): Heartbeat | undefined {
		const known = this.#heartbeats.get(entryId);
		return known !== undefined && now - known.sentAt <= this.freshnessMs ? known.heartbeat : undefined;
	}

	/** Fresh heartbeats of all reachable entries. */
	list(now: number): Heartbeat[] {
		const all = [...this.#heartbeats.values()];
		return all.filter(({sentAt}) => now - sentAt <= this.freshnessMs).map(({heartbeat}) => heartbeat);
	}

	/** Highest revision that a reachable entry reports, with the entry to fetch it from. */
	findHighestRevision(kind: 'configurationRevision' | 'availabilityRevision', now: number): {entryId: string; revision: number} | undefined {
		const [highest] = this.list(now).sort((a, b) => b[kind] - a[kind]);
		return highest && {entryId: highest.entryId, revision: highest[kind]};
	}

	remove(entryId: string): void {
		this.#heartbeats.delete(entryId);
	}
}
