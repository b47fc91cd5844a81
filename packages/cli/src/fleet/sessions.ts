import {createOk, type Result, type SessionRecord} from '@knapweedrack/core';
import {objectKeys, sessionRecordSchema} from '@knapweedrack/protocol';
import type {PlatformAccess} from '../platform/platform-access.js';
import {createReadFailure} from '../platform/platform-failure.js';
import type {CommandFailure} from '../program/command-result.js';

/** A session with the version of its object, which changes with each renewal. */
export type ObservedSession = {version: number; record: SessionRecord};

/** Fetches all session objects, including those of entries that ended without deleting theirs; objects that do not match the schema are skipped. */
export const fetchSessions = async (access: PlatformAccess, effect: string): Promise<Result<ObservedSession[], CommandFailure>> => {
	const list = await access.list(objectKeys.sessionPrefix);
	if (!list.ok) {
		return createReadFailure(access, list.error, effect);
	}

	return createOk(list.value.items.flatMap(({version, value}) => {
		const record = sessionRecordSchema.safeParse(value);
		return record.success ? [{version, record: record.data}] : [];
	}));
};
