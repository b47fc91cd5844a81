import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {LimitObservation} from '@knapweedrack/core';

/** Maximum number of limits in one datagram, so that it is not fragmented on an Ethernet path. */
const limitsPerDatagram = 10;

const limitReportSchema = z.object({
	/** Entry that sends the report. */
	limitsOf: z.string(),
	failureDomain: z.string(),
	limits: z.array(z.object({
		serverId: z.string(),
		bootId: z.string().optional(),
		/** Missing when the server named no limit. */
		requestsPerSecond: z.number().nonnegative().optional(),
		/** Time since the answer, in ms. */
		ageMs: z.number().nonnegative(),
	})),
});

/** Limits of backend servers that an entry knows of; `observedAt` of each is on the clock of the entry that holds the report. */
export type LimitReport = {entryId: string; failureDomain: string; limits: LimitObservation[]};

/** Encodes a limit report as JSON in datagrams; the field `limitsOf` distinguishes them from other reports. */
export const encodeLimitReport = ({entryId, failureDomain, limits}: LimitReport, now: number): Buffer[] =>
	Array.from({length: Math.ceil(limits.length / limitsPerDatagram)}, (_, part) => Buffer.from(JSON.stringify({
		limitsOf: entryId, failureDomain,
		limits: limits.slice(part * limitsPerDatagram, (part + 1) * limitsPerDatagram).map(({observedAt, ...limit}) => ({...limit, ageMs: Math.max(0, now - observedAt)})),
	})));

/** Decodes parsed JSON; returns undefined when it is no limit report. */
export const decodeLimitReport = (value: unknown, now: number): LimitReport | undefined => {
	const parsed = limitReportSchema.safeParse(value);
	if (!parsed.success) {
		return undefined;
	}

	const {limitsOf, failureDomain, limits} = parsed.data;
	return {
		entryId: limitsOf, failureDomain,
		limits: limits.map(({serverId, bootId, requestsPerSecond, ageMs}) => ({
			serverId, bootId, requestsPerSecond, observedAt: now - ageMs,
		})),
	};
};
