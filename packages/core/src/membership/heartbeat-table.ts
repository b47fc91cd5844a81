import type {Heartbeat} from '../types/session.js';

/** Age in ms up to which a heartbeat counts as fresh. */
export const heartbeatFreshnessMs = 3000;

/** Time in ms during which an entry that regained its lease does not supersede other owners; below the session expiry of 7 s. */
export const storeRegainGraceMs = 4000;

/** Latest heartbeats of other entries; the age counts from the sending time of the exchange that brought them. */
export class HeartbeatTable {
	readonly #heartbeats = new Map<string, {heartbeat: Heartbeat; sentAt: number; lastWithoutStoreAt: number}>();

	constructor(private readonly freshnessMs: number = heartbeatFreshnessMs) {}

	accept(heartbeat: Heartbeat, sentAt: number): void {
		const known = this.#heartbeats.get(heartbeat.entryId);
		if (known === undefined || sentAt >= known.sentAt) {
			const withoutStoreAt = heartbeat.reachesStore ? known?.lastWithoutStoreAt ?? Number.NEGATIVE_INFINITY : sentAt;
			this.#heartbeats.set(heartbeat.entryId, {heartbeat, sentAt, lastWithoutStoreAt: withoutStoreAt});
		}
	}

	/**
	 * True when a reachable entry holds a valid lease that may be old enough for a takeover. An entry that had none
	 * a short time ago cannot have taken over yet, so owners have time to renew after an outage.
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

	/** Highest revisions known to reachable entries, with the entry to fetch them from. */
	findHighestRevision(kind: 'configurationRevision' | 'availabilityRevision', now: number): {entryId: string; revision: number} | undefined {
		const [highest] = this.list(now).sort((a, b) => b[kind] - a[kind]);
		return highest && {entryId: highest.entryId, revision: highest[kind]};
	}

	remove(entryId: string): void {
		this.#heartbeats.delete(entryId);
	}
}
