import {HeartbeatTable} from '../membership/heartbeat-table.js';
import {SessionObserver} from '../membership/session-observer.js';
import type {Heartbeat, SessionRecord} from '../types/session.js';
import type {OwnerCandidates} from './owner-candidates.js';

/** Risk that a peer takes over from an owner whose lease lapsed, according to the heartbeats of the peers. */
export type TakeoverRisk =
	/** All peers are in reach and none of them has reached the object API for long enough to take over. */
	| 'none'
	/** Some peers are out of reach and could take over; none of those in reach can. */
	| 'unknown'
	/** No peer is in reach. */
	| 'isolated'
	/** A peer in reach has reached the object API for long enough to take over. */
	| 'possible';

/** Maximum delay in ms until a new instance appears in the instance list. */
const instanceListLagMs = 60_000;

/** What one entry knows about other entries. Its peers are those of its own region, because only these can take over. */
export class PeerView {
	readonly sessions = new SessionObserver();
	readonly #heartbeats = new HeartbeatTable();
	/** Entries of the region that sent a heartbeat, with or without a known session. */
	readonly #heartbeatSenders = new Set<string>();
	/** Ids of the entries in the latest instance list. */
	readonly #listed = new Set<string>();
	/** Time of the first instance list without the entry, by entry id; removed when the entry is listed again. */
	readonly #missingSince = new Map<string, number>();
	/** Time at which an entry was first seen as gone, because its process ended or it left the instance list; by entry id. */
	readonly #goneSince = new Map<string, number>();

	constructor(
		private readonly entryId: string,
		private readonly region: string,
		private readonly candidates: OwnerCandidates,
	) {}

	acceptSessions(records: readonly SessionRecord[], sentAt: number, now: number): void {
		this.sessions.acceptList(records, sentAt, now);
		for (const record of records) {
			this.#recordSession(record, now);
		}
	}

	acceptSession(entryId: string, record: SessionRecord | undefined, sentAt: number, now: number): void {
		this.sessions.accept(entryId, record, sentAt, now);
		if (record !== undefined) {
			this.#recordSession(record, now);
		}
	}

	/** Records a heartbeat, also from an entry without a known session, because a new entry could take over. */
	acceptHeartbeat(heartbeat: Heartbeat, sentAt: number): void {
		this.#heartbeats.accept(heartbeat, sentAt);
		if (heartbeat.entryId !== this.entryId && this.candidates.getRegion(heartbeat.failureDomain) === this.region) {
			this.#heartbeatSenders.add(heartbeat.entryId);
			this.#goneSince.delete(heartbeat.entryId);
		}
	}

	/**
	 * Records the instance list. An entry that was listed before is gone when it is missing. An entry that was never
	 * listed may be too new for the lagging list, so it counts as gone only after `instanceListLagMs`.
	 */
	acceptListedEntries(entryIds: readonly string[], now: number): void {
		const present = new Set(entryIds);
		const known = new Set([...this.#listed, ...this.sessions.list().map(record => record.entryId)]);
		for (const entryId of known) {
			if (!present.has(entryId)) {
				this.#acceptMissing(entryId, now);
			}
		}

		for (const entryId of present) {
			this.#missingSince.delete(entryId);
			if (!this.#listed.has(entryId)) {
				this.#listed.add(entryId);
				this.#goneSince.delete(entryId);
			}
		}
	}

	/** Records that an entry is gone; the time of the first report is kept. */
	recordEnd(entryId: string, now: number): void {
		if (!this.#goneSince.has(entryId)) {
			this.#goneSince.set(entryId, now);
		}
	}

	getGoneSince(entryId: string): number | undefined {
		return this.#goneSince.get(entryId);
	}

	/** Live sessions of other entries that have existed for at least `settleMs`. */
	listSettled(now: number, settleMs: number): SessionRecord[] {
		return this.sessions.list().filter(({entryId}) =>
			entryId !== this.entryId && this.sessions.isLive(entryId, now) && now - this.sessions.get(entryId)!.liveSince >= settleMs);
	}

	/** Number of live sessions of other entries that are younger than `settleMs` and not candidates yet. */
	countSettling(now: number, settleMs: number): number {
		const live = this.sessions.list().filter(({entryId}) => entryId !== this.entryId && this.sessions.isLive(entryId, now));
		return live.length - this.listSettled(now, settleMs).length;
	}

	/** Ids of peers whose sessions are no longer renewed and that are not known to be gone. */
	listLapsed(now: number): string[] {
		const lapsed = this.sessions.list().filter(record =>
			this.isPeer(record) && !this.sessions.isLive(record.entryId, now) && !this.#goneSince.has(record.entryId));
		return lapsed.map(record => record.entryId);
	}

	/** Number of peers that are not gone and not known to reach the object API at present. */
	countUncertain(now: number): number {
		return this.#listPeers().filter(entryId => !this.#heartbeats.get(entryId, now)?.reachesStore).length;
	}

	/**
	 * Computes the risk of a takeover from what the peers report about the object API. Peers with a lapsed session count
	 * as well, because a paused process can resume and take over.
	 */
	computeTakeoverRisk(now: number): TakeoverRisk {
		const peers = this.#listPeers();
		const heartbeats = peers.map(entryId => this.#heartbeats.get(entryId, now));
		if (peers.some(entryId => this.#heartbeats.isTakeoverPossible(entryId, now))) {
			return 'possible';
		}

		if (heartbeats.every(heartbeat => heartbeat === undefined)) {
			return 'isolated';
		}

		return heartbeats.includes(undefined) ? 'unknown' : 'none';
	}

	/** True for other entries of the region; only these can take over. */
	isPeer(record: SessionRecord): boolean {
		return record.entryId !== this.entryId && record.region === this.region;
	}

	#listPeers(): string[] {
		const known = this.sessions.list().filter(record => this.isPeer(record)).map(record => record.entryId);
		return [...new Set([...known, ...this.#heartbeatSenders])].filter(entryId => !this.#goneSince.has(entryId));
	}

	/** An entry whose session is renewed after it was gone has been restarted, so it is no longer gone. */
	#recordSession(record: SessionRecord, now: number): void {
		this.candidates.recordRegion(record.failureDomain, record.region);
		if (this.sessions.get(record.entryId)?.changedAt === now) {
			this.#goneSince.delete(record.entryId);
		}
	}

	#acceptMissing(entryId: string, now: number): void {
		const missingSince = this.#missingSince.get(entryId) ?? now;
		this.#missingSince.set(entryId, missingSince);
		if (this.#listed.delete(entryId) || now - missingSince >= instanceListLagMs) {
			this.recordEnd(entryId, now);
		}
	}
}
