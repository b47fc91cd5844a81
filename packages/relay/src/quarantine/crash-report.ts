import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {FingerprintRecord} from '@knapweedrack/core';
import {reportedRecordSchema} from '@knapweedrack/protocol/state-records';

/** Maximum size of the records in one datagram, so that it is not fragmented on an Ethernet path. */
const recordBytesPerDatagram = 1100;

const crashReportSchema = z.object({
	/** Entry that sends the report. The name of this field is kept for entries of earlier versions. */
	crashNewsOf: z.string(),
	failureDomain: z.string(),
	records: z.array(reportedRecordSchema),
	cleared: z.array(z.string()),
	/** Time since the completion of each fingerprint of `cleared`, in ms. Earlier versions of the entry do not send it. */
	clearedAgesMs: z.array(z.number().nonnegative()).default([]),
});

/** A fingerprint whose content has completed, with the time since then, in ms. */
export type ClearedFingerprint = {fingerprint: string; ageMs: number};

/** Crashes that an entry knows of, with times on the clock of the entry that holds the report, and fingerprints that a completed run has cleared. */
export type CrashReport = {
	entryId: string;
	failureDomain: string;
	records: FingerprintRecord[];
	cleared: ClearedFingerprint[];
};

type EncodedRecord = z.infer<typeof reportedRecordSchema>;

/** Encodes a crash report as JSON in datagrams; the field `crashNewsOf` distinguishes them from load reports. */
export const encodeCrashReport = ({entryId, failureDomain, records, cleared}: CrashReport, now: number): Buffer[] => {
	const encode = (part: {records: EncodedRecord[]; cleared: ClearedFingerprint[]}): Buffer => Buffer.from(JSON.stringify({
		crashNewsOf: entryId, failureDomain, records: part.records, cleared: part.cleared.map(({fingerprint}) => fingerprint), clearedAgesMs: part.cleared.map(({ageMs}) => Math.round(ageMs)),
	}));
	const datagrams = cleared.length === 0 ? [] : [encode({records: [], cleared})];
	let part: EncodedRecord[] = [];
	let bytes = 0;
	for (const record of records.map(each => encodeRecord(each, now))) {
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

/** Decodes parsed JSON that arrived at `now`; returns undefined when it is no crash report. */
export const decodeCrashReport = (value: unknown, now: number): CrashReport | undefined => {
	const parsed = crashReportSchema.safeParse(value);
	if (!parsed.success) {
		return undefined;
	}

	const {crashNewsOf, failureDomain, records, cleared, clearedAgesMs} = parsed.data;
	return {
		entryId: crashNewsOf, failureDomain, records: records.map(record => decodeRecord(record, now)),
		cleared: cleared.map((fingerprint, index) => ({fingerprint, ageMs: clearedAgesMs[index] ?? 0})),
	};
};

const encodeRecord = (record: FingerprintRecord, now: number): EncodedRecord => ({
	...record, crashes: record.crashes.map(({lostAt, ...crash}) => ({...crash, ageMs: lostAt === undefined ? undefined : Math.max(0, Math.round(now - lostAt))})),
});

const decodeRecord = (record: EncodedRecord, now: number): FingerprintRecord => ({
	...record, crashes: record.crashes.map(({ageMs, ...crash}) => ({...crash, lostAt: ageMs === undefined ? undefined : now - ageMs})),
});
