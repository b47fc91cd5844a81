import {z} from 'zod';

const limits = {
	count: z.number().int().positive().optional(),
	durationMs: z.number().positive().optional(),
	/** Limits the fault to calls whose path starts with this prefix. */
	pathPrefix: z.string().optional(),
};

/**
 * Faults of the plain service. `answerLost` executes the call and closes the connection; `answerCrossed` sends the answer
 * to the previous call; `notStarted` refuses without executing; `down` closes the connection without executing.
 */
export const serviceFaultSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('answerLost'), ...limits}),
	z.strictObject({kind: z.literal('answerCrossed'), ...limits}),
	z.strictObject({kind: z.literal('notStarted'), ...limits}),
	z.strictObject({kind: z.literal('slow'), delayMs: z.number().positive(), ...limits}),
	z.strictObject({kind: z.literal('down'), ...limits}),
]);
/** A validated fault of the plain service. */
export type ServiceFault = z.infer<typeof serviceFaultSchema>;
