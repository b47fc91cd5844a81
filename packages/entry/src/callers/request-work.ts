import type {
	AttemptRecord, AttemptResult, BackendServerDescription, Permit, RefusalReason,
} from '@knapweedrack/core';

/** Estimated token counts of a request. */
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

/** Work that a request runs on a backend server; the same type for completions and service calls. */
export type RequestWork = {
	/** Name of the model or service, as in the `serves` field of backend servers. */
	serves: string;
	isIdempotent: boolean;
	/** Content fingerprint for the quarantine; undefined for services. */
	fingerprint?: string | undefined;
	cost: WorkCost;
	/** Runs one attempt and sets the flags of its attempt record on the way. */
	run: (permitted: PermittedAttempt) => Promise<AttemptEnd>;
	/** Whole prompt, to be split over a group of engines. */
	prompt?: string | undefined;
	/** Runs one attempt on a group of engines; the last member generates. */
	runOnGroup?: ((permitted: PermittedAttempt, group: GroupPrompt) => Promise<AttemptEnd>) | undefined;
	/** Called directly before each dispatch; a returned reason refuses the request before any byte is sent. */
	confirmDispatch?: (() => Promise<{reason: RefusalReason; retryAfterMs?: number | undefined} | undefined>) | undefined;
};

/** The last segment of a prompt whose earlier segments are prefilled on other engines. */
export type GroupPrompt = {
	prompt: string;
	segments: Array<{serverId: string; address: string; index: number; tokens: number}>;
};
