import {
	type Permit, type PermitReply, type PermitRequest, attemptResults, refusalReasons,
} from '@knapweedrack/core';
import type {EntryServices} from '../contracts.js';
import type {RequestTask} from './request-task.js';
import {waitForAbort} from './wait-for-abort.js';

/** Fields of a permit request that depend on the attempt. */
export type AttemptDemand = Pick<PermitRequest, 'attemptId' | 'serverId' | 'prefillTokens' | 'promptTokens' | 'isDeferred' | 'decodeTokens' | 'kvTokens' | 'isSuspect'>;

/** Builds the permit request of one attempt. */
export const buildPermitRequest = (entryId: string, task: RequestTask, fields: AttemptDemand): PermitRequest => ({
	...fields,
	requestId: task.requestId,
	entryId,
	workspaceId: task.facts.workspace.id,
	weight: task.facts.plan.share,
	priority: task.facts.priority,
	deadlineInMs: task.remainingMs,
	firstTokenInMs: Math.max(0, Math.min(task.remainingMs, task.firstTokenRemainingMs)),
});

/** Requests a permit; resolves with `aborted` at once when the request ends, and releases a permit that is granted after that. */
export const requestPermit = async (services: EntryServices, request: PermitRequest, signal: AbortSignal): Promise<PermitReply | 'aborted'> => {
	const reply = requestOrRefuse(services, request);
	const aborted = waitForAbort(signal);
	const first = await Promise.race([reply, aborted.promise]);
	aborted.stop();
	if (first !== 'aborted') {
		return first;
	}

	services.permits.withdraw(request);
	void releaseLatePermit(services, reply);
	return 'aborted';
};

const requestOrRefuse = async (services: EntryServices, request: PermitRequest): Promise<PermitReply> => {
	try {
		return await services.permits.request(request);
	} catch {
		return {type: 'refused', reason: refusalReasons.ownerUnreachable, retryAfterMs: 1000};
	}
};

const releaseLatePermit = async (services: EntryServices, reply: Promise<PermitReply>): Promise<void> => {
	const late = await reply;
	if (late.type === 'granted') {
		services.permits.release(late.permit, {result: attemptResults.notStarted});
	}
};

/** Holds one permit and releases it once, however often `release` is called. */
export class HeldPermit {
	#isReleased = false;

	constructor(private readonly services: EntryServices, readonly permit: Permit) {}

	release(result: Parameters<EntryServices['permits']['release']>[1]): void {
		if (!this.#isReleased) {
			this.#isReleased = true;
			this.services.permits.release(this.permit, result);
		}
	}
}
