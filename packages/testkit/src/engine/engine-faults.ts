import {z} from 'zod';

const count = z.number().int().nonnegative();
const limits = {
	count: z.number().int().positive().optional(),
	durationMs: z.number().positive().optional(),
};
/** Faults of answer streams act on one stream unless a count is given. */
const streamLimits = {
	count: z.number().int().positive().default(1),
	durationMs: z.number().positive().optional(),
	/** Limits the fault to prompts that contain this text. */
	marker: z.string().default(''),
	/** Number of the first frame affected. */
	frame: count.default(0),
};

/** Faults of the frames of an answer. */
export const frameFaultSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('framesLate'), delayMs: z.number().positive(), ...streamLimits}),
	z.strictObject({kind: z.literal('framesCrossed'), mode: z.enum(['ids', 'text']).default('ids'), ...streamLimits}),
	z.strictObject({kind: z.literal('framesDuplicated'), ...streamLimits}),
	z.strictObject({kind: z.literal('framesDropped'), ...streamLimits}),
	z.strictObject({kind: z.literal('framesReordered'), ...streamLimits}),
	z.strictObject({kind: z.literal('framesTruncated'), mode: z.enum(['end', 'cut', 'done']).default('end'), ...streamLimits}),
]);
/** One fault of the frames of an answer. */
export type FrameFault = z.infer<typeof frameFaultSchema>;

/** Faults of the engine; see `docs/testkit.md`. */
export const engineFaultSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('crash'), ...limits}),
	z.strictObject({kind: z.literal('cold'), ...limits}),
	z.strictObject({kind: z.literal('freeze'), durationMs: z.number().positive(), count: z.number().int().positive().optional()}),
	z.strictObject({kind: z.literal('crashMarker'), marker: z.string().min(1), ...limits}),
	z.strictObject({kind: z.literal('slow'), factor: z.number().min(1), ...limits}),
	z.strictObject({kind: z.literal('leaving'), ...limits}),
	...frameFaultSchema.options,
]);
/** One fault of the engine. */
export type EngineFault = z.infer<typeof engineFaultSchema>;
