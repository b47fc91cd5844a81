import {z} from 'zod';
import {createOk, type Result, type SessionRecord} from '@knapweedrack/core';
import {objectKeys} from '@knapweedrack/protocol';
import type {PlatformAccess} from '../platform/platform-access.js';
import {createReadFailure} from '../platform/platform-failure.js';
import type {CommandFailure} from '../program/command-result.js';

const count = z.number().int().nonnegative();
const sessionSchema: z.ZodType<SessionRecord> = z.object({
	entryId: z.string(),
	epoch: z.string(),
	callerAddress: z.string(),
	peerAddress: z.string(),
	failureDomain: z.string(),
	region: z.string(),
	state: z.enum(['serving', 'stopping']),
	configurationRevision: count,
	availabilityRevision: count,
	renewal: count,
});

/** A session with the version of its object, which changes with each renewal. */
export type ObservedSession = {version: number; record: SessionRecord};

/** Fetches all session objects, also those of entries that are gone without having deleted theirs. */
export const fetchSessions = async (access: PlatformAccess, effect: string): Promise<Result<ObservedSession[], CommandFailure>> => {
	const list = await access.list(objectKeys.sessionPrefix);
	if (!list.ok) {
		return createReadFailure(access, list.error, effect);
	}

	return createOk(list.value.items.flatMap(({version, value}) => {
		const record = sessionSchema.safeParse(value);
		return record.success ? [{version, record: record.data}] : [];
	}));
};
