import {computeWaitingRetryDelayMs} from '@knapweedrack/core';
import type {AnswerReason} from './answer-reasons.js';

/** Range from which the retry delay of a caller is drawn when no better estimate exists, in ms. */
const retryAfterRangeMs = {least: 150, most: 600};
/** Addition to the retry delay of quarantined content, in ms. */
const quarantinedRetryAfterMs = 60_000;
/** Range by which callers return later than the first backend server, in ms, so that they do not return all at once. */
const backoffSpreadMs = 500;
/** Maximum retry delay as a share of the caller's remaining time; callers ignore a longer one. */
const retryAfterShare = 1 / 3;

/** Reasons of refusals after which the drain of the queue decides when a caller should return. */
const queueReasons = new Set<AnswerReason>(['overloaded', 'deadlineUnreachable']);

/** What decides when a refused caller should come back. */
export type RefusedRequest = {
	reason: AnswerReason;
	/** Queue that the request waited in; undefined on a service without one. `drainMs` is undefined while unknown. */
	queue: {urgency: number; drainMs: number | undefined} | undefined;
	/** True when the content is refused until its record expires. */
	isQuarantined: boolean;
	/** Time until the first backend server accepts requests again, in ms; undefined unless all of them are backing off. */
	backoffMs: number | undefined;
	/** Target of the route in ms; 0 without a route. */
	targetMs: number;
	/** Time until the caller stops waiting, in ms. */
	callerLeftMs: number;
	/** Random number in [0, 1). */
	random: number;
};

/**
 * Computes a random retry delay in ms, so that callers do not all return at once. When overloaded, adds the route's target, since
 * slots and engines become free in about that time; quarantined content is refused again whenever it returns. While all backend servers
 * back off, an earlier return would be refused again, so that the delay is not limited by the caller's time.
 */
export const computeRetryDelayMs = ({reason, queue, isQuarantined, backoffMs, targetMs, callerLeftMs, random}: RefusedRequest): number => {
	if (backoffMs !== undefined) {
		return backoffMs + (random * backoffSpreadMs);
	}

	if (queue !== undefined && queueReasons.has(reason)) {
		return computeWaitingRetryDelayMs({
			...queue, targetMs, callerLeftMs, random,
		});
	}

	const {least, most} = retryAfterRangeMs;
	const overloadMs = reason === 'overloaded' ? targetMs : 0;
	const quarantineMs = reason === 'quarantined' && isQuarantined ? quarantinedRetryAfterMs : 0;
	const dueMs = least + (random * (most - least)) + overloadMs + quarantineMs;
	return Math.min(dueMs, Math.max(least, callerLeftMs * retryAfterShare));
};
