import {
	attemptResults, decideRetry, refusalReasons,
	type AttemptRecord, type AttemptResult, type Permit, type PermitRequest, type RefusalReason,
} from '@knapweedrack/core';
import type {CoreEntry, SimulatedTarget} from './core-entry.js';
import {GroupRun} from './group-run.js';
import type {TraceRequest} from './load-trace.js';
import type {RequestObserver, SimulationWorld} from './simulation-world.js';
import type {WorkAnswer, WorkEvent} from './simulated-server.js';

type AttemptEnd = {result: AttemptResult; reason?: RefusalReason | undefined; retryAfterMs?: number | undefined};

const defaultRetryAfterMs = 1000;

const attemptEndsByEvent: Record<Exclude<WorkEvent, 'firstToken' | 'finished'>, AttemptEnd> = {
	expired: {result: attemptResults.cancelled, reason: refusalReasons.deadlineExceeded},
	cancelled: {result: attemptResults.cancelled, reason: refusalReasons.backendFailed},
	connectionLost: {result: attemptResults.crashed, reason: refusalReasons.backendFailed},
};

/** Runs one request at an entry with the decisions of the core, as a real entry does: selects a target, acquires permits, sends the work and decides on a retry. */
export class CoreRequestRun {
	readonly #triedServerIds = new Set<string>();
	readonly #attempts: AttemptRecord[] = [];
	readonly #deadlineAt: number;

	constructor(
		private readonly world: SimulationWorld,
		private readonly entry: CoreEntry,
		private readonly request: TraceRequest,
		private readonly observer: RequestObserver,
	) {
		this.#deadlineAt = request.at + request.deadlineMs;
	}

	start(): void {
		this.entry.recordOfferedTokens(this.request);
		this.#runAttempt(undefined);
	}

	get #now(): number {
		return this.world.clock.now;
	}

	#runAttempt(lastEnd: AttemptEnd | undefined): void {
		const attemptId = `${this.request.id}.${this.#attempts.length + 1}`;
		const target = this.entry.selectTarget(this.request, this.#triedServerIds, attemptId);
		if (target.type === 'none') {
			this.#endRequest(lastEnd?.reason ?? target.reason, lastEnd);
			return;
		}

		this.observer.recordAttempt();
		const serverIds = target.type === 'single' ? [target.candidate.serverId] : target.plan.members.map(({serverId}) => serverId);
		const attempt: AttemptRecord = {
			attemptId, serverId: serverIds.at(-1)!, sentBytes: false, refusedByServer: false, passedOn: false, completed: false,
		};
		this.#attempts.push(attempt);
		for (const id of serverIds) {
			this.#triedServerIds.add(id);
		}

		if (target.type === 'single') {
			this.#runSingle(attempt, target);
		} else {
			this.#runGroup(attempt, target);
		}
	}

	#buildPermitRequest(attempt: AttemptRecord, fields: Pick<PermitRequest, 'serverId' | 'prefillTokens' | 'promptTokens' | 'isDeferred' | 'decodeTokens' | 'kvTokens'>): PermitRequest {
		const {request} = this;
		const remainingMs = this.#deadlineAt - this.#now;
		return {
			...fields,
			requestId: request.id,
			attemptId: attempt.attemptId,
			entryId: this.entry.location.id,
			workspaceId: request.workspace.id,
			weight: request.workspace.weight,
			priority: 1,
			deadlineInMs: remainingMs,
			firstTokenInMs: Math.max(0, Math.min(remainingMs, request.at + request.firstTokenMs - this.#now)),
			isSuspect: false,
		};
	}

	#runSingle(attempt: AttemptRecord, {candidate}: Extract<SimulatedTarget, {type: 'single'}>): void {
		const {request, entry} = this;
		const permitRequest = this.#buildPermitRequest(attempt, {
			serverId: candidate.serverId,
			prefillTokens: candidate.prefillTokens,
			promptTokens: request.promptTokens,
			decodeTokens: entry.estimateDecodeTokens(request.maxTokens),
			kvTokens: request.promptTokens + request.maxTokens,
		});
		entry.requestPermit(permitRequest, reply => {
			if (reply.type === 'refused') {
				this.#endAttempt(attempt, {result: attemptResults.notStarted, reason: reply.reason, retryAfterMs: reply.retryAfterMs});
			} else {
				this.#sendWork(attempt, reply.permit, candidate.prefillTokens);
			}
		});
	}

	#sendWork(attempt: AttemptRecord, permit: Permit, prefillTokens: number): void {
		const {request, entry} = this;
		const sentAt = this.#now;
		attempt.sentBytes = true;
		const end = (attemptEnd: AttemptEnd) => {
			entry.releasePermit(permit, attemptEnd.result);
			this.#endAttempt(attempt, attemptEnd);
		};

		this.world.submit(entry.location, this.world.servers.find(({id}) => id === permit.serverId)!, {
			requestId: request.id,
			attemptId: attempt.attemptId,
			kind: 'generate',
			promptTokens: request.promptTokens,
			maxTokens: request.maxTokens,
			answerTokens: request.answerTokens,
			priority: permit.enginePriority,
			deadlineAt: this.#deadlineAt,
			blocks: request.blocks,
			importTokens: 0,
		}, {
			bootId: permit.bootId,
			answer: answer => {
				this.#handleAnswer(attempt, answer, end);
			},
			event: event => {
				if (event === 'firstToken') {
					entry.reportFirstToken(permit);
					entry.prefixes.recordStored(permit.serverId, permit.bootId, request.blocks, this.#now);
					if (prefillTokens === request.promptTokens) {
						entry.recordPrefillRate(prefillTokens, this.#now - sentAt);
					}
				}

				this.#handleEvent(attempt, event, end);
			},
		});
	}

	#handleAnswer(attempt: AttemptRecord, answer: WorkAnswer, end: (end: AttemptEnd) => void): void {
		if (answer === 'connectionLost') {
			end(attemptEndsByEvent.connectionLost);
		} else if (answer !== 'accepted') {
			attempt.refusedByServer = true;
			end({result: attemptResults.notStarted, reason: refusalReasons.backendRefused, retryAfterMs: defaultRetryAfterMs});
		}
	}

	#handleEvent(attempt: AttemptRecord, event: WorkEvent, end: (end: AttemptEnd) => void): void {
		if (event === 'firstToken') {
			attempt.passedOn = true;
			this.observer.recordFirstToken();
		} else if (event === 'finished') {
			attempt.completed = true;
			end({result: attemptResults.completed});
		} else {
			end(attemptEndsByEvent[event]);
		}
	}

	/** Acquires the permits of all members in ascending order of server id, so that two groups cannot block each other, then runs the group. */
	#runGroup(attempt: AttemptRecord, {plan}: Extract<SimulatedTarget, {type: 'group'}>): void {
		const {request, entry} = this;
		const permits = new Map<string, Permit>();
		const last = plan.members.at(-1)!;
		const release = (result: AttemptResult) => {
			for (const permit of permits.values()) {
				entry.releasePermit(permit, result);
			}
		};

		const pending = plan.members.toSorted((left, right) => left.serverId < right.serverId ? -1 : 1);
		const acquire = () => {
			const member = pending.shift();
			if (member === undefined) {
				this.#startGroup(attempt, {type: 'group', plan}, permits, release);
				return;
			}

			entry.requestPermit(this.#buildPermitRequest(attempt, {
				serverId: member.serverId,
				isDeferred: member.index > 0,
				prefillTokens: member.tokens,
				decodeTokens: member === last ? entry.estimateDecodeTokens(request.maxTokens) : 0,
				kvTokens: member.kvTokens,
			}), reply => {
				if (reply.type === 'refused') {
					release(attemptResults.notStarted);
					this.#endAttempt(attempt, {result: attemptResults.notStarted, reason: reply.reason, retryAfterMs: reply.retryAfterMs});
					return;
				}

				permits.set(member.serverId, reply.permit);
				acquire();
			});
		};

		acquire();
	}

	#startGroup(attempt: AttemptRecord, {plan}: Extract<SimulatedTarget, {type: 'group'}>, permits: ReadonlyMap<string, Permit>, release: (result: AttemptResult) => void): void {
		new GroupRun(this.world, this.entry.location, {
			request: this.request,
			attemptId: attempt.attemptId,
			members: plan.members,
			deadlineAt: this.#deadlineAt,
			getPermit: serverId => permits.get(serverId),
			recordSegment: serverId => {
				attempt.sentBytes = true;
				this.entry.reportFirstToken(permits.get(serverId)!);
			},
			recordFirstToken: () => {
				attempt.sentBytes = true;
				attempt.passedOn = true;
				this.entry.reportFirstToken(permits.get(plan.members.at(-1)!.serverId)!);
				this.observer.recordFirstToken();
			},
			recordEnd: end => {
				const ends: Record<typeof end, AttemptEnd> = {
					finished: {result: attemptResults.completed},
					unreserved: {result: attemptResults.notStarted, reason: refusalReasons.groupUnavailable, retryAfterMs: defaultRetryAfterMs},
					failed: {result: attemptResults.failed, reason: refusalReasons.backendFailed},
					expired: attemptEndsByEvent.expired,
				};
				attempt.completed = end === 'finished';
				attempt.sentBytes ||= end !== 'unreserved';
				release(ends[end].result);
				this.#endAttempt(attempt, ends[end]);
			},
		}).start();
	}

	#endAttempt(attempt: AttemptRecord, end: AttemptEnd): void {
		const {entry, request} = this;
		Object.assign(attempt, {result: end.result, reason: end.reason});
		if (attempt.completed) {
			entry.retryBudget.recordSuccess(this.#now);
			entry.recordAnswerLength(request.answerTokens);
			this.observer.recordEnd({type: 'completed'});
			return;
		}

		const consumesBudget = attempt.sentBytes || end.reason === refusalReasons.backendFailed;
		const decision = decideRetry({
			attempts: this.#attempts,
			isIdempotent: true,
			now: this.#now,
			deadlineAt: this.#deadlineAt,
			expectedAttemptMs: request.promptTokens * 1000 / entry.prefillTokensPerSecond / 2,
			hasBudget: !consumesBudget || entry.retryBudget.isAvailable(this.#now),
			candidatesLeft: entry.selectTarget(request, this.#triedServerIds, attempt.attemptId).type === 'none' ? 0 : 1,
		});
		if (decision.type === 'retry') {
			if (consumesBudget) {
				entry.retryBudget.tryConsume(this.#now);
			}

			this.#runAttempt(end);
			return;
		}

		this.#endRequest(decision.type === 'give_up' ? decision.reason : refusalReasons.internal, end);
	}

	#endRequest(reason: RefusalReason, end: AttemptEnd | undefined): void {
		const isStarted = this.#attempts.some(({sentBytes, refusedByServer}) => sentBytes && !refusedByServer);
		this.observer.recordEnd(isStarted
			? {type: 'failed', reason}
			: {type: 'refused', reason, retryAfterMs: end?.retryAfterMs ?? defaultRetryAfterMs});
	}
}
