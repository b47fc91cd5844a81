import type {SessionRecord} from '../types/session.js';
import {sessionMarginMs, sessionTtlMs} from './session-lease.js';

/** What is known about one session of another entry. */
export type ObservedSession = {
	/** Undefined when the object does not exist. */
	record: SessionRecord | undefined;
	/** Time at which the present version was first seen. */
	changedAt: number;
	/** Sending time of the latest read that showed this version. */
	confirmedAt: number;
	/** Time of the first read of the present epoch, or of its first renewal after a gap of at least the session expiry time. */
	liveSince: number;
};

/** Validity of a session and the margin added to it, both in ms. */
export type SessionObserverOptions = {ttlMs?: number; marginMs?: number};

/**
 * Sessions of other entries as read from the object API. Expiry is measured with the local clock: a session has expired
 * when its version has not changed for the validity plus a margin and a read sent after that time confirmed it. Without
 * the confirming read, an interrupted watch would look like an expired session.
 */
export class SessionObserver {
	readonly #sessions = new Map<string, ObservedSession>();
	readonly #expiryMs: number;

	constructor(options: SessionObserverOptions = {}) {
		this.#expiryMs = (options.ttlMs ?? sessionTtlMs) + (options.marginMs ?? sessionMarginMs);
	}

	/** Records a complete list; sessions that are missing from it do not exist. */
	acceptList(records: readonly SessionRecord[], sentAt: number, now: number): void {
		const missing = new Set(this.#sessions.keys());
		for (const record of records) {
			missing.delete(record.entryId);
			this.accept(record.entryId, record, sentAt, now);
		}

		for (const entryId of missing) {
			this.accept(entryId, undefined, sentAt, now);
		}
	}

	/** Records one session as read or watched; `sentAt` is the sending time of the call. */
	accept(entryId: string, record: SessionRecord | undefined, sentAt: number, now: number): void {
		const known = this.#sessions.get(entryId);
		if (known !== undefined && isOlder(record, known.record)) {
			return;
		}

		if (known !== undefined && isSameVersion(record, known.record)) {
			known.confirmedAt = Math.max(known.confirmedAt, sentAt);
			known.record = record;
			return;
		}

		const liveSince = known !== undefined && isContinued(known, record, now - this.#expiryMs) ? known.liveSince : now;
		this.#sessions.set(entryId, {
			record, changedAt: now, confirmedAt: sentAt, liveSince,
		});
	}

	get(entryId: string): ObservedSession | undefined {
		return this.#sessions.get(entryId);
	}

	/** All sessions that exist, expired ones included. */
	list(): SessionRecord[] {
		return [...this.#sessions.values()].flatMap(({record}) => record === undefined ? [] : [record]);
	}

	/** True while the session was seen to change within its validity plus the margin. */
	isLive(entryId: string, now: number): boolean {
		const session = this.#sessions.get(entryId);
		return session?.record !== undefined && now - session.changedAt < this.#expiryMs;
	}

	/**
	 * Time from which the session of an epoch is expired unless it changes; undefined when nothing is known about
	 * the entry. A session that exists under another epoch or was deleted counts from the time of that change,
	 * because the former process may still hold its last renewal.
	 */
	getExpiry(entryId: string, epoch: string): number | undefined {
		const session = this.#sessions.get(entryId);
		if (session === undefined) {
			return undefined;
		}

		return (session.record?.epoch === epoch ? session.changedAt : session.liveSince) + this.#expiryMs;
	}

	/** True when the session of an epoch has certainly expired, because a read sent after its expiry confirmed it. */
	isExpired(entryId: string, epoch: string): boolean {
		const expiry = this.getExpiry(entryId, epoch);
		return expiry !== undefined && this.#sessions.get(entryId)!.confirmedAt >= expiry;
	}

	/** Removes a session that does not exist any more and whose entry is gone. */
	remove(entryId: string): void {
		this.#sessions.delete(entryId);
	}
}

const isSameVersion = (a: SessionRecord | undefined, b: SessionRecord | undefined): boolean =>
	a?.epoch === b?.epoch && a?.renewal === b?.renewal;

/** True when the same epoch renewed before it expired. */
const isContinued = (known: ObservedSession, record: SessionRecord | undefined, expiredBefore: number): boolean =>
	known.record !== undefined && record?.epoch === known.record.epoch && known.changedAt > expiredBefore;

/** A list and a watch can deliver records out of order; within one epoch, the lower renewal number is older. */
const isOlder = (offered: SessionRecord | undefined, known: SessionRecord | undefined): boolean =>
	offered?.epoch === known?.epoch && (offered?.renewal ?? 0) < (known?.renewal ?? 0);
