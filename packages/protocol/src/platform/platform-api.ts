import {z} from 'zod';

/** Maximum size of an object's JSON value in bytes. */
export const objectValueLimitBytes = 1_000_000;

/** One object of the object API; each write gives it a higher `version`. */
export const storedObjectSchema = z.object({
	key: z.string(),
	version: z.number().int().positive(),
	value: z.unknown(),
});
/** One object of the object API. */
export type StoredObject = z.infer<typeof storedObjectSchema>;

/** Answer of `GET /v1/objects?prefix=`. */
export const objectListSchema = z.object({
	/** Store revision at which the list is consistent; a watch starts after it. */
	revision: z.number().int().nonnegative(),
	items: z.array(storedObjectSchema),
});
/** Answer of `GET /v1/objects?prefix=`. */
export type ObjectList = z.infer<typeof objectListSchema>;

/** One change seen by a watch. */
export const watchEventSchema = z.object({
	type: z.enum(['put', 'delete']),
	key: z.string(),
	version: z.number().int().positive(),
	value: z.unknown().optional(),
});
/** Answer of `GET /v1/watch?prefix=&after=&timeoutMs=`; an empty list when the wait ended without a change. */
export const watchAnswerSchema = z.object({
	revision: z.number().int().nonnegative(),
	events: z.array(watchEventSchema),
});
/** One change seen by a watch. */
export type WatchEvent = z.infer<typeof watchEventSchema>;
/** Changes since a revision, and the revision to continue from. */
export type WatchAnswer = z.infer<typeof watchAnswerSchema>;

/** Answer of `PUT` and `DELETE /v1/objects/KEY`. */
export const writeAnswerSchema = z.object({
	key: z.string(),
	version: z.number().int().positive(),
});

/** Errors of the platform: `not_found`, `version_mismatch`, `too_large`, `rate_limited`, `unavailable`, `compacted`, `bad_request`. */
export const platformErrorSchema = z.object({
	error: z.string(),
	message: z.string(),
	/** Current version, set for `version_mismatch`; 0 when the object does not exist. */
	version: z.number().int().nonnegative().optional(),
	retryAfterMs: z.number().nonnegative().optional(),
});

/** One instance of the list, which is several seconds out of date. */
export const listedInstanceSchema = z.object({
	id: z.string().min(1),
	address: z.string(),
	kind: z.enum(['engine', 'service', 'entry']),
	failureDomain: z.string(),
	/** Model of an engine or name of a service; empty for entries. */
	serves: z.string(),
	state: z.enum(['live', 'leaving']),
});
/** Answer of `GET /v1/instances`. */
export const instanceListSchema = z.object({
	revision: z.number().int().nonnegative(),
	instances: z.array(listedInstanceSchema),
});
/** One instance of the list, which is several seconds out of date. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;
/** Answer of `GET /v1/instances`. */
export type InstanceList = z.infer<typeof instanceListSchema>;

/** Body of `POST /v1/weights/transfers`; refused with `rate_limited` while other transfers use the store's whole rate. */
export const transferRequestSchema = z.object({
	name: z.string(),
	version: z.string(),
	serverId: z.string(),
});
/** Answer of `POST /v1/weights/transfers`. */
export const transferAnswerSchema = z.object({
	transferId: z.string(),
	durationMs: z.number().nonnegative(),
});
