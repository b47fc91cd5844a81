import {z} from 'zod';

const limits = {
	count: z.number().int().positive().optional(),
	durationMs: z.number().positive().optional(),
};
/** Value of `x-instance-id` that a call must have; absent for all calls. */
const caller = z.string().optional();

/**
 * Faults of the platform. `down` makes all calls fail; `slow` adds a delay to all calls; `answerLost` applies a write and
 * closes the connection; `listLag` replaces the lag of the instance list; `watchCut` closes watches or hides changes from
 * them; `compact` removes the history of changes.
 */
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
/** A validated platform fault; its defaults are filled in. */
export type PlatformFault = z.infer<typeof platformFaultSchema>;
