import {
	permitLifetimeMs, PermitValidity, refusalReasons,
	type LoadSnapshot, type Permit, type PermitReply, type PermitRequest,
} from '@knapweedrack/core';
import {peerBatchLimit, type PermitRenewal} from '@knapweedrack/protocol';
import type {AdmissionTask} from '../admission/admission-task.js';
import type {EntryServices, Metrics, TimerService} from '../contracts.js';
import type {MembershipTask} from '../membership/membership-task.js';
import {counterNames, durationNames} from '../metrics/metric-names.js';
import type {OwnershipTask} from '../ownership/ownership-task.js';

/** Two renewals may be lost before a permit expires. */
const renewalIntervalMs = permitLifetimeMs / 3;
const renewalTimeoutMs = 2000;
/** First tokens within this time are reported in one message; the owner's estimate of the running prefill lags by up to this time. */
const firstTokenBatchMs = 50;
const unreachableRetryAfterMs = 500;
/** Time in ms after the deadline for the owner's answer to arrive; the owner itself refuses at the deadline. */
const replyAllowanceMs = 500;
/** A load older than this no longer describes the queue. */
const loadRetentionMs = 10_000;

/** Dependencies of the permit client. */
export type PermitClientOptions = {
	entryId: string;
	admission: AdmissionTask;
	ownership: OwnershipTask;
	membership: MembershipTask;
	timer: TimerService;
	metrics: Metrics;
};

type ServerRenewal = PermitRenewal['servers'][number];
/** Renewals of one server's permits, with the fencing number of the owner to which they are sent. */
type OwnerRenewal = {renewal: ServerRenewal; fencingNumber: number};

/** Requests, renews and releases the permits that this entry holds, at its own admission points and at other owners. */
export class PermitClient {
	readonly #options: PermitClientOptions;
	/** Ids of the permits in use, by server id. */
	readonly #heldPermitIds = new Map<string, Set<string>>();
	readonly #validity = new PermitValidity();
	/** Last load received with a permit reply, by server id. */
	readonly #loads = new Map<string, {load: LoadSnapshot; at: number}>();
	/** Ids of permits whose first token is not yet reported to the owner, by server id. */
	readonly #firstTokens = new Map<string, string[]>();
	#unsubscribe: (() => void) | undefined;
	#isFirstTokenScheduled = false;

	constructor(options: PermitClientOptions) {
		this.#options = options;
	}

	/** The part of the entry's services for request tasks. */
	get services(): EntryServices['permits'] {
		return {
			request: async request => this.#request(request),
			withdraw: request => {
				this.#withdraw(request);
			},
			recordFirstToken: permit => {
				this.#recordFirstToken(permit);
			},
			release: (permit, release) => {
				this.#release(permit, release);
			},
			isValid: ({permitId}) => this.#validity.isValid(permitId, this.#options.timer.now()),
			getFencingNumber: ({permitId, fencingNumber}) => this.#validity.getFencingNumber(permitId) ?? fencingNumber,
			getLoad: serverId => this.#getLoad(serverId),
			isOwned: serverId => this.#isOwned(serverId),
		};
	}

	start(): void {
		this.#unsubscribe = this.#options.timer.subscribe(renewalIntervalMs, () => {
			this.#renew([...this.#heldPermitIds].map(([serverId, permitIds]) => ({serverId, permitIds: [...permitIds], firstTokens: []})));
		});
	}

	stop(): void {
		this.#unsubscribe?.();
	}

	async #request(request: PermitRequest): Promise<PermitReply> {
		const {timer, metrics} = this.#options;
		const startedAt = timer.now();
		const reply = this.#isOwned(request.serverId) ? await this.#options.admission.request(request) : await this.#requestFromPeer(request);
		metrics.recordDuration(durationNames.permitWait, timer.now() - startedAt);
		if (reply.load) {
			this.#loads.set(request.serverId, {load: reply.load, at: timer.now()});
		}

		if (reply.type === 'granted') {
			this.#addHeldPermit(reply.permit);
		}

		return reply;
	}

	async #requestFromPeer(request: PermitRequest): Promise<PermitReply> {
		const peer = this.#findOwner(request.serverId);
		const answer = await peer?.run(request.deadlineInMs + replyAllowanceMs, async (caller, signal) => caller.permits.request.mutate(request, {signal}));
		if (answer?.ok) {
			return answer.value;
		}

		// The owner may have granted a permit although its answer was lost; without a withdrawal it would use capacity until it expires.
		peer?.withdraw(request);
		return {type: 'refused', reason: refusalReasons.ownerUnreachable, retryAfterMs: unreachableRetryAfterMs};
	}

	#withdraw({serverId, requestId, attemptId}: PermitRequest): void {
		if (this.#isOwned(serverId)) {
			this.#options.admission.withdraw([{serverId, requestId, attemptId}]);
		} else {
			this.#findOwner(serverId)?.withdraw({serverId, requestId, attemptId});
		}
	}

	#recordFirstToken({serverId, permitId}: Permit): void {
		if (this.#isOwned(serverId)) {
			this.#options.admission.recordFirstToken(serverId, permitId);
			return;
		}

		this.#firstTokens.set(serverId, [...this.#firstTokens.get(serverId) ?? [], permitId]);
		if (!this.#isFirstTokenScheduled) {
			this.#isFirstTokenScheduled = true;
			this.#options.timer.schedule(firstTokenBatchMs, () => {
				this.#isFirstTokenScheduled = false;
				this.#renew([...this.#firstTokens].map(([server, firstTokens]) => ({serverId: server, permitIds: [], firstTokens})));
				this.#firstTokens.clear();
			});
		}
	}

	#release({serverId, permitId}: Permit, release: Parameters<EntryServices['permits']['release']>[1]): void {
		this.#validity.remove(permitId);
		const held = this.#heldPermitIds.get(serverId);
		held?.delete(permitId);
		if (held?.size === 0) {
			this.#heldPermitIds.delete(serverId);
		}

		if (this.#isOwned(serverId)) {
			this.#options.admission.release([{serverId, permitId, ...release}]);
		} else {
			this.#findOwner(serverId)?.release({serverId, permitId, ...release});
		}
	}

	#renew(renewals: readonly ServerRenewal[]): void {
		const {entryId, ownership, admission} = this.#options;
		const byOwner = new Map<string, OwnerRenewal[]>();
		for (const renewal of renewals) {
			const record = ownership.getOwnerRecord(renewal.serverId);
			if (record !== undefined) {
				byOwner.set(record.owner, [...byOwner.get(record.owner) ?? [], {renewal, fencingNumber: record.fencingNumber}]);
			}
		}

		for (const [owner, owned] of byOwner) {
			if (owner === entryId) {
				const unknownPermitIds = admission.renew({entryId, servers: owned.map(({renewal}) => renewal)});
				this.#recordRenewed(owned, this.#options.timer.now(), unknownPermitIds);
			} else {
				void this.#renewAtPeer(owner, owned);
			}
		}
	}

	async #renewAtPeer(owner: string, owned: readonly OwnerRenewal[]): Promise<void> {
		const {entryId, membership, metrics} = this.#options;
		for (let start = 0; start < owned.length; start += peerBatchLimit) {
			const sentAt = this.#options.timer.now();
			const batch = owned.slice(start, start + peerBatchLimit);
			const message = {entryId, servers: batch.map(({renewal}) => renewal)};
			const answer = await membership.findPeer(owner)?.run(renewalTimeoutMs, async (caller, signal) => caller.permits.renew.mutate(message, {signal}));
			if (answer?.ok) {
				this.#recordRenewed(batch, sentAt, answer.value.unknownPermitIds);
				metrics.count(counterNames.permitUnknown, answer.value.unknownPermitIds.length);
			}
		}
	}

	#recordRenewed(owned: readonly OwnerRenewal[], sentAt: number, unknownPermitIds: readonly string[]): void {
		for (const {renewal, fencingNumber} of owned) {
			this.#validity.renew(renewal.permitIds, permitLifetimeMs, sentAt, fencingNumber);
		}

		for (const permitId of unknownPermitIds) {
			this.#validity.remove(permitId);
		}
	}

	#addHeldPermit(permit: Permit): void {
		const {serverId, permitId} = permit;
		this.#validity.add(permit, this.#options.timer.now());
		const held = this.#heldPermitIds.get(serverId) ?? new Set();
		held.add(permitId);
		this.#heldPermitIds.set(serverId, held);
	}

	#getLoad(serverId: string): LoadSnapshot | undefined {
		const known = this.#loads.get(serverId);
		const isRecent = known !== undefined && this.#options.timer.now() - known.at <= loadRetentionMs;
		return this.#options.admission.getLoad(serverId) ?? (isRecent ? known.load : undefined);
	}

	#isOwned(serverId: string): boolean {
		return this.#options.ownership.getOwner(serverId) === this.#options.entryId;
	}

	#findOwner(serverId: string) {
		const owner = this.#options.ownership.getOwner(serverId);
		return owner === undefined ? undefined : this.#options.membership.findPeer(owner);
	}
}
