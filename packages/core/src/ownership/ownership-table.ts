import {initialAvailability} from '../drain/apply-availability-edit.js';
import {sessionMarginMs, sessionTtlMs} from '../membership/session-lease.js';
import type {BackendServerDescription} from '../types/backend-server.js';
import type {Availability} from '../types/configuration.js';
import type {OwnerRecord, SessionRecord} from '../types/session.js';
import {ServerOwnership, type Dispute, type PendingWrite} from './server-ownership.js';
import {OwnerCandidates} from './owner-candidates.js';
import type {
	OwnershipCommand, OwnershipEvent, OwnershipMode, OwnerWriteResult,
} from './ownership-messages.js';
import {PeerView} from './peer-view.js';
import type {TextHash32} from './rendezvous.js';

/** Lifetime of a permit in ms from its grant or last renewal. */
export const permitLifetimeMs = 10_000;

/** Session of this entry, hash function and timing of an ownership table. */
export type OwnershipOptions = {
	/** Session of this entry as first written to the object API. */
	self: SessionRecord;
	hash: TextHash32;
	/** Minimum age in ms of a session before its entry can be chosen as an owner. */
	settleMs?: number;
	/** Time in ms between repeated reads, queries and writes for one backend server. */
	retryMs?: number;
};

/** Updates the table from one event; returns the backend servers to reconcile, or undefined for none. */
type EventHandler<Event> = (event: Event, now: number, commands: OwnershipCommand[]) => ServerOwnership | 'all' | undefined;
type EventHandlers = {[Type in OwnershipEvent['type']]: EventHandler<Extract<OwnershipEvent, {type: Type}>>};

/** Time in ms without a renewal after which a session is considered expired. */
const sessionExpiryMs = sessionTtlMs + sessionMarginMs;

/**
 * Tracks which backend servers this entry owns and how it may issue permits for each of them. The permits of all
 * entries together stay within each bound because
 * - a takeover without a release needs a read of the owner's session that shows no renewal for the session's validity
 *   plus a margin. The read is sent after the version of the owner record was seen, so that the conditional write fails
 *   when the former owner has rewritten the record in between;
 * - after any lapse of its lease, an owner rewrites the record before it issues without restriction again;
 * - an owner that stopped after a lapse stays stopped until it has rewritten the record.
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
	/** Start of the first valid lease. Lapses do not reset it, so that ownership does not move after an outage. */
	#firstLeaseAt = Number.POSITIVE_INFINITY;
	/** Sending time of the latest call that the object API answered. */
	#storeContactAt = Number.NEGATIVE_INFINITY;
	/** Sending time of the first call since which the object API has answered without a gap. */
	#storeContactSince = Number.POSITIVE_INFINITY;
	/** Number of times the lease of this entry has lapsed. */
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

	/** Applies an event and returns the commands to run. */
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

	/** How this entry may issue permits for a backend server at this moment; to be checked right before each grant. */
	getMode(serverId: string, now: number): OwnershipMode {
		this.#checkLease(now);
		const server = this.#servers.get(serverId);
		return server === undefined ? 'stopped' : this.#computeMode(server, now);
	}

	/** Builds the reply to `ownership.query` from a peer. */
	describe(serverId: string, now: number): {isIssuing: boolean; fencingNumber: number} {
		const fencingNumber = this.#servers.get(serverId)?.record?.fencingNumber ?? 0;
		return {isIssuing: this.getMode(serverId, now) !== 'stopped', fencingNumber};
	}

	/**
	 * True when the object API answered a call that was sent at most 3 s ago; heartbeats report it as `reachesStore`.
	 * In an outage of the object API, all entries report false before the first lease lapses.
	 */
	hasStoreContact(now: number): boolean {
		return now - this.#storeContactAt <= storeContactMaxAgeMs;
	}

	/** Fencing number for permits and orders; undefined when this entry does not own the backend server. */
	getFencingNumber(serverId: string): number | undefined {
		const server = this.#servers.get(serverId);
		return server?.isOwned ? server.record?.fencingNumber : undefined;
	}

	/** Entry that grants the permits of a backend server; undefined when no owner is known. */
	getOwner(serverId: string): string | undefined {
		return this.getOwnerRecord(serverId)?.owner;
	}

	/** Last known owner record of a backend server; undefined when there is none or it is released. */
	getOwnerRecord(serverId: string): OwnerRecord | undefined {
		const record = this.#servers.get(serverId)?.record;
		return record === undefined || record.released ? undefined : record;
	}

	/** Ids of the backend servers that this entry owns or is releasing. */
	listOwned(): string[] {
		return [...this.#servers.values()].filter(server => server.isOwned).map(server => server.description.id);
	}

	/** Number of backend servers that each entry owns, to rank the entries that are advertised to callers. */
	countOwned(serves: string | undefined): Map<string, number> {
		const counts = new Map<string, number>();
		for (const {record, description} of this.#servers.values()) {
			if (record !== undefined && !record.released && (serves === undefined || description.serves === serves)) {
				counts.set(record.owner, (counts.get(record.owner) ?? 0) + 1);
			}
		}

		return counts;
	}

	/** Records a lapse before any other step, so that an answer that arrives after the lapse cannot hide it. */
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
	 * True when this entry can be chosen as an owner. It waits for entries that started shortly after it; otherwise the
	 * first of several starting entries would take all backend servers and hand most of them over at once. The wait is
	 * limited to twice the settle time, so that an entry that keeps restarting does not block others.
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

	/** A disputed ownership is not released, because the record does not tell the next owner about the dispute. */
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

		const open = [...dispute.permitsExpireBy].filter(([, expireBy]) => now < expireBy);
		const isOver = this.#isDisputeOver(dispute, now);
		if (open.length === 0 || isOver) {
			server.dispute = undefined;
			server.lifecycle.handle('resolve');
		} else if (this.#isLeaseValid(now) && now >= server.retryAt) {
			server.retryAt = now + this.#retryMs;
			const unanswered = open.filter(([entryId, expireBy]) =>
				expireBy === Number.POSITIVE_INFINITY && entryId !== this.options.self.entryId);
			commands.push(...unanswered.map(([entryId]) =>
				({type: 'queryFormerOwner' as const, serverId: server.description.id, entryId})));
		}
	}

	/**
	 * True when the former owner has stopped and its permits have expired. While all peers except the former owner are in
	 * reach and reach the object API, the former owner stops when it receives a heartbeat of one of them, and after one
	 * permit lifetime when it receives none. Its permits expire one lifetime later. Two peers without access to the object
	 * API would see no entry that can take over in each other's heartbeats, and both could continue to issue.
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

	/** True for a record of an earlier process of this entry, which has ended, because this process listens at its address. */
	#isPredecessor({owner, ownerAddress, epoch}: OwnerRecord): boolean {
		const {self} = this.options;
		return owner === self.entryId && epoch !== self.epoch && ownerAddress !== undefined && ownerAddress === self.peerAddress;
	}

	/** The permits of the former owner expire during the rebuild, so only peers with a lapsed session can still issue. */
	#createPredecessorDispute(now: number): Dispute | undefined {
		const lapsed = this.#peers.listLapsed(now);
		return lapsed.length === 0 ? undefined : createDispute(lapsed);
	}

	/**
	 * True when the owner's session has certainly expired; otherwise requests a read of the session when one is needed.
	 * The object API must have answered without a gap for the session expiry time. By then, owners that continue during
	 * an outage have received a heartbeat which says that this entry reaches the object API again.
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

	/** Includes all peers with a lapsed session: they may be earlier owners whose dispute the former owner did not resolve. */
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

	/** Matches the record with the write that produced it, because the answer to that write may have been lost. */
	#acceptOwnRecord(server: ServerOwnership, record: OwnerRecord, now: number): void {
		// The watch can deliver the record before the write is answered.
		const sent = server.pending === undefined ? server.unresolvedWrites : [...server.unresolvedWrites, server.pending];
		const writes = sent.filter(({kind, record: written}) => kind !== 'release' && written.fencingNumber === record.fencingNumber);
		server.unresolvedWrites = [];
		if (writes.length > 0) {
			// If several writes carry this fencing number, it is not known which took effect; the earliest covers the fewest lapses.
			const lapses = Math.min(...writes.map(write => write.lapses));
			server.coveredLapses = Math.max(server.coveredLapses, lapses);
		}

		if (!server.lifecycle.handle('acquire')) {
			return;
		}

		server.acquiredAt = now;
		server.dispute = writes.length === 0 ? this.#createDispute(record, now) : writes.findLast(write => write.dispute)?.dispute;
		// After a lapse between the write and its answer, this entry issues nothing until it has rewritten the record.
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

	/** Upper limit for an owner that has not rewritten its record since a lapse; `grace` is `half` for a limited time. */
	#computeLapsedMode(server: ServerOwnership, now: number): 'full' | 'half' | 'grace' | 'stopped' {
		// A takeover may have gone unnoticed between two lapses, or after the lease of this entry became valid again.
		const isSecondLapse = this.#lapses - server.coveredLapses > 1;
		if (isSecondLapse || now - this.#leaseValidSince >= reclaimGraceMs) {
			return 'stopped';
		}

		const takeoverRisk = this.#peers.computeTakeoverRisk(now);
		if (takeoverRisk === 'none') {
			return 'full';
		}

		if (server.dispute !== undefined) {
			return 'stopped';
		}

		if (takeoverRisk === 'possible') {
			return now < this.#lapsedAt + lapseGraceMs ? 'grace' : 'stopped';
		}

		return takeoverRisk === 'unknown' || now < this.#lapsedAt + permitLifetimeMs ? 'half' : 'stopped';
	}
}

/** Maximum number of writes without a known effect that are kept for one backend server. */
const unresolvedWriteLimit = 16;

/** Maximum age in ms of an answered call that counts as contact with the object API; more than the renewal interval. */
const storeContactMaxAgeMs = 3000;

/**
 * Time in ms after a lapse during which a peer that still reports access to the object API restricts an owner to half
 * of each bound instead of stopping it. The restriction holds until the record is rewritten, because a takeover may be
 * in progress.
 */
const lapseGraceMs = storeContactMaxAgeMs + sessionMarginMs;

/** Time in ms that an owner may take to rewrite its record after its lease is valid again, before it stops issuing. */
const reclaimGraceMs = 3000;

const phaseModes = {rebuilding: 'rebuilding', disputed: 'half', owned: 'full'} as const;

const limitToHalf = (mode: OwnershipMode): OwnershipMode => mode === 'full' ? 'half' : mode;

const recordAnswer = (dispute: Dispute | undefined, entryId: string, isIssuing: boolean, now: number): void => {
	const expireBy = dispute?.permitsExpireBy.get(entryId);
	if (dispute !== undefined && expireBy !== undefined) {
		// Permits that the former owner issued before it stopped are valid for one more lifetime.
		dispute.permitsExpireBy.set(entryId, isIssuing ? Number.POSITIVE_INFINITY : Math.min(expireBy, now + permitLifetimeMs));
	}
};

const createDispute = (entryIds: readonly string[]): Dispute => ({
	atMostOneUncertainSince: undefined,
	permitsExpireBy: new Map(entryIds.map(entryId => [entryId, Number.POSITIVE_INFINITY])),
});
