import {z} from 'zod';

const count = z.number().int().nonnegative();
const limits = {
	count: z.number().int().positive().optional(),
	durationMs: z.number().positive().optional(),
};
/** Limits of stream faults, which affect one stream unless `count` says otherwise. */
const streamLimits = {
	count: z.number().int().positive().default(1),
	durationMs: z.number().positive().optional(),
	/** Text that the prompt must contain; empty for any prompt. */
	marker: z.string().default(''),
	/** Sequence number of the affected frame; `framesLate` also affects all later frames. */
	frame: count.default(0),
};

/** Faults that affect the frames of an answer stream. */
export const frameFaultSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('framesLate'), delayMs: z.number().positive(), ...streamLimits}),
	z.strictObject({kind: z.literal('framesCrossed'), mode: z.enum(['ids', 'text']).default('ids'), ...streamLimits}),
	z.strictObject({kind: z.literal('framesDuplicated'), ...streamLimits}),
	z.strictObject({kind: z.literal('framesDropped'), ...streamLimits}),
	z.strictObject({kind: z.literal('framesReordered'), ...streamLimits}),
	z.strictObject({kind: z.literal('framesTruncated'), mode: z.enum(['end', 'cut', 'done']).default('end'), ...streamLimits}),
]);
/** A validated frame fault; its defaults are filled in. */
export type FrameFault = z.infer<typeof frameFaultSchema>;

/**
 * Faults of the engine. `crash`, `cold` (restart with empty memory) and `freeze` act at once; `crashMarker` crashes the
 * engine when it starts a prompt with the marker; `slow` multiplies step durations; `leaving` refuses new requests and reservations.
 */
export const engineFaultSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('crash'), ...limits}),
	z.strictObject({kind: z.literal('cold'), ...limits}),
	z.strictObject({kind: z.literal('freeze'), durationMs: z.number().positive(), count: z.number().int().positive().optional()}),
	z.strictObject({kind: z.literal('crashMarker'), marker: z.string().min(1), ...limits}),
	z.strictObject({kind: z.literal('slow'), factor: z.number().min(1), ...limits}),
	z.strictObject({kind: z.literal('leaving'), ...limits}),
	...frameFaultSchema.options,
]);
/** A validated engine fault; its defaults are filled in. */
export type EngineFault = z.infer<typeof engineFaultSchema>;
