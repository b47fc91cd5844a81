import {randomUUID} from 'node:crypto';
import {
	attemptResults, decideRetry, refusalReasons, retryReasons,
	type AttemptRecord, type RefusalReason, type RetryReason,
} from '@knapweedrack/core';
import {waitFor} from '../timer/timer-service.js';
import type {CallerContext} from './caller-context.js';
import {selectTarget, type NoTarget, type Target} from './candidates.js';
import {runGroupAttempt} from './group-attempt.js';
import {buildPermitRequest, HeldPermit, requestPermit} from './permit-acquisition.js';
import type {RequestTask} from './request-task.js';
import type {AttemptEnd, RequestWork} from './request-work.js';

/** Default `retryAfterMs` of refusals whose cause gives no estimate. */
export const defaultRetryAfterMs = 1000;

/** Delay in ms before permit requests are retried that found no owner; ownership and peer connections take seconds to settle. */
const ownerRetryDelayMs = 200;
/** Share of the time until the deadline during which an owner is awaited; the rest is left for the execution. */
const ownerWaitShare = 0.5;

/** Refusals by which a permit request found no owner that issues permits, with the reason to count when it is retried. */
const ownerRetryReasons: Partial<Record<RefusalReason, RetryReason>> = {
	[refusalReasons.ownerUnreachable]: retryReasons.ownerUnreachable,
	// While the ownership moves, the former owner refuses its whole queue and the next one does not issue permits yet.
	[refusalReasons.ownershipDisputed]: retryReasons.ownershipChanged,
};

const getOwnerRetryReason = (reason: RefusalReason | undefined): RetryReason | undefined => reason && ownerRetryReasons[reason];

/** Creates the record of an attempt that has not sent anything. */
export const createAttempt = (attemptId: string, serverId: string): AttemptRecord => ({
	attemptId, serverId, sentBytes: false, refusedByServer: false, passedOn: false, completed: false,
});

/** Runs the attempts of one request until the request has a final outcome. */
export class AttemptLoop {
	readonly #triedServerIds = new Set<string>();
	/** Servers that may have run an attempt. They are not tried again, because its cancellation may still be repeated there. */
	readonly #usedServerIds = new Set<string>();
	#lastEnd: AttemptEnd | undefined;
	/** True once the current attempt holds its permit, or a group attempt all its reservations. */
	#isGranted = false;
	readonly #startedAt: number;

	constructor(private readonly context: CallerContext, private readonly task: RequestTask, private readonly work: RequestWork) {
		this.#startedAt = context.services.timer.now();
	}

	async run(): Promise<void> {
		const {task} = this;
		while (!task.isFinal) {
			const isSuspect = await this.#checkFingerprint();
			if (task.isFinal) {
				return;
			}

			const attemptId = randomUUID();
			const target = selectTarget(this.context, task, this.work, {excluded: this.#triedServerIds, attemptId});
			if (target.type === 'none') {
				this.#refuseWithoutTarget(target);
				return;
			}

			task.apply({type: 'candidate'});
			await this.#runAttempt(target, attemptId, isSuspect);
		}
	}

	async #checkFingerprint(): Promise<boolean> {
		const {fingerprint} = this.work;
		if (fingerprint === undefined) {
			return false;
		}

		const {standing, retryAfterMs} = await this.context.services.quarantine.check(fingerprint);
		if (standing === 'quarantined') {
			this.task.apply({type: 'refused', reason: refusalReasons.quarantined, retryAfterMs});
		}

		return standing === 'suspect';
	}

	/** Reports a completed attempt with suspect content, so that the quarantine clears the content. */
	async #reportCompletion({attemptId, serverId}: AttemptRecord): Promise<void> {
		await this.context.services.quarantine.report({
			fingerprint: this.work.fingerprint!, attemptId, serverId, result: 'completed', runningFingerprints: [],
		});
	}

	#refuseWithoutTarget(target: NoTarget): void {
		this.task.apply({
			type: 'giveUp',
			reason: this.#lastEnd?.reason ?? target.reason,
			retryAfterMs: this.#lastEnd?.retryAfterMs ?? defaultRetryAfterMs,
		});
	}

	async #runAttempt(target: Target, attemptId: string, isSuspect: boolean): Promise<void> {
		const {task} = this;
		const serverId = target.type === 'single' ? target.server.id : target.plan.members.at(-1)!.serverId;
		const attempt = createAttempt(attemptId, serverId);
		this.#isGranted = false;
		task.recordAttempt(attempt);
		const end = target.type === 'single'
			? await this.#runSingle(target, attempt, isSuspect)
			: await runGroupAttempt(this.context, task, this.work, {
				target, attempt, isSuspect, recordGranted: () => {
					this.#isGranted = true;
					task.apply({type: 'granted', attempt});
				},
			});
		const tried = target.type === 'single' ? [serverId] : target.plan.members.map(member => member.serverId);
		// An engine that is too small for the whole prompt can still be a member of a group.
		if (end.reason !== refusalReasons.promptTooLong) {
			for (const id of tried) {
				this.#triedServerIds.add(id);
				if (attempt.sentBytes && !attempt.refusedByServer) {
					this.#usedServerIds.add(id);
				}
			}
		}

		Object.assign(attempt, {result: end.result, reason: end.reason});
		task.recordStep('attempt_ended', {attemptId, serverId, ...end});
		this.#lastEnd = end;
		if (attempt.completed && isSuspect) {
			await this.#reportCompletion(attempt);
		}

		const ownerRetryReason = getOwnerRetryReason(end.reason);
		if (ownerRetryReason !== undefined && this.#canRetryOwners(attempt, end)) {
			await this.#retryOwners(attempt, ownerRetryReason);
			return;
		}

		this.#decideNext(attempt, end);
	}

	/** True when only a missing owner prevents a permit and it may be there in time. The backend servers may have capacity, so the request is not refused yet. */
	#canRetryOwners(attempt: AttemptRecord, end: AttemptEnd): boolean {
		const {context, task, work} = this;
		const now = context.services.timer.now();
		const waitUntil = task.deadlineAt - ((task.deadlineAt - this.#startedAt) * (1 - ownerWaitShare));
		// The retry time of a dispute is an estimate, for example the end of a rebuild; that of an unreachable owner is not.
		const isTooLate = end.reason === refusalReasons.ownershipDisputed && now + (end.retryAfterMs ?? 0) >= task.deadlineAt;
		return !this.#isGranted && !task.isFinal && now < waitUntil && !isTooLate
			&& selectTarget(context, task, work, {excluded: this.#triedServerIds, attemptId: attempt.attemptId}).type === 'none';
	}

	async #retryOwners(attempt: AttemptRecord, reason: RetryReason): Promise<void> {
		const {context, task} = this;
		context.services.metrics.countRetry(reason);
		task.recordStep('retry', {reason, afterMs: ownerRetryDelayMs});
		task.apply({type: 'permitRefused', attempt});
		await waitFor(context.services.timer, ownerRetryDelayMs);
		if (!task.isFinal) {
			this.#triedServerIds.clear();
			for (const id of this.#usedServerIds) {
				this.#triedServerIds.add(id);
			}

			task.apply({type: 'retry'});
		}
	}

	async #runSingle(target: Extract<Target, {type: 'single'}>, attempt: AttemptRecord, isSuspect: boolean): Promise<AttemptEnd> {
		const {context, task, work} = this;
		const {cost} = work;
		const request = buildPermitRequest(context.services.entryId, task, {
			attemptId: attempt.attemptId,
			serverId: target.server.id,
			prefillTokens: target.candidate.prefillTokens,
			promptTokens: cost.promptTokens,
			decodeTokens: cost.decodeTokens,
			kvTokens: cost.promptTokens + cost.maxTokens,
			isSuspect,
		});
		const reply = await requestPermit(context.services, request, task.signal);
		if (reply === 'aborted') {
			return {result: attemptResults.cancelled};
		}

		if (reply.type === 'refused') {
			return {result: attemptResults.notStarted, reason: reply.reason, retryAfterMs: reply.retryAfterMs};
		}

		const held = new HeldPermit(context.services, reply.permit);
		let end: AttemptEnd = {result: attemptResults.failed, reason: refusalReasons.internal};
		try {
			this.#isGranted = true;
			task.apply({type: 'granted', attempt});
			end = await this.#runPermitted(target, attempt, held);
		} finally {
			held.release({result: end.result, firstTokenMs: end.firstTokenMs});
		}

		return end;
	}

	async #runPermitted(target: Extract<Target, {type: 'single'}>, attempt: AttemptRecord, {permit}: HeldPermit): Promise<AttemptEnd> {
		const refused = await this.work.confirmDispatch?.();
		if (refused !== undefined) {
			this.task.apply({type: 'refused', ...refused});
		}

		if (this.task.isFinal) {
			return {result: attemptResults.notStarted, reason: refused?.reason};
		}

		// If this process was paused, the permit may have expired and the owner may have granted its capacity to another request.
		if (!this.context.services.permits.isValid(permit)) {
			return {result: attemptResults.notStarted, reason: refusalReasons.ownerUnreachable};
		}

		return this.work.run({server: target.server, permit, attempt});
	}

	#decideNext(attempt: AttemptRecord, end: AttemptEnd): void {
		const {context, task, work} = this;
		if (attempt.completed) {
			context.retryBudget.recordSuccess(context.services.timer.now());
			task.apply({type: 'attemptCompleted', attempt});
		}

		if (task.isFinal) {
			return;
		}

		task.apply({type: this.#isGranted ? 'attemptFailed' : 'permitRefused', attempt});
		if (task.isFinal) {
			return;
		}

		const now = context.services.timer.now();
		const consumesBudget = attempt.sentBytes || end.reason === refusalReasons.backendFailed;
		const decision = decideRetry({
			// A permit request that finds no owner does not reach a backend server, so earlier ones are not counted as attempts.
			// The current attempt stays in the list, because the decision depends on the last one.
			attempts: task.attempts.filter(record => record === attempt || getOwnerRetryReason(record.reason) === undefined),
			isIdempotent: work.isIdempotent,
			now,
			deadlineAt: task.deadlineAt,
			expectedAttemptMs: work.cost.promptTokens * 1000 / context.prefillTokensPerSecond / 2,
			// A refused permit caused no work on a backend server, so the next permit request needs no retry budget.
			hasBudget: !consumesBudget || context.retryBudget.isAvailable(now),
			candidatesLeft: selectTarget(context, task, work, {excluded: this.#triedServerIds, attemptId: attempt.attemptId}).type === 'none' ? 0 : 1,
		});
		if (decision.type === 'retry') {
			if (consumesBudget) {
				context.retryBudget.tryConsume(now);
			}

			context.services.metrics.countRetry(decision.reason);
			task.recordStep('retry', {reason: decision.reason});
			task.apply({type: 'retry'});
			return;
		}

		const reason: RefusalReason = decision.type === 'give_up' ? decision.reason : refusalReasons.internal;
		task.apply({type: 'giveUp', reason, retryAfterMs: end.retryAfterMs ?? defaultRetryAfterMs});
	}
}
