import {z} from 'zod';
import {
	serviceStates, type Availability, type FingerprintRecord, type OwnerRecord, type SessionRecord,
} from '@knapweedrack/core';

const identifier = z.string().min(1).max(200);
const count = z.number().int().nonnegative();

/** Session of an entry, `sessions/ENTRY_ID`. */
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

/** Owner of a backend server, `owners/BACKEND_SERVER_ID`. */
export const ownerRecordSchema: z.ZodType<OwnerRecord> = z.object({
	serverId: identifier,
	owner: identifier,
	epoch: identifier,
	fencingNumber: count,
	released: z.boolean(),
});

const serviceState = z.enum(serviceStates);

/** What is out of service, `availability`. */
export const availabilitySchema: z.ZodType<Availability> = z.object({
	revision: count,
	editId: z.string(),
	failureDomains: z.record(z.string(), serviceState),
	instances: z.record(z.string(), serviceState),
});

const run = z.object({attemptId: identifier, serverId: identifier});

/** Standing of content that was in flight at a crash, `quarantine/FINGERPRINT`. */
export const fingerprintRecordSchema: z.ZodType<FingerprintRecord> = z.object({
	fingerprint: identifier,
	standing: z.enum(['suspect', 'quarantined']),
	crashes: z.array(z.object({
		attemptId: identifier, serverId: identifier, bootId: identifier.optional(), companions: z.array(identifier),
	})),
	run: run.optional(),
});

/** State that a peer hands to an entry that starts while the object API is down. */
export const sharedStateSchema = z.object({
	sessions: z.array(sessionRecordSchema),
	owners: z.array(z.object({record: ownerRecordSchema, version: count})),
});
/** State that a peer hands to an entry that starts while the object API is down. */
export type SharedState = z.infer<typeof sharedStateSchema>;
