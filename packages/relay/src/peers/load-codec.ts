import {z} from 'zod';
import type {ServerLoad} from '@knapweedrack/core';

/** Pause target in ms, streams, value. */
const pauseSchema = z.tuple([z.number(), z.number(), z.number()]);
/** Age in ms, first-token target in ms, value. */
const readSchema = z.tuple([z.number(), z.number(), z.number()]);

/** Load of one backend server: id, requests, writers, context tokens, tokens to read, reading ms, of it for others, memory tokens, pauses, reads. */
export const loadSchema = z.tuple([
	z.string(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number(), z.array(pauseSchema), z.array(readSchema),
]);

/** What an entry, or the entries of a failure domain, have on one backend server. */
export type ReportedLoad = {serverId: string; load: ServerLoad};

/** Encodes a load; numbers are rounded, since they are estimates. */
export const encodeLoad = ({serverId, load}: ReportedLoad): z.infer<typeof loadSchema> => [
	serverId,
	load.requests,
	load.writers,
	Math.round(load.contextTokens),
	Math.round(load.readTokens),
	Math.round(load.readMs),
	Math.round(load.helpMs),
	Math.round(load.memoryTokens),
	load.pauses.map(({targetMs, streams, value}) => [targetMs, streams, Math.round(value)]),
	load.reads.map(({ageMs, targetMs, value}) => [Math.round(ageMs), Math.round(targetMs), Math.round(value)]),
];

/** Decodes what `encodeLoad` encoded. */
export const decodeLoad = ([serverId, requests, writers, contextTokens, readTokens, readMs, helpMs, memoryTokens, pauses, reads]: z.infer<typeof loadSchema>): ReportedLoad => ({
	serverId,
	load: {
		requests, writers, contextTokens, readTokens, readMs, helpMs, memoryTokens,
		pauses: pauses.map(([targetMs, streams, value]) => ({targetMs, streams, value})),
		reads: reads.map(([ageMs, targetMs, value]) => ({ageMs, targetMs, value})),
	},
});
