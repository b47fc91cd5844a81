import {
	refusalReasons, selectRendezvous, SliceHolder, WorkspaceBudget,
	type LimitSlice, type LimitDecision, type Plan, type RendezvousCandidate, type TextHash32, type Workspace,
} from '@knapweedrack/core';
import {peerBatchLimit, type Slice, type SliceRequest} from '@knapweedrack/protocol';
import type {
	EntryServices, LimitAnswer, Metrics, RequestCost, TimerService,
} from '../contracts.js';
import type {MembershipTask} from '../membership/membership-task.js';
import {listOwnerCandidates} from '../membership/resource-owner.js';
import {counterNames} from '../metrics/metric-names.js';
import {waitFor} from '../timer/timer-service.js';

const sliceLifetimeMs = 2000;
/** A slice is renewed well before its end, so that one lost answer does not stop a workspace. */
const renewalIntervalMs = 500;
const sliceRequestTimeoutMs = 400;
/** Minimum time between two renewals caused by refused requests, so that an overload does not turn into peer traffic. */
const refusalRenewalIntervalMs = 100;
/**
 * Longest wait for a larger slice before a refusal; in this time the other entries renew their slices a few times and release
 * what they do not use.
 */
const largerSliceWaitMs = 3 * renewalIntervalMs;
/** Time in ms for which the owner is unreachable before the static floor applies; slices granted before that have expired by then. */
const floorDelayMs = sliceLifetimeMs;
/** Longest wait for a first slice or the static floor: one call without an answer shows that the owner is unreachable. */
const firstSliceWaitMs = floorDelayMs + sliceRequestTimeoutMs + refusalRenewalIntervalMs;
/** Time without a request after which the state of a workspace is removed; 27,000 workspaces with their histories do not fit into memory. */
const idleRetentionMs = 30_000;

/** Dependencies of the limits task. */
export type LimitsOptions = {
	entryId: string;
	membership: MembershipTask;
	timer: TimerService;
	metrics: Metrics;
	hash: TextHash32;
	/** Returns the plan of a workspace in the configuration in force. */
	findPlan: (workspaceId: string) => Plan | undefined;
};

type HeldSlice = {holder: SliceHolder; usedAt: number; renewedAt: number; pending: Promise<void> | undefined};
type OwnedBudget = {budget: WorkspaceBudget; usedAt: number};

const unavailableSlice: LimitSlice = {
	requestsPerSecond: 0, tokensPerSecond: 0, concurrency: 0, lifetimeMs: 0, isContended: false,
};

const isRateLimited = (decision: LimitDecision): boolean => decision.type === 'refused' && decision.reason !== refusalReasons.concurrencyExceeded;

/** Enforces workspace limits: holds the slices that this entry uses and the budgets of the workspaces that it owns. */
export class LimitsTask {
	readonly #options: LimitsOptions;
	readonly #slices = new Map<string, HeldSlice>();
	readonly #budgets = new Map<string, OwnedBudget>();
	#unsubscribe: (() => void) | undefined;
	#liveEntryKey = '';
	#unchangedSince = Number.NEGATIVE_INFINITY;
	#liveEntryIds: readonly string[] = [];

	constructor(options: LimitsOptions) {
		this.#options = options;
	}

	/** The part of the entry's services for request tasks. */
	get services(): EntryServices['limits'] {
		return {tryAdmit: async (workspace, plan, cost) => this.#tryAdmit(workspace, plan, cost)};
	}

	start(): void {
		this.#unsubscribe = this.#options.timer.subscribe(renewalIntervalMs, now => {
			this.#removeIdle(now);
			this.#updateEntries(now);
			void this.#renewSlices([...this.#slices.keys()]);
		});
	}

	stop(): void {
		this.#unsubscribe?.();
	}

	/** Grants slices of the workspaces that this entry owns; for a workspace of another owner, the slice is empty. */
	grantSlices(requests: readonly SliceRequest[]): Slice[] {
		const now = this.#options.timer.now();
		this.#updateEntries(now);
		const candidates = this.#listCandidates();
		return requests.map(({entryId, workspaceId, ...demand}) => {
			const budget = this.#findOwner(workspaceId, candidates) === this.#options.entryId ? this.#openBudget(workspaceId, now) : undefined;
			return {workspaceId, ...budget?.handle({type: 'demand', entryId, demand}, now) ?? unavailableSlice};
		});
	}

	async #tryAdmit(workspace: Workspace, plan: Plan, cost: RequestCost): Promise<LimitAnswer> {
		const {timer, metrics} = this.#options;
		const held = this.#openSlice(workspace.id, plan, timer.now());
		const hasWaited = await this.#waitForLimits(held, workspace.id);
		const decision = await this.#tryConsume(held, workspace.id, {cost, hasWaited});
		if (decision.type === 'refused') {
			return decision;
		}

		if (!held.holder.hasSlice(timer.now())) {
			metrics.count(counterNames.sliceFloor);
		}

		return {
			type: 'admitted',
			release(usedTokens) {
				held.holder.release(cost, usedTokens, timer.now());
			},
		};
	}

	/** Waits until a slice or the static floor applies, because nothing can be admitted before and the plan may have room; returns whether it had to wait. */
	async #waitForLimits(held: HeldSlice, workspaceId: string): Promise<boolean> {
		const {timer} = this.#options;
		const startedAt = timer.now();
		if (held.holder.hasLimits(startedAt)) {
			return false;
		}

		while (!held.holder.hasLimits(timer.now()) && timer.now() < startedAt + firstSliceWaitMs) {
			await this.#renewOrWait(held, workspaceId);
		}

		return true;
	}

	/**
	 * Requests a larger slice before a refusal, because a slice adapts to the demand only when it is renewed. A request that has waited
	 * for the limits also waits for their rate: the buckets are empty when the limits begin to apply.
	 */
	async #tryConsume(held: HeldSlice, workspaceId: string, {cost, hasWaited}: {cost: RequestCost; hasWaited: boolean}): Promise<LimitDecision> {
		const {timer} = this.#options;
		const endsAt = held.holder.hasLimits(timer.now()) ? timer.now() + largerSliceWaitMs : timer.now();
		for (let isRepeated = false; ; isRepeated = true) {
			const decision = held.holder.tryConsume(cost, timer.now(), isRepeated);
			const canChange = this.#isRenewable(held) || held.holder.canGrow(timer.now()) || (hasWaited && isRateLimited(decision));
			if (decision.type === 'admitted' || timer.now() >= endsAt || !canChange) {
				return decision;
			}

			await this.#renewOrWait(held, workspaceId);
		}
	}

	#isRenewable({renewedAt}: HeldSlice): boolean {
		return this.#options.timer.now() - renewedAt >= refusalRenewalIntervalMs;
	}

	/** Renews the slice, or waits when a renewal was requested a moment ago. */
	async #renewOrWait(held: HeldSlice, workspaceId: string): Promise<void> {
		await (this.#isRenewable(held) ? this.#renewSlice(held, workspaceId) : waitFor(this.#options.timer, refusalRenewalIntervalMs));
	}

	async #renewSlice(held: HeldSlice, workspaceId: string): Promise<void> {
		held.renewedAt = this.#options.timer.now();
		held.pending ??= this.#renewSlices([workspaceId]);
		await held.pending;
		held.pending = undefined;
	}

	#openSlice(workspaceId: string, plan: Plan, now: number): HeldSlice {
		const known = this.#slices.get(workspaceId);
		if (known) {
			known.usedAt = now;
			return known;
		}

		this.#updateEntries(now);
		const held: HeldSlice = {
			holder: new SliceHolder(plan, {entries: this.#liveEntryIds.length, floorDelayMs}, now), usedAt: now, renewedAt: Number.NEGATIVE_INFINITY, pending: undefined,
		};
		this.#slices.set(workspaceId, held);
		return held;
	}

	#openBudget(workspaceId: string, now: number): WorkspaceBudget | undefined {
		const known = this.#budgets.get(workspaceId);
		if (known) {
			known.usedAt = now;
			return known.budget;
		}

		const plan = this.#options.findPlan(workspaceId);
		if (!plan) {
			return undefined;
		}

		// Once the set of entries has not changed for a slice lifetime, all slices of a former owner have expired.
		const isSettled = now - this.#unchangedSince >= sliceLifetimeMs;
		const budget = new WorkspaceBudget(plan, {entries: this.#liveEntryIds.length, sliceLifetimeMs, isSettled}, now);
		this.#budgets.set(workspaceId, {budget, usedAt: now});
		return budget;
	}

	async #renewSlices(workspaceIds: readonly string[]): Promise<void> {
		const byOwner = new Map<string, string[]>();
		const candidates = this.#listCandidates();
		for (const workspaceId of workspaceIds) {
			const owner = this.#findOwner(workspaceId, candidates);
			if (owner !== undefined) {
				byOwner.set(owner, [...byOwner.get(owner) ?? [], workspaceId]);
			}
		}

		await Promise.all([...byOwner].map(async ([owner, owned]) => this.#renewSlicesAt(owner, owned)));
	}

	async #renewSlicesAt(owner: string, workspaceIds: readonly string[]): Promise<void> {
		const {entryId, membership, timer} = this.#options;
		for (let start = 0; start < workspaceIds.length; start += peerBatchLimit) {
			// Slices may have been removed while the batch before was answered.
			const batch = workspaceIds.slice(start, start + peerBatchLimit).filter(workspaceId => this.#slices.has(workspaceId));
			if (batch.length === 0) {
				continue;
			}

			const requestedAt = timer.now();
			const requests = batch.map(workspaceId => ({entryId, workspaceId, ...this.#slices.get(workspaceId)!.holder.resetDemand(requestedAt)}));
			if (owner === entryId) {
				this.#acceptSlices(this.grantSlices(requests), requestedAt);
				continue;
			}

			const answer = await membership.findPeer(owner)?.run(sliceRequestTimeoutMs, async (caller, signal) => caller.limits.slice.mutate(requests, {signal}));
			if (answer?.ok) {
				this.#acceptSlices(answer.value, requestedAt);
			} else {
				this.#acceptUnreachable(batch, requestedAt + sliceRequestTimeoutMs);
			}
		}
	}

	#acceptSlices(slices: readonly Slice[], requestedAt: number): void {
		const now = this.#options.timer.now();
		for (const {workspaceId, ...slice} of slices) {
			this.#slices.get(workspaceId)?.holder.handle({type: 'slice', slice, requestedAt}, now);
		}
	}

	/** A busy process handles the timeout of a call late, which does not postpone the static floor. */
	#acceptUnreachable(workspaceIds: readonly string[], timeoutAt: number): void {
		const now = this.#options.timer.now();
		for (const workspaceId of workspaceIds) {
			this.#slices.get(workspaceId)?.holder.handle({type: 'unreachable', since: Math.min(now, timeoutAt)}, now);
		}
	}

	#updateEntries(now: number): void {
		const {membership, entryId, findPlan} = this.#options;
		this.#liveEntryIds = membership.listLiveSessions().filter(({state}) => state === 'serving').map(session => session.entryId).toSorted();
		const key = this.#liveEntryIds.join(' ');
		if (key !== this.#liveEntryKey) {
			this.#liveEntryKey = key;
			this.#unchangedSince = now;
		}

		const unreachable = this.#liveEntryIds.filter(other => other !== entryId && !membership.hasFreshHeartbeat(other));
		for (const [workspaceId, {budget}] of this.#budgets) {
			const plan = findPlan(workspaceId);
			if (plan) {
				budget.handle({type: 'plan', plan}, now);
			}

			budget.handle({type: 'entries', entries: this.#liveEntryIds.length, unreachable}, now);
		}

		for (const [workspaceId, {holder}] of this.#slices) {
			const plan = findPlan(workspaceId);
			if (plan) {
				holder.handle({type: 'plan', plan}, now);
			}

			holder.handle({type: 'entries', entries: this.#liveEntryIds.length}, now);
		}
	}

	/** Lists candidates once for a batch of workspaces: at 350 entries, hashing takes most of the time of a selection. */
	#listCandidates(): RendezvousCandidate[] {
		return listOwnerCandidates(this.#options.membership.listLiveSessions(), this.#options.hash);
	}

	#findOwner(workspaceId: string, candidates: readonly RendezvousCandidate[]): string | undefined {
		return selectRendezvous(this.#options.hash(`workspace ${workspaceId}`), candidates)?.id;
	}

	#removeIdle(now: number): void {
		for (const [workspaceId, {holder, usedAt}] of this.#slices) {
			if (now - usedAt > idleRetentionMs && holder.inProgress === 0) {
				this.#slices.delete(workspaceId);
			}
		}

		for (const [workspaceId, {usedAt}] of this.#budgets) {
			if (now - usedAt > idleRetentionMs) {
				this.#budgets.delete(workspaceId);
			}
		}
	}
}
