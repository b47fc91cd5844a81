import {
	refusalReasons, retryReasons, type AttemptRecord, type RefusalReason, type RetryReason,
} from '../types/index.js';

/** Input of `decideRetry`. */
export type RetryInput = {
	attempts: readonly AttemptRecord[];
	/** True when running the request twice has the same effect as running it once. */
	isIdempotent: boolean;
	/** True once the caller disconnected. */
	isCallerGone?: boolean | undefined;
	now: number;
	deadlineAt: number;
	/** Shortest time in ms that another attempt needs. */
	expectedAttemptMs: number;
	/** Result of `RetryBudget.isAvailable`; the budget is consumed by the code that starts the retry. */
	hasBudget: boolean;
	/** Number of backend servers that were not tried yet. */
	candidatesLeft: number;
	attemptLimit?: number | undefined;
};

/** Next step of a request after an attempt. */
export type RetryDecision =
	| {type: 'finish'}
	| {type: 'retry'; reason: RetryReason}
	| {type: 'give_up'; reason: RefusalReason};

const defaultAttemptLimit = 3;

const permitReasons: Partial<Record<RefusalReason, RetryReason>> = {
	[refusalReasons.ownerUnreachable]: retryReasons.ownerUnreachable,
	[refusalReasons.ownershipDisputed]: retryReasons.ownershipChanged,
};

const sentReasons: Partial<Record<RefusalReason, RetryReason>> = {
	[refusalReasons.streamCorrupt]: retryReasons.streamCorrupt,
};

/** True when the backend server may have run the attempt. */
const isStarted = (attempt: AttemptRecord): boolean => attempt.sentBytes && !attempt.refusedByServer;

const resolveRetryReason = (attempt: AttemptRecord): RetryReason => {
	if (attempt.refusedByServer) {
		return retryReasons.backendRefused;
	}

	if (attempt.sentBytes) {
		return (attempt.reason && sentReasons[attempt.reason]) ?? retryReasons.backendFailed;
	}

	if (attempt.reason === undefined || attempt.reason === refusalReasons.backendFailed) {
		return retryReasons.connectFailed;
	}

	return permitReasons[attempt.reason] ?? retryReasons.permitRefused;
};

const resolveFailure = (attempt: AttemptRecord): RefusalReason => attempt.reason
	?? (attempt.refusedByServer ? refusalReasons.backendRefused : refusalReasons.backendFailed);

/** Failures that an attempt on another backend server cannot avoid. */
const finalReasons: ReadonlySet<RefusalReason> = new Set([
	refusalReasons.badRequest,
	refusalReasons.callerGone,
	refusalReasons.quarantined,
	refusalReasons.deadlineExceeded,
]);

/**
 * Decides the next step after the last attempt.
 * A retry requires that no part of an answer was passed on to the caller, that the request is idempotent or no attempt can
 * have started, and that there is time before the deadline, an untried backend server and retry budget.
 */
export const decideRetry = (input: RetryInput): RetryDecision => {
	const last = input.attempts.at(-1);
	if (last === undefined || last.completed) {
		return {type: 'finish'};
	}

	if (input.isCallerGone) {
		return {type: 'give_up', reason: refusalReasons.callerGone};
	}

	const failure = resolveFailure(last);
	if (input.attempts.some(attempt => attempt.passedOn) || finalReasons.has(failure)) {
		return {type: 'give_up', reason: failure};
	}

	if (!input.isIdempotent && input.attempts.some(attempt => isStarted(attempt))) {
		return {type: 'give_up', reason: failure};
	}

	if (input.now + input.expectedAttemptMs >= input.deadlineAt) {
		return {type: 'give_up', reason: isStarted(last) ? refusalReasons.deadlineExceeded : refusalReasons.deadlineUnreachable};
	}

	if (input.attempts.length >= (input.attemptLimit ?? defaultAttemptLimit) || input.candidatesLeft <= 0) {
		return {type: 'give_up', reason: failure};
	}

	if (!input.hasBudget) {
		return {type: 'give_up', reason: refusalReasons.retryBudgetExhausted};
	}

	return {type: 'retry', reason: resolveRetryReason(last)};
};
