import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {ServerLoad} from '@knapweedrack/core';

/** Pause target in ms, streams, value. */
const pauseSchema = z.tuple([z.number(), z.number(), z.number()]);
/** Age in ms, first-token target in ms, value. */
const readSchema = z.tuple([z.number(), z.number(), z.number()]);
/** Load of one backend server: id, requests, writers, context tokens, tokens to read, reading ms, of it for others, memory tokens, pauses, reads. */
const loadSchema = z.tuple([
	z.string(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number(), z.array(pauseSchema), z.array(readSchema),
]);

const messageSchema = z.object({
	entryId: z.string(),
	/** Distinguishes the processes that an instance has run. */
	bootId: z.string(),
	sequence: z.number(),
	/** False while the process cannot serve. */
	isReady: z.boolean(),
	isStopping: z.boolean(),
	/** Absent from entries of an earlier version during an upgrade. */
	callerAddress: z.string().optional(),
	/** Version of the configuration in force. */
	version: z.number(),
	loads: z.array(loadSchema),
});

/** News that an entry sends to the others in one datagram. */
export type PeerMessage = {
	entryId: string;
	bootId: string;
	sequence: number;
	isReady: boolean;
	isStopping: boolean;
	/** `host:port` of the listener for callers, for entries that cannot read the store. */
	callerAddress: string | undefined;
	version: number;
	loads: Array<{serverId: string; load: ServerLoad}>;
};

/** Encodes a message; numbers are rounded, since they are estimates. */
export const encodePeerMessage = (message: PeerMessage): Buffer => Buffer.from(JSON.stringify({
	...message,
	loads: message.loads.map(({serverId, load}) => [
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
	]),
}));

/** Decodes a datagram; undefined when it is no message of an entry. */
export const decodePeerMessage = (bytes: Buffer): PeerMessage | undefined => {
	const parsed = messageSchema.safeParse(parseJson(bytes.toString('utf8')));
	return parsed.success ? {...parsed.data, callerAddress: parsed.data.callerAddress, loads: parsed.data.loads.map(load => decodeLoad(load))} : undefined;
};

const decodeLoad = ([serverId, requests, writers, contextTokens, readTokens, readMs, helpMs, memoryTokens, pauses, reads]: z.infer<typeof loadSchema>): PeerMessage['loads'][number] => ({
	serverId,
	load: {
		requests, writers, contextTokens, readTokens, readMs, helpMs, memoryTokens,
		pauses: pauses.map(([targetMs, streams, value]) => ({targetMs, streams, value})),
		reads: reads.map(([ageMs, targetMs, value]) => ({ageMs, targetMs, value})),
	},
});

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
