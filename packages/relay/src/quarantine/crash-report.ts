import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {FingerprintRecord} from '@knapweedrack/core';
import {fingerprintRecordSchema} from '@knapweedrack/protocol/state-records';

/** Maximum size of the records in one datagram, so that it is not fragmented on an Ethernet path. */
const recordBytesPerDatagram = 1100;

const crashReportSchema = z.object({
	/** Entry that sends the report. The name of this field is kept for entries of earlier versions. */
	crashNewsOf: z.string(),
	failureDomain: z.string(),
	records: z.array(fingerprintRecordSchema),
	cleared: z.array(z.string()),
});

/** Crashes that an entry knows of, and fingerprints that a completed run has cleared. */
export type CrashReport = {
	entryId: string;
	failureDomain: string;
	records: FingerprintRecord[];
	cleared: string[];
};

/** Encodes a crash report as JSON in datagrams; the field `crashNewsOf` distinguishes them from load reports. */
export const encodeCrashReport = ({entryId, failureDomain, records, cleared}: CrashReport): Buffer[] => {
	const encode = (part: Pick<CrashReport, 'records' | 'cleared'>): Buffer => Buffer.from(JSON.stringify({crashNewsOf: entryId, failureDomain, ...part}));
	const datagrams = cleared.length === 0 ? [] : [encode({records: [], cleared})];
	let part: FingerprintRecord[] = [];
	let bytes = 0;
	for (const record of records) {
		const size = JSON.stringify(record).length;
		if (part.length > 0 && bytes + size > recordBytesPerDatagram) {
			datagrams.push(encode({records: part, cleared: []}));
			part = [];
			bytes = 0;
		}

		part.push(record);
		bytes += size;
	}

	return part.length === 0 ? datagrams : [...datagrams, encode({records: part, cleared: []})];
};

/** Decodes parsed JSON; returns undefined when it is no crash report. */
export const decodeCrashReport = (value: unknown): CrashReport | undefined => {
	const parsed = crashReportSchema.safeParse(value);
	if (!parsed.success) {
		return undefined;
	}

	const {crashNewsOf, ...report} = parsed.data;
	return {entryId: crashNewsOf, ...report};
};
