import {HeartbeatTable} from '../membership/heartbeat-table.js';
import {SessionObserver} from '../membership/session-observer.js';
import type {Heartbeat, SessionRecord} from '../types/session.js';
import type {OwnerCandidates} from './owner-candidates.js';

/** What an owner may do after its lease lapsed, as far as other entries are concerned. */
export type TakeoverRisk =
	/** No entry that could take over can reach the object API. */
	| 'frozen'
	/** Some entries that could take over are out of reach; none that is in reach reaches the object API. */
	| 'partlyFrozen'
	/** No entry is in reach. */
	| 'alone'
	/** An entry in reach reaches the object API and can take over. */
	| 'superseded';

/** Longest lag in ms with which the instance list names a new instance. */
const instanceListLagMs = 60_000;

/** What one entry knows about the other entries of its region. */
export class PeerView {
	readonly sessions = new SessionObserver();
	readonly #heartbeats = new HeartbeatTable();
	/** Entries of the region that sent a heartbeat, with or without a known session. */
	readonly #heartbeatSenders = new Set<string>();
	readonly #listed = new Set<string>();
	/** First list that lacked an entry it had never named. */
	readonly #missingSince = new Map<string, number>();
	/** Entries whose process ended or that left the instance list, with the time at which this was seen. */
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

	/** A heartbeat of an entry without a known session counts as well, because a new entry could take over. */
	acceptHeartbeat(heartbeat: Heartbeat, sentAt: number): void {
		this.#heartbeats.accept(heartbeat, sentAt);
		if (heartbeat.entryId !== this.entryId && this.candidates.getRegion(heartbeat.failureDomain) === this.region) {
			this.#heartbeatSenders.add(heartbeat.entryId);
			this.#goneSince.delete(heartbeat.entryId);
		}
	}

	/**
	 * Records the instance list. An entry that the list named before is gone when it is missing; one that it never
	 * named may be too new for the lagging list and counts as gone only after some time.
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

	recordEnd(entryId: string, now: number): void {
		if (!this.#goneSince.has(entryId)) {
			this.#goneSince.set(entryId, now);
		}
	}

	getGoneSince(entryId: string): number | undefined {
		return this.#goneSince.get(entryId);
	}

	/** Live sessions of other entries that have existed for some time. */
	listSettled(now: number, settleMs: number): SessionRecord[] {
		return this.sessions.list().filter(({entryId}) =>
			entryId !== this.entryId && this.sessions.isLive(entryId, now) && now - this.sessions.get(entryId)!.liveSince >= settleMs);
	}

	/** Live sessions of other entries that have not existed for long enough to be candidates. */
	countSettling(now: number, settleMs: number): number {
		const live = this.sessions.list().filter(({entryId}) => entryId !== this.entryId && this.sessions.isLive(entryId, now));
		return live.length - this.listSettled(now, settleMs).length;
	}

	/** Entries of the region whose sessions stopped changing and that are not known to be gone. */
	listLapsed(now: number): string[] {
		const lapsed = this.sessions.list().filter(record =>
			this.isPeer(record) && !this.sessions.isLive(record.entryId, now) && !this.#goneSince.has(record.entryId));
		return lapsed.map(record => record.entryId);
	}

	/** Number of entries of the region that are not gone and not known to reach the object API at present. */
	countUncertain(now: number): number {
		return this.#listPeers().filter(entryId => !this.#heartbeats.get(entryId, now)?.reachesStore).length;
	}

	/**
	 * Judges what the reachable entries say about the object API. Entries with a lapsed session count as well,
	 * because a paused one can return and take over.
	 */
	computeTakeoverRisk(now: number): TakeoverRisk {
		const others = this.#listPeers();
		const heartbeats = others.map(entryId => this.#heartbeats.get(entryId, now));
		if (others.some(entryId => this.#heartbeats.isTakeoverPossible(entryId, now))) {
			return 'superseded';
		}

		if (heartbeats.every(heartbeat => heartbeat === undefined)) {
			return 'alone';
		}

		return heartbeats.includes(undefined) ? 'partlyFrozen' : 'frozen';
	}

	/** True for other entries of the region; only these can take over. */
	isPeer(record: SessionRecord): boolean {
		return record.entryId !== this.entryId && record.region === this.region;
	}

	#listPeers(): string[] {
		const known = this.sessions.list().filter(record => this.isPeer(record)).map(record => record.entryId);
		return [...new Set([...known, ...this.#heartbeatSenders])].filter(entryId => !this.#goneSince.has(entryId));
	}

	/** An entry that renews after it was gone has been restarted. */
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
