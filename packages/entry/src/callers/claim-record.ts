import {z} from 'zod';
import {outcomeKinds, type ClaimRecord} from '@knapweedrack/core';

/** Claim objects as stored in the object API. */
export const claimRecordSchema: z.ZodType<ClaimRecord> = z.object({
	workspaceId: z.string(),
	bodyDigest: z.string(),
	nonce: z.string(),
	entryId: z.string(),
	epoch: z.string(),
	state: z.enum(['claimed', 'dispatched', 'finished']),
	createdAt: z.number(),
	outcome: z.object({
		kind: z.enum(outcomeKinds),
		status: z.number().int().optional(),
		contentType: z.string().optional(),
		body: z.string().optional(),
		reason: z.string().optional(),
	}).optional(),
});
