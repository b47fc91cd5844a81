import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {ConfigurationChunk, ConfigurationManifest} from '@knapweedrack/core';
import {plansFileSchema, workspacesFileSchema} from '../lists/list-schemas.js';

const hash = z.string().regex(/^[\da-f]{64}$/v);

/** Value of `config/manifest`. */
export const manifestSchema: z.ZodType<ConfigurationManifest> = z.object({
	revision: z.number().int().nonnegative(),
	editId: z.string(),
	recentEditIds: z.array(z.string()),
	chunks: z.array(hash),
});

/** Value of `config/chunks/HASH`. */
export const configurationChunkSchema: z.ZodType<ConfigurationChunk> = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('plans'), items: plansFileSchema.shape.plans}),
	z.object({kind: z.literal('services'), items: plansFileSchema.shape.services}),
	z.object({kind: z.literal('workspaces'), items: workspacesFileSchema.shape.workspaces}),
]);

/** Answer of `configuration.fetch` between entries. */
export const offeredConfigurationSchema = z.object({
	manifest: manifestSchema,
	chunks: z.record(hash, configurationChunkSchema),
});

/** SHA-256 in hex: the content address of a chunk, and the digest of a credential without its prefix. */
export const hashText = (text: string): string => createHash('sha256').update(text).digest('hex');
