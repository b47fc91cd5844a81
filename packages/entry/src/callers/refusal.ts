import {
	outcomeKinds, refusalReasons, type OutcomeKind, type RefusalReason,
} from '@knapweedrack/core';

/** Final answer to a request that was refused or failed. */
export type Refusal = {
	outcome: Exclude<OutcomeKind, 'completed'>;
	reason: RefusalReason;
	message: string;
	/** Time in ms after which a retry is worthwhile; undefined when a retry of the same request cannot succeed. */
	retryAfterMs?: number | undefined;
	/** Name of the invalid parameter or header. */
	param?: string | undefined;
};

/** Creates the refusal of a request of which nothing was sent to a backend server. */
export const createRefusal = (reason: RefusalReason, message: string, details: Pick<Refusal, 'retryAfterMs' | 'param'> = {}): Refusal => ({
	outcome: outcomeKinds.notRun, reason, message, ...details,
});

const statuses: Partial<Record<RefusalReason, number>> = {
	[refusalReasons.badRequest]: 400,
	[refusalReasons.bodyTooLarge]: 413,
	[refusalReasons.requestTimeout]: 408,
	[refusalReasons.unauthenticated]: 401,
	[refusalReasons.wrongWorkspace]: 403,
	[refusalReasons.unknownModel]: 404,
	[refusalReasons.unknownService]: 404,
	[refusalReasons.notFound]: 404,
	[refusalReasons.modelNotInPlan]: 403,
	[refusalReasons.promptTooLong]: 400,
	[refusalReasons.requestRateExceeded]: 429,
	[refusalReasons.tokenRateExceeded]: 429,
	[refusalReasons.concurrencyExceeded]: 429,
	[refusalReasons.deadlineExceeded]: 504,
	[refusalReasons.backendFailed]: 502,
	[refusalReasons.streamIncomplete]: 502,
	[refusalReasons.streamCorrupt]: 502,
	[refusalReasons.quarantined]: 422,
	[refusalReasons.claimInProgress]: 409,
	[refusalReasons.claimOutcomeUnknown]: 409,
	[refusalReasons.idempotencyKeyMissing]: 400,
	[refusalReasons.idempotencyKeyReused]: 422,
	[refusalReasons.callerGone]: 499,
	[refusalReasons.internal]: 500,
};

/** HTTP status of a refusal; 503 when the system, not the request, is the cause. */
export const getRefusalStatus = (reason: RefusalReason) => statuses[reason] ?? 503;

const errorTypes = new Map([
	[400, 'invalid_request_error'],
	[401, 'authentication_error'],
	[403, 'permission_error'],
	[404, 'not_found_error'],
	[408, 'invalid_request_error'],
	[409, 'conflict_error'],
	[413, 'invalid_request_error'],
	[422, 'invalid_request_error'],
	[429, 'rate_limit_error'],
]);

/** Builds the error body of the completions protocol with the refusal fields. */
export const buildErrorBody = (refusal: Refusal, requestId: string, alternatives: readonly string[]) => ({
	error: {
		message: refusal.message,
		type: errorTypes.get(getRefusalStatus(refusal.reason)) ?? 'server_error',
		code: refusal.reason,
		param: refusal.param ?? null,
		outcome: refusal.outcome,
		reason: refusal.reason,
		retryAfterMs: refusal.retryAfterMs,
		alternatives,
		requestId,
	},
	outcome: refusal.outcome,
	reason: refusal.reason,
	retryAfterMs: refusal.retryAfterMs,
	alternatives,
	requestId,
});

/**
 * Builds the headers that state whether and when a client should retry the request.
 * The `openai` client retries after 408, 409, 429 and 5xx answers unless `x-should-retry` is `false`.
 */
export const buildRetryHeaders = (refusal: Refusal): Record<string, string> => {
	if (refusal.retryAfterMs === undefined || refusal.outcome === outcomeKinds.unknown) {
		return {'x-should-retry': 'false'};
	}

	return {
		'retry-after': String(Math.ceil(refusal.retryAfterMs / 1000)),
		'retry-after-ms': String(Math.ceil(refusal.retryAfterMs)),
	};
};
