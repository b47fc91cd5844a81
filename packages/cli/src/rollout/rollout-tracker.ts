import type {SessionRecord} from '@knapweedrack/core';

/** Which revision of the entries is tracked. */
export type RevisionField = 'configurationRevision' | 'availabilityRevision';

/** One entry as seen during a rollout. */
export type RolloutEntry = {
	entryId: string;
	failureDomain: string;
	peerAddress: string;
	revision: number;
	state: 'in_force' | 'waiting' | 'stopping' | 'lapsed';
	/** Time in ms from the start until the revision was seen in force. */
	afterMs: number | undefined;
};

type ObservedEntry = RolloutEntry & {version: number; changedAt: number};

/** Validity of a session (6 s) plus the margin (1 s) that observers wait before they treat a session as expired. */
export const sessionLapseMs = 7000;

/**
 * Tracks one revision over all live entries. A session object can outlive its entry, so an entry counts as live
 * only while its session object changed within the last `sessionLapseMs`, measured by this process's own clock.
 */
export class RolloutTracker {
	readonly #entries = new Map<string, ObservedEntry>();
	#hasSessions = false;

	constructor(private readonly field: RevisionField, private readonly revision: number, private readonly startedAt: number) {}

	/** Updates all entries from their session objects; returns the entries that newly have the revision in force. */
	acceptSessions(sessions: ReadonlyArray<{version: number; record: SessionRecord}>, now: number): RolloutEntry[] {
		this.#hasSessions = true;
		const present = new Set(sessions.map(({record}) => record.entryId));
		for (const entryId of this.#entries.keys()) {
			if (!present.has(entryId)) {
				this.#entries.delete(entryId);
			}
		}

		return sessions.flatMap(({version, record}) => this.#acceptSession(version, record, now));
	}

	/** Updates an entry from its own status answer, which is newer than its session object; returns the entry if it newly has the revision in force. */
	acceptStatus(entryId: string, revision: number, now: number): RolloutEntry[] {
		const entry = this.#entries.get(entryId);
		return entry ? this.#acceptRevision(entry, revision, now) : [];
	}

	/** Lists the entries, sorted by id. */
	listEntries(now: number): RolloutEntry[] {
		return [...this.#entries.values()]
			.map(({version, changedAt, ...entry}) => ({...entry, state: entry.state === 'waiting' && now - changedAt > sessionLapseMs ? 'lapsed' as const : entry.state}))
			.sort((left, right) => left.entryId < right.entryId ? -1 : 1);
	}

	/** True when every live entry has the revision in force. */
	isDone(now: number): boolean {
		return this.#hasSessions && this.listEntries(now).every(({state}) => state !== 'waiting');
	}

	#acceptSession(version: number, record: SessionRecord, now: number): RolloutEntry[] {
		const {entryId, failureDomain, peerAddress} = record;
		let entry = this.#entries.get(entryId);
		if (!entry) {
			entry = {
				entryId, failureDomain, peerAddress, revision: 0, state: 'waiting', afterMs: undefined, version, changedAt: now,
			};
			this.#entries.set(entryId, entry);
		}

		if (entry.version !== version) {
			Object.assign(entry, {version, changedAt: now, peerAddress});
		}

		if (entry.state === 'waiting' && record.state === 'stopping') {
			entry.state = 'stopping';
		}

		return this.#acceptRevision(entry, record[this.field], now);
	}

	#acceptRevision(entry: ObservedEntry, revision: number, now: number): RolloutEntry[] {
		entry.revision = Math.max(entry.revision, revision);
		if (entry.state !== 'waiting' || entry.revision < this.revision) {
			return [];
		}

		Object.assign(entry, {state: 'in_force', afterMs: now - this.startedAt});
		return [entry];
	}
}
