import {z} from 'zod';
import {
	outcomeKinds, serviceStates, summaryVersion,
	type Availability, type FingerprintRecord, type MinuteSummary, type OwnerRecord, type SessionRecord,
} from '@knapweedrack/core';

const identifier = z.string().min(1).max(200);
const count = z.number().int().nonnegative();

/** Session of an entry, which the entry renews; stored as `sessions/ENTRY_ID`. */
export const sessionRecordSchema: z.ZodType<SessionRecord> = z.object({
	entryId: identifier,
	epoch: identifier,
	callerAddress: z.string(),
	peerAddress: z.string(),
	failureDomain: z.string(),
	region: z.string(),
	state: z.enum(['serving', 'stopping']),
	configurationRevision: count,
	availabilityRevision: count,
	renewal: count,
});

/** Entry that issues the permits of a backend server, stored as `owners/BACKEND_SERVER_ID`. */
export const ownerRecordSchema: z.ZodType<OwnerRecord> = z.object({
	serverId: identifier,
	owner: identifier,
	ownerAddress: z.string().optional(),
	epoch: identifier,
	fencingNumber: count,
	released: z.boolean(),
});

const serviceState = z.enum(serviceStates);

/** Service states of failure domains and instances, stored as `availability`. */
export const availabilitySchema: z.ZodType<Availability> = z.object({
	revision: count,
	editId: z.string(),
	failureDomains: z.record(z.string(), serviceState),
	instances: z.record(z.string(), serviceState),
});

const run = z.object({attemptId: identifier, serverId: identifier});

/** Crash of a server while it ran content. */
export const fingerprintCrashSchema = z.object({
	attemptId: identifier, serverId: identifier, bootId: identifier.optional(), companions: z.array(identifier), entryId: identifier.optional(),
	chainLength: count.optional(),
});

const fingerprintFields = {fingerprint: identifier, standing: z.enum(['suspect', 'quarantined']), run: run.optional()};

/** Record of content that was running on a server when it crashed, stored as `quarantine/FINGERPRINT`. */
export const fingerprintRecordSchema: z.ZodType<FingerprintRecord> = z.object({...fingerprintFields, crashes: z.array(fingerprintCrashSchema)});

/** Such a record as an entry sends it to another one. */
export const reportedRecordSchema = z.object({
	...fingerprintFields,
	/** `ageMs` is the time since the attempt was lost. Earlier versions of the entry do not send it. */
	crashes: z.array(fingerprintCrashSchema.extend({ageMs: z.number().nonnegative().optional()})),
});

const counts = z.record(z.string(), count);
/** Time since 1970 in ms; 8.64e15 is the largest value that a `Date` can hold. */
const timestampMs = z.number().int().nonnegative().max(8.64e15);

/** Counters of one period of an entry, stored as `summaries/DAY/ENTRY_ID/EPOCH-SEQUENCE`, with `-PART` when split. */
export const minuteSummarySchema: z.ZodType<MinuteSummary> = z.object({
	version: z.literal(summaryVersion),
	entryId: identifier,
	epoch: identifier,
	sequence: count,
	from: timestampMs,
	to: timestampMs,
	isLast: z.boolean(),
	part: count,
	parts: z.number().int().positive(),
	workspaces: z.record(z.string(), z.object({
		outcomes: z.partialRecord(z.enum(outcomeKinds), count),
		reasons: counts,
		late: count,
		promptTokens: z.number().nonnegative(),
		classes: z.record(z.string().regex(/^\d{1,2}$/v), z.object({
			requests: count, targeted: count, inTime: count, firstToken: z.string().optional(),
		})),
	})),
}).refine(({from, to, part, parts}) => from <= to && part < parts);

/** State that a peer sends to an entry that starts while the object API is unavailable. */
export const sharedStateSchema = z.object({
	sessions: z.array(sessionRecordSchema),
	owners: z.array(z.object({record: ownerRecordSchema, version: count})),
});
/** State that a peer sends to an entry that starts while the object API is unavailable. */
export type SharedState = z.infer<typeof sharedStateSchema>;
