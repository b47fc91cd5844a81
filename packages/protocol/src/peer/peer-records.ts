import {z} from 'zod';
import {
	attemptResults, priorities, refusalReasons,
	type Heartbeat, type LoadSnapshot, type Permit, type PermitReply, type PermitRequest,
} from '@knapweedrack/core';

const identifier = z.string().min(1).max(200);
const count = z.number().int().nonnegative();
const durationMs = z.number().nonnegative();

/** Request of an entry to the owner of a backend server for permission to dispatch one attempt. */
export const permitRequestSchema: z.ZodType<PermitRequest> = z.object({
	requestId: identifier,
	attemptId: identifier,
	entryId: identifier,
	serverId: identifier,
	workspaceId: identifier,
	weight: z.number().positive(),
	priority: z.union([z.literal(priorities.high), z.literal(priorities.normal), z.literal(priorities.low)]),
	prefillTokens: count,
	promptTokens: count.optional(),
	isDeferred: z.boolean().optional(),
	decodeTokens: count,
	kvTokens: count,
	deadlineInMs: z.number(),
	firstTokenInMs: z.number(),
	isSuspect: z.boolean(),
});

/** Load of one backend server as its owner computes it. */
export const loadSnapshotSchema: z.ZodType<LoadSnapshot> = z.object({
	serverId: identifier,
	queuedPrefillTokens: count,
	runningPrefillTokens: count,
	kvTokensUsed: count,
	kvTokens: count,
	running: count,
	concurrencyLimit: count,
	shortFirstTokenMs: durationMs,
	longFirstTokenMs: durationMs,
});

/** Permission to dispatch one attempt to a backend server; it expires after `lifetimeMs` unless renewed. */
export const permitSchema: z.ZodType<Permit> = z.object({
	permitId: identifier,
	requestId: identifier,
	attemptId: identifier,
	serverId: identifier,
	bootId: z.string(),
	lifetimeMs: durationMs,
	fencingNumber: count,
	enginePriority: z.number().int(),
});

/** Answer to a permit request. */
export const permitReplySchema: z.ZodType<PermitReply> = z.discriminatedUnion('type', [
	z.object({type: z.literal('granted'), permit: permitSchema, load: loadSnapshotSchema}),
	z.object({
		type: z.literal('refused'),
		reason: z.enum(refusalReasons),
		retryAfterMs: durationMs,
		load: loadSnapshotSchema.optional(),
	}),
]);

/** End of an attempt, sent to the owner of the backend server. */
export const permitReleaseSchema = z.object({
	permitId: identifier,
	serverId: identifier,
	result: z.enum(attemptResults),
	/** Time from dispatch to the first token in ms; undefined when no token arrived. */
	firstTokenMs: durationMs.optional(),
});
/** End of an attempt. */
export type PermitRelease = z.infer<typeof permitReleaseSchema>;

/** Renewal of open permits of one entry, batched per owner. */
export const permitRenewalSchema = z.object({
	entryId: identifier,
	servers: z.array(z.object({
		/** Server of the permits, so that a new owner can take over those of the former owner. */
		serverId: identifier,
		permitIds: z.array(identifier),
		/** Permits whose first token arrived since the last renewal, so that their prefill is complete. */
		firstTokens: z.array(identifier),
	})),
});
/** Renewal of open permits. */
export type PermitRenewal = z.infer<typeof permitRenewalSchema>;

/** Withdrawal of a queued request. */
export const permitWithdrawalSchema = z.object({
	serverId: identifier,
	requestId: identifier,
	attemptId: identifier,
});
/** Withdrawal of a queued request. */
export type PermitWithdrawal = z.infer<typeof permitWithdrawalSchema>;

/** Request to the owner of a workspace for a slice of its rate limits. */
export const sliceRequestSchema = z.object({
	entryId: identifier,
	workspaceId: identifier,
	/** Requests that the entry has counted as demand since its last slice request. */
	requests: z.number().nonnegative(),
	/** Tokens of these requests. */
	tokens: z.number().nonnegative(),
	/** Tokens that the entry has admitted beyond its slices. */
	debtTokens: z.number().nonnegative(),
	/** Requests in progress at the entry. */
	concurrency: count,
});
/** Demand of one entry for the rate limits of a workspace. */
export type SliceRequest = z.infer<typeof sliceRequestSchema>;

/** The part of a workspace's rate limits that one entry may use for `lifetimeMs`. */
export const sliceSchema = z.object({
	workspaceId: identifier,
	requestsPerSecond: z.number().nonnegative(),
	tokensPerSecond: z.number().nonnegative(),
	/** Maximum number of requests in progress. */
	concurrency: count,
	lifetimeMs: durationMs,
	/** True when the demand of all entries exceeds the plan, so that no entry can get a larger slice. */
	isContended: z.boolean(),
});
/** The part of a workspace's rate limits that one entry may use. */
export type Slice = z.infer<typeof sliceSchema>;

/** Heartbeat of an entry; the answer is the heartbeat of the receiver. */
export const heartbeatSchema: z.ZodType<Heartbeat> = z.object({
	entryId: identifier,
	epoch: identifier,
	failureDomain: z.string(),
	state: z.enum(['serving', 'stopping']),
	reachesStore: z.boolean(),
	configurationRevision: count,
	availabilityRevision: count,
});

/** Result of one attempt for a content fingerprint. */
export const fingerprintReportSchema = z.object({
	fingerprint: identifier,
	attemptId: identifier,
	serverId: identifier,
	/** Identifies the run of the server process, so that several attempts lost in one crash count as one crash. */
	bootId: identifier.optional(),
	/** `crashed` when the server process ended while it ran the content. */
	result: z.enum(['crashed', 'completed']),
	/** Fingerprints that were running on the same server at the time. */
	runningFingerprints: z.array(identifier),
});
/** Result of one attempt for a content fingerprint. */
export type FingerprintReport = z.infer<typeof fingerprintReportSchema>;

/** Quarantine state of a content fingerprint. */
export const fingerprintStandingSchema = z.object({
	standing: z.enum(['clear', 'suspect', 'quarantined']),
	retryAfterMs: durationMs.optional(),
});
/** Quarantine state of a content fingerprint. */
export type FingerprintStanding = z.infer<typeof fingerprintStandingSchema>;
