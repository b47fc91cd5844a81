import {z} from 'zod';

const count = z.number().int().nonnegative();
const identifier = z.string().min(1).max(200);

/** Totals in the last chunk of an answer, used to verify that the stream is complete. */
export const chunkSummarySchema = z.object({
	frames: count,
	promptTokens: count,
	completionTokens: count,
	checksum: z.string().regex(/^[\da-f]{16}$/v),
});

/** Extension field in each chunk of an engine's answer. */
export const chunkExtensionSchema = z.object({
	requestId: identifier,
	attemptId: identifier,
	seq: count,
	last: chunkSummarySchema.optional(),
});

/** One SSE chunk of an engine's answer; `text` is the delta in both completions protocols. */
export const engineChunkSchema = z.object({
	text: z.string(),
	finishReason: z.enum(['stop', 'length']).nullable(),
	knapweedrack: chunkExtensionSchema,
});
/** One SSE chunk of an engine's answer. */
export type EngineChunk = z.infer<typeof engineChunkSchema>;

/** Reference to a KV segment that another engine prefilled. */
export const kvSegmentSchema = z.object({
	serverId: identifier,
	address: z.string(),
	index: count,
	tokens: count,
});

/** Body of `POST /v1/generate` on an engine. */
export const generateRequestSchema = z.object({
	requestId: identifier,
	attemptId: identifier,
	model: z.string(),
	prompt: z.string(),
	maxTokens: z.number().int().positive(),
	/** Lower values run first. */
	priority: z.number().int(),
	/** Remaining time until the deadline; the engine cancels the request when it has passed. */
	deadlineInMs: z.number().positive(),
	bootId: z.string().optional(),
	fencingNumber: count.optional(),
	/** Segments already prefilled on other engines of the group; the prompt is then the last segment. */
	segments: z.array(kvSegmentSchema).optional(),
});
/** Body of `POST /v1/generate` on an engine. */
export type GenerateRequest = z.infer<typeof generateRequestSchema>;

/** Refusal or failure of an engine; `started: false` guarantees that the request was not run. */
export const engineErrorSchema = z.object({
	error: z.string(),
	message: z.string(),
	started: z.boolean(),
	retryAfterMs: z.number().nonnegative().optional(),
});
/** Refusal or failure of an engine. */
export type EngineError = z.infer<typeof engineErrorSchema>;

/** Capacity part of an engine's status. */
export const backendServerProfileSchema = z.object({
	id: identifier,
	kvTokens: count,
	prefillTokensPerSecond: z.number().positive(),
	maxConcurrency: z.number().int().positive(),
	coldConcurrency: z.number().int().positive(),
	coldPrefillTokens: z.number().int().positive(),
});

/** Body of `GET /admin/v1/status` on an engine. */
export const engineReportSchema = z.object({
	serverId: identifier,
	bootId: identifier,
	state: z.enum(['live', 'leaving']),
	profile: backendServerProfileSchema,
	kvTokensUsed: count,
	running: z.array(z.object({
		requestId: identifier,
		attemptId: identifier,
		phase: z.enum(['queued', 'prefill', 'decode', 'paused']),
		kvTokens: count,
	})),
	reservations: z.array(z.object({
		requestId: identifier,
		kvTokens: count,
		expiresInMs: z.number(),
	})),
	fencingNumber: count.optional(),
});

/** Body of `POST /admin/v1/reservations`. */
export const reservationRequestSchema = z.object({
	requestId: identifier,
	kvTokens: z.number().int().positive(),
	ttlMs: z.number().positive(),
	fencingNumber: count.optional(),
});
/** Body of `POST /admin/v1/reservations`. */
export type ReservationRequest = z.infer<typeof reservationRequestSchema>;

/** Body of `POST /admin/v1/segments`: prefills one segment of a prompt under a reservation. */
export const segmentRequestSchema = z.object({
	requestId: identifier,
	attemptId: identifier,
	index: count,
	prompt: z.string(),
	priority: z.number().int(),
	/** Earlier segments, imported before the prefill. */
	segments: z.array(kvSegmentSchema),
});
/** Body of `POST /admin/v1/segments`. */
export type SegmentRequest = z.infer<typeof segmentRequestSchema>;

/** Kinds of administrative orders that an engine accepts. */
export const orderKinds = {
	loadModel: 'load_model',
	loadAdapter: 'load_adapter',
	setRole: 'set_role',
} as const;

/** Body of `POST /admin/v1/orders`. */
export const engineOrderSchema = z.object({
	orderId: identifier,
	kind: z.enum([orderKinds.loadModel, orderKinds.loadAdapter, orderKinds.setRole]),
	target: z.string(),
	version: z.string().optional(),
	fencingNumber: count,
	/** The engine ignores an order that arrives later than this after it was sent. */
	expiresInMs: z.number().positive(),
});
/** Body of `POST /admin/v1/orders`. */
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** One prefix cache event; `seq` has gaps when events were lost. */
export const cacheEventSchema = z.object({
	seq: count,
	kind: z.enum(['stored', 'evicted', 'cleared']),
	/** Hashes of 1024-token prefix blocks, xxhash64 in hex. */
	blocks: z.array(z.string()),
});
/** Body of `GET /admin/v1/cache-events?after=SEQ`. */
export const cacheEventsSchema = z.object({
	bootId: identifier,
	events: z.array(cacheEventSchema),
});
/** One prefix cache event. */
export type CacheEvent = z.infer<typeof cacheEventSchema>;
