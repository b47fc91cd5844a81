import {z} from 'zod';
import type {ServerLoad} from '@knapweedrack/core';

/** Streams with the same pause target: target for the inter-token latency in ms, number of streams, value. */
const pauseSchema = z.tuple([z.number(), z.number(), z.number()]);
/** A prompt to prefill: age in ms, time to first token target in ms, value. */
const prefillSchema = z.tuple([z.number(), z.number(), z.number()]);

/**
 * Load of one backend server: id, requests, requests in decode, context tokens, tokens to prefill, prefill time in ms, the part of
 * that time spent as a helper, KV tokens, streams by pause target, prompts to prefill.
 */
export const loadSchema = z.tuple([
	z.string(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number(), z.array(pauseSchema), z.array(prefillSchema),
]);

/** Load that one entry, or all entries of a failure domain, put on a backend server. */
export type ReportedLoad = {serverId: string; load: ServerLoad};

/** Encodes a load as a tuple; estimates are rounded. */
export const encodeLoad = ({serverId, load}: ReportedLoad): z.infer<typeof loadSchema> => [
	serverId,
	load.requests,
	load.decodingRequests,
	Math.round(load.contextTokens),
	Math.round(load.prefillTokens),
	Math.round(load.prefillMs),
	Math.round(load.helperPrefillMs),
	Math.round(load.memoryTokens),
	load.pauses.map(({targetMs, streams, value}) => [targetMs, streams, Math.round(value)]),
	load.prefills.map(({ageMs, targetMs, value}) => [Math.round(ageMs), Math.round(targetMs), Math.round(value)]),
];

/** Decodes a tuple of `encodeLoad`. */
export const decodeLoad = ([serverId, requests, decodingRequests, contextTokens, prefillTokens, prefillMs, helperMs, memoryTokens, pauses, prefills]: z.infer<typeof loadSchema>): ReportedLoad => ({
	serverId,
	load: {
		requests, decodingRequests, contextTokens, prefillTokens, prefillMs, helperPrefillMs: helperMs, memoryTokens,
		pauses: pauses.map(([targetMs, streams, value]) => ({targetMs, streams, value})),
		prefills: prefills.map(([ageMs, targetMs, value]) => ({ageMs, targetMs, value})),
	},
});
