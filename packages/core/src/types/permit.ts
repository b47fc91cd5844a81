import type {RefusalReason} from './reasons.js';

/** Priorities that callers can select; lower values are served first. */
export const priorities = {high: 0, normal: 1, low: 2} as const;
/** Priority of a request, one of the values of `priorities`. */
export type Priority = (typeof priorities)[keyof typeof priorities];

/** Request to the owner of a backend server for a permit to start one attempt. */
export type PermitRequest = {
	requestId: string;
	attemptId: string;
	/** Entry that will run the attempt. */
	entryId: string;
	serverId: string;
	workspaceId: string;
	/** Weight of the workspace when workspaces compete for capacity, from its plan. */
	weight: number;
	priority: Priority;
	/** Estimated prompt tokens that are not in the server's prefix cache. */
	prefillTokens: number;
	/**
	 * Length of the whole prompt in tokens; `prefillTokens` when missing. It is counted while the server warms up, because
	 * its prefix cache may be empty.
	 */
	promptTokens?: number | undefined;
	/** True for a later member of a group: its prefill waits for other members and leaves the server free until then. */
	isDeferred?: boolean | undefined;
	/** Expected number of generated tokens. */
	decodeTokens: number;
	/** KV cache tokens held until the end of the attempt. */
	kvTokens: number;
	/** Time left until the deadline of the request, in ms at sending time. */
	deadlineInMs: number;
	/** Time left until the first token is due, in ms at sending time. */
	firstTokenInMs: number;
	/** True when the same content was in flight at a crash of a server; such a request runs alone on its server. */
	isSuspect: boolean;
};

/** Permission to run one attempt on one backend server. */
export type Permit = {
	permitId: string;
	requestId: string;
	attemptId: string;
	serverId: string;
	/** Boot id of the backend server for which the permit is valid. */
	bootId: string;
	/** Lifetime in ms from receipt, unless renewed. */
	lifetimeMs: number;
	fencingNumber: number;
	/** Engine priority of the attempt; lower values run first. */
	enginePriority: number;
};

/** Answer of the owner to a permit request. */
export type PermitReply =
	| {type: 'granted'; permit: Permit; load: LoadSnapshot}
	| {type: 'refused'; reason: RefusalReason; retryAfterMs: number; load?: LoadSnapshot | undefined};

/** Load of one backend server as known to its owner; sent with permit replies. */
export type LoadSnapshot = {
	serverId: string;
	queuedPrefillTokens: number;
	runningPrefillTokens: number;
	kvTokensUsed: number;
	kvTokens: number;
	running: number;
	/** Maximum number of requests that may run at the same time at the present warm-up level. */
	concurrencyLimit: number;
	/** Estimated time to first token in ms for a short prompt arriving now. */
	shortFirstTokenMs: number;
	/** Estimated time to first token in ms for a long prompt arriving now. */
	longFirstTokenMs: number;
};

/** How an attempt ended, reported with the release of its permit. */
export const attemptResults = {
	completed: 'completed',
	notStarted: 'not_started',
	failed: 'failed',
	crashed: 'crashed',
	cancelled: 'cancelled',
} as const;
/** One of the values of `attemptResults`. */
export type AttemptResult = (typeof attemptResults)[keyof typeof attemptResults];
