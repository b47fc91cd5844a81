import {initialAvailability} from '../drain/apply-availability-edit.js';
import {sessionMarginMs, sessionTtlMs} from '../membership/session-lease.js';
import type {BackendServerDescription} from '../types/backend-server.js';
import type {Availability} from '../types/configuration.js';
import type {OwnerRecord, SessionRecord} from '../types/session.js';
import {ServerOwnership, type Dispute, type PendingWrite} from './owned-server.js';
import {OwnerCandidates} from './owner-candidates.js';
import type {
	OwnershipCommand, OwnershipEvent, OwnershipMode, OwnerWriteResult,
} from './ownership-messages.js';
import {PeerView} from './peer-view.js';
import type {TextHash32} from './rendezvous.js';

/** Lifetime of a permit in ms from its grant or last renewal. */
export const permitLifetimeMs = 10_000;

/** Own entry and options of the table. */
export type OwnershipOptions = {
	/** Own session as it is first written. */
	self: SessionRecord;
	hash: TextHash32;
	/** Time in ms for which a session must have existed before it counts for the choice of owners. */
	settleMs?: number;
	/** Time in ms between repeated reads, queries and writes for one backend server. */
	retryMs?: number;
};

/** Applies the facts of one event; returns the servers to evaluate. */
type EventHandler<Event> = (event: Event, now: number, commands: OwnershipCommand[]) => ServerOwnership | 'all' | undefined;
type EventHandlers = {[Type in OwnershipEvent['type']]: EventHandler<Extract<OwnershipEvent, {type: Type}>>};

/** Time in ms after which the session of an entry that does not renew it is judged expired. */
const sessionExpiryMs = sessionTtlMs + sessionMarginMs;

/**
 * Ownership of backend servers at one entry. The sum of what all entries may issue stays within each bound because
 * - a takeover without release needs a read that shows the session unchanged for its validity and a margin, sent after
 *   the record's version was seen, so that a former owner that returned in between makes the write fail;
 * - after any lapse of the own lease the record is rewritten before the owner issues again without restriction;
 * - whoever stopped after a lapse stays stopped until then.
 */
export class OwnershipTable {
	readonly #servers = new Map<string, ServerOwnership>();
	readonly #candidates: OwnerCandidates;
	readonly #peers: PeerView;
	readonly #settleMs: number;
	readonly #retryMs: number;
	readonly #sessionReadAt = new Map<string, number>();
	#availability: Availability = initialAvailability;
	#isStopping = false;
	#leaseValidUntil = Number.NEGATIVE_INFINITY;
	#leaseValidSince = Number.POSITIVE_INFINITY;
	/** Start of the first valid lease; an owner stays a candidate after an outage, so that nothing changes hands. */
	#firstLeaseAt = Number.POSITIVE_INFINITY;
	/** Sending time of the latest call that the object API answered, and the start of the time without a gap before it. */
	#storeContactAt = Number.NEGATIVE_INFINITY;
	#storeContactSince = Number.POSITIVE_INFINITY;
	/** Number of lapses of the own lease. */
	#lapses = 0;
	#lapsedAt = Number.NEGATIVE_INFINITY;

	readonly #handlers: EventHandlers = {
		lease: ({validUntil}, now) => {
			this.#setLease(validUntil, now);
			this.#recordStoreContact(validUntil - sessionTtlMs);
			return 'all';
		},
		sessions: ({sessions, sentAt}, now) => {
			this.#recordStoreContact(sentAt);
			this.#peers.acceptSessions(sessions, sentAt, now);
			return undefined;
		},
		session: ({entryId, session, sentAt}, now) => {
			this.#peers.acceptSession(entryId, session, sentAt, now);
			return undefined;
		},
		heartbeat: ({heartbeat, sentAt}) => {
			this.#peers.acceptHeartbeat(heartbeat, sentAt);
			return undefined;
		},
		instances: ({servers, entryIds}, now) => {
			this.#setInstances(servers, entryIds, now);
			return 'all';
		},
		entryEnded: ({entryId}, now) => {
			this.#peers.recordEnd(entryId, now);
			return undefined;
		},
		availability: ({availability}) => {
			this.#availability = availability;
			return 'all';
		},
		stopping: () => {
			this.#isStopping = true;
			return 'all';
		},
		tick: () => 'all',
		owner: ({serverId, record, version}, now) => {
			const server = this.#servers.get(serverId);
			if (server !== undefined) {
				this.#acceptRecord(server, record, version, now);
			}

			return server;
		},
		writeResult: ({serverId, result}, now, commands) => {
			const server = this.#servers.get(serverId);
			if (server !== undefined) {
				this.#acceptWriteResult(server, result, now, commands);
			}

			return server;
		},
		formerOwner: ({serverId, entryId, isIssuing}, now) => {
			const server = this.#servers.get(serverId);
			recordAnswer(server?.dispute, entryId, isIssuing, now);
			return server;
		},
		rebuilt: ({serverId}) => {
			const server = this.#servers.get(serverId);
			if (server?.phase === 'rebuilding' && server.dispute === undefined) {
				server.lifecycle.handle('rebuild');
			}

			return server;
		},
	};

	constructor(private readonly options: OwnershipOptions) {
		this.#candidates = new OwnerCandidates(options.hash);
		this.#candidates.recordRegion(options.self.failureDomain, options.self.region);
		this.#peers = new PeerView(options.self.entryId, options.self.region, this.#candidates);
		this.#settleMs = options.settleMs ?? 3000;
		this.#retryMs = options.retryMs ?? 500;
	}

	/** Applies an event and returns what is to be done. */
	handle(event: OwnershipEvent, now: number): OwnershipCommand[] {
		this.#checkLease(now);
		const commands: OwnershipCommand[] = [];
		const handler = this.#handlers[event.type] as EventHandler<OwnershipEvent>;
		const changed = handler(event, now, commands);
		if (changed === 'all') {
			this.#updateCandidates(now);
			for (const server of this.#servers.values()) {
				this.#reconcile(server, now, commands);
			}
		} else if (changed !== undefined) {
			this.#reconcile(changed, now, commands);
		}

		return commands;
	}

	/** How this entry may issue permits for a backend server at this moment; asked right before each grant. */
	getMode(serverId: string, now: number): OwnershipMode {
		this.#checkLease(now);
		const server = this.#servers.get(serverId);
		return server === undefined ? 'stopped' : this.#computeMode(server, now);
	}

	/** Answer to `ownership.query` of another entry. */
	describe(serverId: string, now: number): {isIssuing: boolean; fencingNumber: number} {
		const fencingNumber = this.#servers.get(serverId)?.record?.fencingNumber ?? 0;
		return {isIssuing: this.getMode(serverId, now) !== 'stopped', fencingNumber};
	}

	/**
	 * Whether the object API answered recently; this is what heartbeats report as `reachesStore`. All entries stop
	 * reporting it before the first lease lapses in an outage.
	 */
	hasStoreContact(now: number): boolean {
		return now - this.#storeContactAt <= storeContactMaxAgeMs;
	}

	/** Fencing number for permits and orders; undefined when this entry does not own the backend server. */
	getFencingNumber(serverId: string): number | undefined {
		const server = this.#servers.get(serverId);
		return server?.isOwned ? server.record?.fencingNumber : undefined;
	}

	/** Entry to ask for permits of a backend server. */
	getOwner(serverId: string): string | undefined {
		const record = this.#servers.get(serverId)?.record;
		return record === undefined || record.released ? undefined : record.owner;
	}

	/** Backend servers that this entry owns or is about to release. */
	listOwned(): string[] {
		return [...this.#servers.values()].filter(server => server.isOwned).map(server => server.description.id);
	}

	/** Number of backend servers that each entry owns, for the entries that callers are told. */
	countOwned(serves: string | undefined): Map<string, number> {
		const counts = new Map<string, number>();
		for (const {record, description} of this.#servers.values()) {
			if (record !== undefined && !record.released && (serves === undefined || description.serves === serves)) {
				counts.set(record.owner, (counts.get(record.owner) ?? 0) + 1);
			}
		}

		return counts;
	}

	/** Notices a lapse before anything else is done, so that a late answer cannot hide it. */
	#checkLease(now: number): void {
		if (this.#leaseValidSince !== Number.POSITIVE_INFINITY && now >= this.#leaseValidUntil) {
			this.#lapses += 1;
			this.#lapsedAt = Math.min(this.#leaseValidUntil, now);
			this.#leaseValidSince = Number.POSITIVE_INFINITY;
		}
	}

	#setLease(validUntil: number, now: number): void {
		this.#leaseValidUntil = validUntil;
		if (now < validUntil && this.#leaseValidSince === Number.POSITIVE_INFINITY) {
			this.#leaseValidSince = now;
			this.#firstLeaseAt = Math.min(this.#firstLeaseAt, now);
		}

		this.#checkLease(now);
	}

	#recordStoreContact(sentAt: number): void {
		if (sentAt - this.#storeContactAt > storeContactMaxAgeMs) {
			this.#storeContactSince = sentAt;
		}

		this.#storeContactAt = Math.max(this.#storeContactAt, sentAt);
	}

	#isLeaseValid(now: number): boolean {
		return now < this.#leaseValidUntil;
	}

	#setInstances(servers: readonly BackendServerDescription[], entryIds: readonly string[], now: number): void {
		this.#peers.acceptListedEntries(entryIds, now);
		const listed = new Set(servers.map(server => server.id));
		for (const description of servers) {
			const known = this.#servers.get(description.id);
			if (known === undefined) {
				this.#servers.set(description.id, new ServerOwnership(description, this.options.hash(description.id)));
			} else {
				known.description = description;
				known.isListed = true;
			}
		}

		for (const [serverId, server] of this.#servers) {
			server.isListed = listed.has(serverId);
			if (!server.isListed && !server.isOwned && server.pending === undefined) {
				this.#servers.delete(serverId);
			}
		}
	}

	#updateCandidates(now: number): void {
		const others = this.#peers.listSettled(now, this.#settleMs);
		this.#candidates.update(this.#isCandidate(now) ? [...others, this.options.self] : others, this.#availability);
	}

	/**
	 * Entries that start together take their servers together; the first one would otherwise take all of them and
	 * hand most of them over at once. The wait is bounded, so that an entry that keeps restarting does not hold up others.
	 */
	#isCandidate(now: number): boolean {
		const age = now - this.#firstLeaseAt;
		const isWaiting = age < 2 * this.#settleMs && this.#peers.countSettling(now, this.#settleMs) > 0;
		return !this.#isStopping && this.#isLeaseValid(now) && age >= this.#settleMs && !isWaiting;
	}

	#getDesiredOwner(server: ServerOwnership): string | undefined {
		if (server.desiredVersion !== this.#candidates.version) {
			server.desiredVersion = this.#candidates.version;
			server.desiredOwner = this.#candidates.selectOwner(server.keyHash, server.description.failureDomain);
		}

		return server.desiredOwner;
	}

	#reconcile(server: ServerOwnership, now: number, commands: OwnershipCommand[]): void {
		if (server.isOwned) {
			this.#reconcileOwned(server, now, commands);
		} else if (this.#getDesiredOwner(server) === this.options.self.entryId && server.isListed) {
			this.#reconcileDesired(server, now, commands);
		}

		const mode = this.#computeMode(server, now);
		if (mode !== server.mode) {
			server.mode = mode;
			commands.push({type: 'setMode', serverId: server.description.id, mode});
		}
	}

	#reconcileOwned(server: ServerOwnership, now: number, commands: OwnershipCommand[]): void {
		if (server.phase !== 'releasing') {
			this.#updateDispute(server, now, commands);
			if (server.phase === 'rebuilding' && now - server.acquiredAt >= permitLifetimeMs) {
				server.lifecycle.handle(server.dispute === undefined ? 'rebuild' : 'rebuildDisputed');
			}

			if (this.#isReleaseDue(server, now)) {
				server.lifecycle.handle('release');
			}
		}

		if (server.pending !== undefined || now < server.retryAt) {
			return;
		}

		if (!server.isRecordKnown) {
			this.#readOwner(server, now, commands);
		} else if (server.phase === 'releasing') {
			commands.push(this.#createWrite(server, 'release'));
		} else if (server.coveredLapses < this.#lapses && this.#isLeaseValid(now)) {
			commands.push(this.#createWrite(server, 'reclaim'));
		}
	}

	/** A disputed ownership is not released, because the next owner would not know of the dispute. */
	#isReleaseDue(server: ServerOwnership, now: number): boolean {
		if (server.dispute !== undefined || !this.#isLeaseValid(now)) {
			return false;
		}

		const desired = this.#getDesiredOwner(server);
		const isOtherDesired = desired !== undefined && desired !== this.options.self.entryId;
		return this.#isStopping || !server.isListed || isOtherDesired;
	}

	#updateDispute(server: ServerOwnership, now: number, commands: OwnershipCommand[]): void {
		const {dispute} = server;
		if (dispute === undefined) {
			return;
		}

		for (const entryId of dispute.permitsExpireBy.keys()) {
			const goneSince = this.#peers.getGoneSince(entryId);
			if (goneSince !== undefined) {
				dispute.permitsExpireBy.set(entryId, Math.min(dispute.permitsExpireBy.get(entryId)!, goneSince + permitLifetimeMs));
			}
		}

		const open = [...dispute.permitsExpireBy].filter(([, clearFrom]) => now < clearFrom);
		const isOver = this.#isDisputeOver(dispute, now);
		if (open.length === 0 || isOver) {
			server.dispute = undefined;
			server.lifecycle.handle('resolve');
		} else if (this.#isLeaseValid(now) && now >= server.retryAt) {
			server.retryAt = now + this.#retryMs;
			const unanswered = open.filter(([entryId, clearFrom]) =>
				clearFrom === Number.POSITIVE_INFINITY && entryId !== this.options.self.entryId);
			commands.push(...unanswered.map(([entryId]) =>
				({type: 'queryFormerOwner' as const, serverId: server.description.id, entryId})));
		}
	}

	/**
	 * When all other entries are in reach and reach the object API, the former owner either hears of one of them and
	 * stops, or hears of none and stops after one permit lifetime. Two entries without the object API could keep
	 * each other issuing.
	 */
	#isDisputeOver(dispute: Dispute, now: number): boolean {
		if (!this.#isLeaseValid(now) || this.#peers.countUncertain(now) > 1) {
			dispute.atMostOneUncertainSince = undefined;
			return false;
		}

		dispute.atMostOneUncertainSince ??= now;
		return now >= dispute.atMostOneUncertainSince + (2 * permitLifetimeMs);
	}

	#reconcileDesired(server: ServerOwnership, now: number, commands: OwnershipCommand[]): void {
		if (server.pending !== undefined || now < server.retryAt || !this.#isLeaseValid(now)) {
			return;
		}

		if (!server.isRecordKnown) {
			this.#readOwner(server, now, commands);
			return;
		}

		if (server.record === undefined || server.record.released) {
			commands.push(this.#createWrite(server, 'take'));
		} else if (this.#isPredecessor(server.record)) {
			commands.push(this.#createWrite(server, 'take', this.#createPredecessorDispute(now)));
		} else if (this.#isTakeoverAllowed(server, server.record, now, commands)) {
			commands.push(this.#createWrite(server, 'take', this.#createDispute(server.record, now)));
		}
	}

	/** The record of an earlier process of this entry, which has ended, because this one listens at its address. */
	#isPredecessor({owner, ownerAddress, epoch}: OwnerRecord): boolean {
		const {self} = this.options;
		return owner === self.entryId && epoch !== self.epoch && ownerAddress !== undefined && ownerAddress === self.peerAddress;
	}

	/** Permits of the predecessor expire while the ownership is rebuilt; only other lapsed entries can still issue. */
	#createPredecessorDispute(now: number): Dispute | undefined {
		const lapsed = this.#peers.listLapsed(now);
		return lapsed.length === 0 ? undefined : createDispute(lapsed);
	}

	/**
	 * The object API must have answered without a gap for the expiry time, so that owners that continue during
	 * an outage have heard that this entry reaches it again.
	 */
	#isTakeoverAllowed(server: ServerOwnership, record: OwnerRecord, now: number, commands: OwnershipCommand[]): boolean {
		const {sessions} = this.#peers;
		const expiry = sessions.getExpiry(record.owner, record.epoch);
		const hasContact = this.hasStoreContact(now) && now - this.#storeContactSince >= sessionExpiryMs;
		if (!hasContact || (expiry !== undefined && now < expiry)) {
			return false;
		}

		const isConfirmed = (sessions.get(record.owner)?.confirmedAt ?? Number.NEGATIVE_INFINITY) >= server.recordSeenAt;
		if (isConfirmed && sessions.isExpired(record.owner, record.epoch)) {
			return true;
		}

		if (now >= (this.#sessionReadAt.get(record.owner) ?? Number.NEGATIVE_INFINITY)) {
			this.#sessionReadAt.set(record.owner, now + this.#retryMs);
			commands.push({type: 'readSession', entryId: record.owner});
		}

		return false;
	}

	/** Other lapsed entries may be earlier owners whose dispute the former owner did not resolve. */
	#createDispute(record: OwnerRecord, now: number): Dispute {
		return createDispute([record.owner, ...this.#peers.listLapsed(now)]);
	}

	#createRecord(server: ServerOwnership): OwnerRecord {
		return {
			serverId: server.description.id,
			owner: this.options.self.entryId,
			ownerAddress: this.options.self.peerAddress,
			epoch: this.options.self.epoch,
			fencingNumber: (server.record?.fencingNumber ?? 0) + 1,
			released: false,
		};
	}

	#createWrite(server: ServerOwnership, kind: PendingWrite['kind'], dispute?: Dispute): OwnershipCommand {
		const isRelease = kind === 'release';
		const record = isRelease ? {...server.record!, released: true} : this.#createRecord(server);
		server.pending = {
			kind, record, dispute, lapses: this.#lapses,
		};
		return {
			type: isRelease ? 'release' : 'writeOwner', serverId: record.serverId, record, version: server.version,
		};
	}

	#readOwner(server: ServerOwnership, now: number, commands: OwnershipCommand[]): void {
		server.retryAt = now + this.#retryMs;
		commands.push({type: 'readOwner', serverId: server.description.id});
	}

	#acceptWriteResult(server: ServerOwnership, result: OwnerWriteResult, now: number, commands: OwnershipCommand[]): void {
		const {pending} = server;
		server.pending = undefined;
		if (pending === undefined) {
			return;
		}

		if (result.type === 'ok') {
			server.unresolvedWrites.push(pending);
			this.#acceptRecord(server, pending.record, result.version, now);
		} else if (result.type === 'failed') {
			server.retryAt = now + this.#retryMs;
		} else {
			server.isRecordKnown = false;
			server.unresolvedWrites.push(pending);
			server.unresolvedWrites.splice(0, server.unresolvedWrites.length - unresolvedWriteLimit);
			this.#readOwner(server, now, commands);
		}
	}

	#acceptRecord(server: ServerOwnership, record: OwnerRecord | undefined, version: number, now: number): void {
		if (version < server.version) {
			return;
		}

		if (version > server.version || server.recordSeenAt === Number.NEGATIVE_INFINITY) {
			server.record = record;
			server.version = version;
			server.recordSeenAt = now;
		}

		server.isRecordKnown = true;
		if (this.#isOwnRecord(server.record)) {
			this.#acceptOwnRecord(server, server.record, now);
		} else {
			server.lifecycle.handle('lose');
			server.dispute = undefined;
		}
	}

	#isOwnRecord(record: OwnerRecord | undefined): record is OwnerRecord {
		const {entryId, epoch} = this.options.self;
		return record !== undefined && !record.released && record.owner === entryId && record.epoch === epoch;
	}

	/** Matches the record with the write that produced it; its answer may have been lost. */
	#acceptOwnRecord(server: ServerOwnership, record: OwnerRecord, now: number): void {
		// The watch can bring the record before the write is answered.
		const sent = server.pending === undefined ? server.unresolvedWrites : [...server.unresolvedWrites, server.pending];
		const writes = sent.filter(({kind, record: written}) => kind !== 'release' && written.fencingNumber === record.fencingNumber);
		server.unresolvedWrites = [];
		if (writes.length > 0) {
			// Which of several equal writes took effect is not known; the earliest one covers the fewest lapses.
			const lapses = Math.min(...writes.map(write => write.lapses));
			server.coveredLapses = Math.max(server.coveredLapses, lapses);
		}

		if (!server.lifecycle.handle('acquire')) {
			return;
		}

		server.acquiredAt = now;
		server.dispute = writes.length === 0 ? this.#createDispute(record, now) : writes.findLast(write => write.dispute)?.dispute;
		// A lapse between the write and its answer ends the right to issue before it began.
		server.stoppedAtLapse = this.#lapses;
	}

	#computeMode(server: ServerOwnership, now: number): OwnershipMode {
		const {phase} = server;
		if (phase === 'notOwned' || phase === 'releasing') {
			return 'stopped';
		}

		if (this.#isLeaseValid(now) && server.coveredLapses >= this.#lapses) {
			return phaseModes[phase];
		}

		const allowed = server.isStoppedByLapse ? 'stopped' : this.#computeLapsedMode(server, now);
		if (allowed === 'stopped') {
			server.stoppedAtLapse = this.#lapses;
			return 'stopped';
		}

		if (allowed !== 'full') {
			server.halvedAtLapse = this.#lapses;
		}

		return server.isHalvedByLapse ? limitToHalf(phaseModes[phase]) : phaseModes[phase];
	}

	/** What an owner with a lapsed lease may issue at most. */
	#computeLapsedMode(server: ServerOwnership, now: number): 'full' | 'half' | 'grace' | 'stopped' {
		// A takeover may have taken effect unseen between two lapses, or while the own lease is valid again.
		const isSecondLapse = this.#lapses - server.coveredLapses > 1;
		if (isSecondLapse || now - this.#leaseValidSince >= reclaimGraceMs) {
			return 'stopped';
		}

		const standing = this.#peers.computeTakeoverRisk(now);
		if (standing === 'frozen') {
			return 'full';
		}

		if (server.dispute !== undefined) {
			return 'stopped';
		}

		if (standing === 'superseded') {
			return now < this.#lapsedAt + lapseGraceMs ? 'grace' : 'stopped';
		}

		return standing === 'partlyFrozen' || now < this.#lapsedAt + permitLifetimeMs ? 'half' : 'stopped';
	}
}

/** Number of lost answers remembered for one backend server. */
const unresolvedWriteLimit = 16;

/** Age in ms up to which an answer of the object API counts as contact; more than the time between renewals. */
const storeContactMaxAgeMs = 3000;

/**
 * Time in ms after a lapse in which an entry that still reports the object API restricts an owner to half instead of
 * stopping it. The restriction holds until the record is rewritten, because a takeover may still be under way.
 */
const lapseGraceMs = storeContactMaxAgeMs + sessionMarginMs;

/** Time in ms within which the record is to be rewritten after the own lease is valid again. */
const reclaimGraceMs = 3000;

const phaseModes = {rebuilding: 'rebuilding', disputed: 'half', owned: 'full'} as const;

const limitToHalf = (mode: OwnershipMode): OwnershipMode => mode === 'full' ? 'half' : mode;

const recordAnswer = (dispute: Dispute | undefined, entryId: string, isIssuing: boolean, now: number): void => {
	const clearFrom = dispute?.permitsExpireBy.get(entryId);
	if (dispute !== undefined && clearFrom !== undefined) {
		// Permits that the former owner issued before it stopped are valid for one more lifetime.
		dispute.permitsExpireBy.set(entryId, isIssuing ? Number.POSITIVE_INFINITY : Math.min(clearFrom, now + permitLifetimeMs));
	}
};

const createDispute = (entryIds: readonly string[]): Dispute => ({
	atMostOneUncertainSince: undefined,
	permitsExpireBy: new Map(entryIds.map(entryId => [entryId, Number.POSITIVE_INFINITY])),
});
