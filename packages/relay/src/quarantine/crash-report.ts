import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {FingerprintRecord} from '@knapweedrack/core';
import {reportedRecordSchema} from '@knapweedrack/protocol/state-records';

/** Maximum size of the records or attempts in one datagram, so that it is not fragmented on an Ethernet path. */
const itemBytesPerDatagram = 1100;

const crashReportSchema = z.object({
	/** Entry that sends the report. The name of this field is kept for entries of earlier versions. */
	crashNewsOf: z.string(),
	failureDomain: z.string(),
	records: z.array(reportedRecordSchema),
	cleared: z.array(z.string()),
	/** Time since the completion of each fingerprint of `cleared`, in ms. Earlier versions of the entry do not send it. */
	clearedAgesMs: z.array(z.number().nonnegative()).default([]),
	/** Earlier versions of the entry send neither this field nor the next one. */
	unconfirmed: z.array(reportedRecordSchema).default([]),
	withdrawn: z.array(z.string()).default([]),
});

/** A fingerprint whose content has completed, with the time since then, in ms. */
export type ClearedFingerprint = {fingerprint: string; ageMs: number};

/** Crashes that an entry knows of, with times on the clock of the entry that holds the report, and fingerprints that a completed run has cleared. */
export type CrashReport = {
	entryId: string;
	failureDomain: string;
	records: FingerprintRecord[];
	cleared: ClearedFingerprint[];
	/** Crashes of servers of which the sender does not know yet whether they have ended. */
	unconfirmed: FingerprintRecord[];
	/** Attempts of earlier unconfirmed crashes whose servers have not ended. */
	withdrawn: string[];
};

type EncodedRecord = z.infer<typeof reportedRecordSchema>;

/** Encodes a crash report as JSON in datagrams; the field `crashNewsOf` distinguishes them from load reports. */
export const encodeCrashReport = ({entryId, failureDomain, records, cleared, unconfirmed, withdrawn}: CrashReport, now: number): Buffer[] => {
	const encode = (part: {records?: EncodedRecord[]; cleared?: ClearedFingerprint[]; unconfirmed?: EncodedRecord[]; withdrawn?: string[]}): Buffer => Buffer.from(JSON.stringify({
		crashNewsOf: entryId, failureDomain, records: part.records ?? [], unconfirmed: part.unconfirmed, withdrawn: part.withdrawn,
		cleared: (part.cleared ?? []).map(({fingerprint}) => fingerprint), clearedAgesMs: (part.cleared ?? []).map(({ageMs}) => Math.round(ageMs)),
	}));
	return [
		...(cleared.length === 0 ? [] : [encode({cleared})]),
		...splitBySize(withdrawn).map(part => encode({withdrawn: part})),
		...splitBySize(records.map(record => encodeRecord(record, now))).map(part => encode({records: part})),
		...splitBySize(unconfirmed.map(record => encodeRecord(record, now))).map(part => encode({unconfirmed: part})),
	];
};

/** Splits items into parts that each fit into one datagram. */
const splitBySize = <Item>(items: readonly Item[]): Item[][] => {
	const parts: Item[][] = [];
	let bytes = Number.POSITIVE_INFINITY;
	for (const item of items) {
		const size = JSON.stringify(item).length;
		if (bytes + size > itemBytesPerDatagram) {
			parts.push([]);
			bytes = 0;
		}

		parts.at(-1)!.push(item);
		bytes += size;
	}

	return parts;
};

/** Decodes parsed JSON that arrived at `now`; returns undefined when it is no crash report. */
export const decodeCrashReport = (value: unknown, now: number): CrashReport | undefined => {
	const parsed = crashReportSchema.safeParse(value);
	if (!parsed.success) {
		return undefined;
	}

	const {crashNewsOf, failureDomain, records, cleared, clearedAgesMs, unconfirmed, withdrawn} = parsed.data;
	return {
		entryId: crashNewsOf, failureDomain, records: records.map(record => decodeRecord(record, now)),
		cleared: cleared.map((fingerprint, index) => ({fingerprint, ageMs: clearedAgesMs[index] ?? 0})),
		unconfirmed: unconfirmed.map(record => decodeRecord(record, now)), withdrawn,
	};
};

const encodeRecord = (record: FingerprintRecord, now: number): EncodedRecord => ({
	...record, crashes: record.crashes.map(({lostAt, ...crash}) => ({...crash, ageMs: lostAt === undefined ? undefined : Math.max(0, Math.round(now - lostAt))})),
});

const decodeRecord = (record: EncodedRecord, now: number): FingerprintRecord => ({
	...record, crashes: record.crashes.map(({ageMs, ...crash}) => ({...crash, lostAt: ageMs === undefined ? undefined : now - ageMs})),
});
