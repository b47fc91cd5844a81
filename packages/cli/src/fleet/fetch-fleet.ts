import {createOk, type Result} from '@knapweedrack/core';
import type {ListedInstance} from '@knapweedrack/protocol';
import {fetchAvailability, type StoredAvailability} from '../availability/stored-availability.js';
import type {PlatformAccess} from '../platform/platform-access.js';
import {createReadFailure, effects} from '../platform/platform-failure.js';
import type {CommandFailure} from '../program/command-result.js';
import {toEntryView, type EntryView} from './fleet-view.js';
import {fetchSessions} from './sessions.js';

/** Instances, availability and entries as read from the platform. */
export type Fleet = {instances: ListedInstance[]; availability: StoredAvailability; entries: EntryView[]};

/** Fetches what the status commands show. */
export const fetchFleet = async (access: PlatformAccess): Promise<Result<Fleet, CommandFailure>> => {
	const [listed, availability, sessions] = await Promise.all([
		access.listInstances(), fetchAvailability(access, effects.readOnly), fetchSessions(access, effects.readOnly),
	]);
	if (!listed.ok) {
		return createReadFailure(access, listed.error, effects.readOnly);
	}

	if (!availability.ok) {
		return availability;
	}

	return sessions.ok
		? createOk({
			instances: listed.value.instances, availability: availability.value.availability, entries: sessions.value.map(({record}) => toEntryView(record)),
		})
		: sessions;
};
