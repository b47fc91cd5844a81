import type {
	AttemptRecord, AttemptResult, BackendServerDescription, Permit, RefusalReason,
} from '@knapweedrack/core';

/** Estimated demand of a request. */
export type WorkCost = {
	promptTokens: number;
	/** Expected number of generated tokens. */
	decodeTokens: number;
	/** Upper bound of generated tokens. */
	maxTokens: number;
	/** Hashes of the prompt's prefix blocks. */
	blocks: readonly string[];
};

/** How one attempt ended. */
export type AttemptEnd = {
	result: AttemptResult;
	reason?: RefusalReason | undefined;
	retryAfterMs?: number | undefined;
	/** Time in ms from dispatch to the first token. */
	firstTokenMs?: number | undefined;
};

/** A permitted attempt on one backend server. */
export type PermittedAttempt = {
	server: BackendServerDescription;
	permit: Permit;
	attempt: AttemptRecord;
};

/** What a request asks of backend servers; the same for completions and service calls. */
export type RequestWork = {
	/** Model or service. */
	serves: string;
	isIdempotent: boolean;
	/** Content fingerprint for the quarantine; undefined for services. */
	fingerprint?: string | undefined;
	cost: WorkCost;
	/** Runs one attempt; it sets the flags of the attempt record as it proceeds. */
	run: (permitted: PermittedAttempt) => Promise<AttemptEnd>;
	/** Whole prompt, to be split over a group of engines. */
	prompt?: string | undefined;
	/** Runs one attempt on a group of engines; the last member generates. */
	runOnGroup?: ((permitted: PermittedAttempt, group: GroupPrompt) => Promise<AttemptEnd>) | undefined;
	/** Runs directly before each dispatch; a reason ends the request without a byte sent. */
	confirmDispatch?: (() => Promise<{reason: RefusalReason; retryAfterMs?: number | undefined} | undefined>) | undefined;
};

/** The last segment of a prompt whose earlier segments are prefilled on other engines. */
export type GroupPrompt = {
	prompt: string;
	segments: Array<{serverId: string; address: string; index: number; tokens: number}>;
};
