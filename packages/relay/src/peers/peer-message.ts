import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {
	decodeLoad, encodeLoad, loadSchema, type ReportedLoad,
} from './load-codec.js';

const entrySchema = z.object({
	entryId: z.string(),
	/** Distinguishes the processes that an instance has run. */
	bootId: z.string(),
	/** False while the process cannot serve. */
	isReady: z.boolean(),
	isStopping: z.boolean(),
	/** `host:port` of the listener for callers, for entries that cannot read the store; absent from earlier versions during an upgrade. */
	callerAddress: z.string().optional(),
	/** Version of the configuration in force. */
	version: z.number(),
});

const messageSchema = entrySchema.extend({
	sequence: z.number(),
	loads: z.array(loadSchema),
});

const summarySchema = z.object({
	/** Failure domain whose entries the summary is about. */
	summaryOf: z.string(),
	/** Entry that made the summary, with its process and a number that rises. */
	collectorId: z.string(),
	bootId: z.string(),
	sequence: z.number(),
	/** True once an entry of another failure domain passes it on to its own. */
	isRelayed: z.boolean(),
	loads: z.array(loadSchema),
	entries: z.array(entrySchema.extend({
		/** Time since the collector heard of the entry, in ms. */
		ageMs: z.number(),
	})),
});

/** State of an entry as it tells others. */
export type EntryState = {
	entryId: string;
	bootId: string;
	isReady: boolean;
	isStopping: boolean;
	/** `host:port` of the listener for callers. */
	callerAddress: string | undefined;
	version: number;
};

/** News that an entry sends to others in one datagram. */
export type PeerMessage = EntryState & {sequence: number; loads: ReportedLoad[]};

/** State of an entry in a summary. */
export type CollectedEntry = EntryState & {ageMs: number};

/** News about all entries of a failure domain, from one of them to the other failure domains. */
export type DomainSummary = {
	failureDomain: string;
	collectorId: string;
	bootId: string;
	sequence: number;
	isRelayed: boolean;
	loads: ReportedLoad[];
	entries: CollectedEntry[];
};

/** A datagram between entries. */
export type PeerDatagram = {type: 'entry'; message: PeerMessage} | {type: 'summary'; summary: DomainSummary};

/** Encodes the news of an entry. */
export const encodePeerMessage = (message: PeerMessage): Buffer => Buffer.from(JSON.stringify({
	...message, loads: message.loads.map(load => encodeLoad(load)),
}));

/** Encodes a summary. */
export const encodeDomainSummary = ({failureDomain, ...summary}: DomainSummary): Buffer => Buffer.from(JSON.stringify({
	...summary, summaryOf: failureDomain, loads: summary.loads.map(load => encodeLoad(load)),
}));

/** Decodes a datagram; undefined when it is not from an entry. */
export const decodePeerDatagram = (bytes: Buffer): PeerDatagram | undefined => {
	const value = parseJson(bytes.toString('utf8'));
	const message = messageSchema.safeParse(value);
	if (message.success) {
		return {type: 'entry', message: {...message.data, callerAddress: message.data.callerAddress, loads: message.data.loads.map(load => decodeLoad(load))}};
	}

	const summary = summarySchema.safeParse(value);
	if (!summary.success) {
		return undefined;
	}

	const {summaryOf, loads, entries, ...rest} = summary.data;
	return {
		type: 'summary',
		summary: {
			...rest,
			failureDomain: summaryOf,
			loads: loads.map(load => decodeLoad(load)),
			entries: entries.map(entry => ({...entry, callerAddress: entry.callerAddress})),
		},
	};
};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
