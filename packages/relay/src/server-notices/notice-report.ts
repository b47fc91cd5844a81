import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {ServerIncarnation} from '@knapweedrack/core';

/** Maximum number of notices in one datagram, so that it is not fragmented on an Ethernet path. */
const noticesPerDatagram = 10;

const noticeReportSchema = z.object({
	/** Entry that sends the report. */
	noticesOf: z.string(),
	failureDomain: z.string(),
	notices: z.array(z.object({
		id: z.string(),
		bootId: z.string().optional(),
		/** Remaining time for which the server wants no request, in ms; missing without a backoff. */
		backoffMs: z.number().nonnegative().optional(),
		isLeaving: z.boolean().default(false),
		/** Time since the answer of the server, in ms. */
		ageMs: z.number().nonnegative().default(0),
	})),
});

/** What a backend server has said of itself in an answer; times in ms. */
export type ServerNotice = ServerIncarnation & {backoffMs: number | undefined; isLeaving: boolean; ageMs: number};

/** Notices of backend servers that an entry passes on to another one. */
export type NoticeReport = {entryId: string; failureDomain: string; notices: ServerNotice[]};

/** Encodes a notice report as JSON in datagrams; the field `noticesOf` distinguishes them from other reports. */
export const encodeNoticeReport = ({entryId, failureDomain, notices}: NoticeReport): Buffer[] =>
	Array.from({length: Math.ceil(notices.length / noticesPerDatagram)}, (_, part) => Buffer.from(JSON.stringify({
		noticesOf: entryId, failureDomain, notices: notices.slice(part * noticesPerDatagram, (part + 1) * noticesPerDatagram),
	})));

/** Decodes parsed JSON; returns undefined when it is no notice report. */
export const decodeNoticeReport = (value: unknown): NoticeReport | undefined => {
	const parsed = noticeReportSchema.safeParse(value);
	if (!parsed.success) {
		return undefined;
	}

	const {noticesOf, failureDomain, notices} = parsed.data;
	return {
		entryId: noticesOf, failureDomain,
		notices: notices.map(({bootId, backoffMs, ...notice}) => ({...notice, bootId, backoffMs})),
	};
};
