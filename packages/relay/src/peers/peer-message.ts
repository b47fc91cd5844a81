import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {WaitingDemand} from '@knapweedrack/core';
import {decodeCrashReport, type CrashReport} from '../quarantine/crash-report.js';
import {decodeLimitReport, type LimitReport} from '../server-limits/limit-report.js';
import {decodeNoticeReport, type NoticeReport} from '../server-notices/notice-report.js';
import {
	decodeLoad, encodeLoad, loadSchema, type ReportedLoad,
} from './load-codec.js';

const entrySchema = z.object({
	entryId: z.string(),
	/** Random id of the process; changes with each restart of the entry. */
	bootId: z.string(),
	/** False while the process cannot serve. */
	isReady: z.boolean(),
	isStopping: z.boolean(),
	/** `host:port` of the listener for callers, for peers that cannot read the store. Earlier versions of the entry do not send it. */
	callerAddress: z.string().optional(),
	/** True while the entry reaches no backend server by its own connections. Earlier versions of the entry do not send it. */
	isCutOff: z.boolean().default(false),
	/** Version of the configuration that the entry uses. */
	version: z.number(),
});

/** Requests that wait: service, urgency, number, cost. Earlier versions of the entry neither send nor read them. */
const waitingSchema = z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])).default([]);

const messageSchema = entrySchema.extend({
	sequence: z.number(),
	loads: z.array(loadSchema),
	waiting: waitingSchema,
});

const summarySchema = z.object({
	/** Failure domain whose entries the summary describes. */
	summaryOf: z.string(),
	/** Id of the entry that created the summary; `bootId` identifies its process and `sequence` increases with each datagram. */
	collectorId: z.string(),
	bootId: z.string(),
	sequence: z.number(),
	/** True once the receiving collector relays the summary within its own failure domain. */
	isRelayed: z.boolean(),
	loads: z.array(loadSchema),
	waiting: waitingSchema,
	entries: z.array(entrySchema.extend({
		/** Time since the collector received a message from the entry, in ms. */
		ageMs: z.number(),
	})),
});

/** State of an entry as it reports it to its peers. */
export type EntryState = {
	entryId: string;
	bootId: string;
	isReady: boolean;
	isStopping: boolean;
	/** True while the entry reaches no backend server by its own connections. */
	isCutOff: boolean;
	/** `host:port` of the listener for callers. */
	callerAddress: string | undefined;
	version: number;
};

/** Load report: state of an entry and its load on backend servers, in one datagram. */
export type PeerMessage = EntryState & {sequence: number; loads: ReportedLoad[]; waiting: WaitingDemand[]};

/** State of an entry in a summary; `ageMs` is the time since the collector received it. */
export type CollectedEntry = EntryState & {ageMs: number};

/** Loads or states of the entries of a failure domain, sent by its collector to the other failure domains. */
export type DomainSummary = {
	failureDomain: string;
	collectorId: string;
	bootId: string;
	sequence: number;
	isRelayed: boolean;
	loads: ReportedLoad[];
	waiting: WaitingDemand[];
	entries: CollectedEntry[];
};

/** A decoded datagram from a peer. */
export type PeerDatagram =
	| {type: 'entry'; message: PeerMessage}
	| {type: 'summary'; summary: DomainSummary}
	| {type: 'crash_report'; report: CrashReport}
	| {type: 'limit_report'; report: LimitReport}
	| {type: 'notice_report'; report: NoticeReport};

/** Encodes a load report as JSON. */
export const encodePeerMessage = ({waiting, loads, ...state}: PeerMessage): Buffer => Buffer.from(JSON.stringify({
	...encodeState(state), loads: loads.map(load => encodeLoad(load)), ...encodeWaiting(waiting),
}));

/** Encodes a summary as JSON; the field `summaryOf` distinguishes it from a load report. */
export const encodeDomainSummary = ({failureDomain, waiting, ...summary}: DomainSummary): Buffer => Buffer.from(JSON.stringify({
	...summary, summaryOf: failureDomain, loads: summary.loads.map(load => encodeLoad(load)), entries: summary.entries.map(entry => encodeState(entry)),
	...encodeWaiting(waiting),
}));

/** Omits the list while nothing waits. */
const encodeWaiting = (waiting: readonly WaitingDemand[]): {waiting?: z.infer<typeof waitingSchema>} =>
	waiting.length === 0 ? {} : {waiting: waiting.map(({service, urgency, requests, cost}) => [service, urgency, requests, cost])};

const decodeWaiting = (waiting: z.infer<typeof waitingSchema>): WaitingDemand[] =>
	waiting.map(([service, urgency, requests, cost]) => ({
		service, urgency, requests, cost,
	}));

/** Omits a flag that is almost always false, since each entry sends its state to all members twice a second. */
const encodeState = <State extends EntryState>({isCutOff, ...state}: State): Omit<State, 'isCutOff'> & {isCutOff?: true} =>
	isCutOff ? {...state, isCutOff} : state;

/** Decodes a datagram that arrived at `now`; returns undefined when it is of no known type. */
export const decodePeerDatagram = (bytes: Buffer, now: number): PeerDatagram | undefined => {
	const value = parseJson(bytes.toString('utf8'));
	const message = messageSchema.safeParse(value);
	if (message.success) {
		return {
			type: 'entry', message: {
				...message.data, callerAddress: message.data.callerAddress, loads: message.data.loads.map(load => decodeLoad(load)), waiting: decodeWaiting(message.data.waiting),
			},
		};
	}

	const summary = summarySchema.safeParse(value);
	if (!summary.success) {
		return decodeReport(value, now);
	}

	const {summaryOf, loads, waiting, entries, ...rest} = summary.data;
	return {
		type: 'summary',
		summary: {
			...rest,
			failureDomain: summaryOf,
			loads: loads.map(load => decodeLoad(load)),
			waiting: decodeWaiting(waiting),
			entries: entries.map(entry => ({...entry, callerAddress: entry.callerAddress})),
		},
	};
};

const decodeReport = (value: unknown, now: number): PeerDatagram | undefined => {
	const crashReport = decodeCrashReport(value, now);
	if (crashReport !== undefined) {
		return {type: 'crash_report', report: crashReport};
	}

	const limitReport = decodeLimitReport(value, now);
	if (limitReport !== undefined) {
		return {type: 'limit_report', report: limitReport};
	}

	const noticeReport = decodeNoticeReport(value);
	return noticeReport && {type: 'notice_report', report: noticeReport};
};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
