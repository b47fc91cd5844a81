import {z} from 'zod';

const limits = {
	count: z.number().int().positive().optional(),
	durationMs: z.number().positive().optional(),
};
/** Limits a fault to calls with this `x-instance-id`. */
const caller = z.string().optional();

/** Faults of the platform; see `docs/testkit.md`. */
export const platformFaultSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('down'), mode: z.enum(['refuse', 'cut', 'hang']).default('refuse'), caller, ...limits,
	}),
	z.strictObject({
		kind: z.literal('slow'), delayMs: z.number().positive(), caller, ...limits,
	}),
	z.strictObject({
		kind: z.literal('answerLost'), keyPrefix: z.string().default(''), caller, ...limits,
	}),
	z.strictObject({
		kind: z.literal('listLag'), lagMs: z.number().nonnegative(), caller, ...limits,
	}),
	z.strictObject({
		kind: z.literal('watchCut'), mode: z.enum(['cut', 'silent']).default('cut'), prefix: z.string().default(''), caller, ...limits,
	}),
	z.strictObject({kind: z.literal('compact'), ...limits}),
]);
/** One fault of the platform. */
export type PlatformFault = z.infer<typeof platformFaultSchema>;
