/** Final outcomes of a request as reported to callers. */
export const outcomeKinds = {
	completed: 'completed',
	notRun: 'not_run',
	failed: 'failed',
	unknown: 'unknown',
} as const;

/** One of the values of `outcomeKinds`. */
export type OutcomeKind = (typeof outcomeKinds)[keyof typeof outcomeKinds];

/**
 * All reasons for which a request is refused or fails. Each value names the counter `refusal.<value>`.
 */
export const refusalReasons = {
	badRequest: 'bad_request',
	bodyTooLarge: 'body_too_large',
	requestTimeout: 'request_timeout',
	unauthenticated: 'unauthenticated',
	wrongWorkspace: 'wrong_workspace',
	unknownModel: 'unknown_model',
	unknownService: 'unknown_service',
	notFound: 'not_found',
	modelNotInPlan: 'model_not_in_plan',
	promptTooLong: 'prompt_too_long',
	requestRateExceeded: 'request_rate_exceeded',
	tokenRateExceeded: 'token_rate_exceeded',
	concurrencyExceeded: 'concurrency_exceeded',
	deadlineUnreachable: 'deadline_unreachable',
	deadlineExceeded: 'deadline_exceeded',
	noBackendServer: 'no_backend_server',
	noServingDomain: 'no_serving_domain',
	queueFull: 'queue_full',
	ownerUnreachable: 'owner_unreachable',
	ownershipDisputed: 'ownership_disputed',
	backendRefused: 'backend_refused',
	backendFailed: 'backend_failed',
	streamIncomplete: 'stream_incomplete',
	streamCorrupt: 'stream_corrupt',
	retryBudgetExhausted: 'retry_budget_exhausted',
	quarantined: 'quarantined',
	claimStoreUnavailable: 'claim_store_unavailable',
	claimInProgress: 'claim_in_progress',
	claimOutcomeUnknown: 'claim_outcome_unknown',
	idempotencyKeyMissing: 'idempotency_key_missing',
	idempotencyKeyReused: 'idempotency_key_reused',
	configurationStale: 'configuration_stale',
	entryStopping: 'entry_stopping',
	groupUnavailable: 'group_unavailable',
	callerGone: 'caller_gone',
	internal: 'internal',
} as const;

/** One of the values of `refusalReasons`. */
export type RefusalReason = (typeof refusalReasons)[keyof typeof refusalReasons];

/** Reasons for which an attempt is retried on another backend server; each value names the counter `retry.<value>`. */
export const retryReasons = {
	connectFailed: 'connect_failed',
	backendRefused: 'backend_refused',
	backendFailed: 'backend_failed',
	streamCorrupt: 'stream_corrupt',
	permitRefused: 'permit_refused',
	ownerUnreachable: 'owner_unreachable',
	ownershipChanged: 'ownership_changed',
} as const;

/** One of the values of `retryReasons`. */
export type RetryReason = (typeof retryReasons)[keyof typeof retryReasons];
