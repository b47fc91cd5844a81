import {setTimeout as wait} from 'node:timers/promises';
import {
	applyDomainEdit, applyInstanceEdit, createOk, serviceStates,
	type Availability, type DrainInstance, type DrainRefusal, type Result, type ServiceState,
} from '@knapweedrack/core';
import {objectKeys, type ListedInstance} from '@knapweedrack/protocol';
import {addEdit, createEditId} from '../platform/edit-record.js';
import type {PlatformAccess} from '../platform/platform-access.js';
import {createReadFailure, createWriteFailure, effects} from '../platform/platform-failure.js';
import {writeObject} from '../platform/write-object.js';
import {createFailure, type CommandFailure} from '../program/command-result.js';
import {exitCodes} from '../program/exit-codes.js';
import type {Progress} from '../program/progress.js';
import {fetchAvailability, parseAvailability, type StoredAvailability} from './stored-availability.js';

/** A request to take a failure domain or an instance out of service, or to return it to service. */
export type AvailabilityChange = {
	target: 'domain' | 'instance';
	name: string;
	state: ServiceState;
	author: string;
};

/** Availability after the edit; `isChanged` is false when it already had the requested state, `lostRaces` counts the attempts that failed because another edit was written first. */
export type EditedAvailability = {availability: StoredAvailability; isChanged: boolean; lostRaces: number};

/** Each version conflict means that another edit succeeded; this many in a row point to a fault rather than to concurrent operators. */
const attemptLimit = 20;
const maxRetryDelayMs = 50;

const notFoundCodes = new Set<DrainRefusal['code']>(['unknown_failure_domain', 'unknown_instance']);

/**
 * Edits the availability with conditional writes. After a version conflict the edit is applied again to the newly read state,
 * so that the rules are checked against the state that is replaced: the last failure domain in service stays in service.
 */
export const updateAvailability = async (access: PlatformAccess, change: AvailabilityChange, progress: Progress): Promise<Result<EditedAvailability, CommandFailure>> => {
	for (let lostRaces = 0; lostRaces < attemptLimit; lostRaces++) {
		progress.update(lostRaces === 0 ? 'editing the availability' : `editing the availability, after ${lostRaces} conflicting edits`);
		const result = await tryEdit(access, change);
		if (!result.ok) {
			return result;
		}

		if (result.value) {
			return createOk({...result.value, lostRaces});
		}

		await wait(Math.random() * maxRetryDelayMs);
	}

	return createFailure(exitCodes.conflict, `the availability could not be updated: another edit was written first ${attemptLimit} times in a row; the change did not take effect`, {effect: 'none'});
};

/** Converts the instance list to the fields that the drain rules need. */
export const toDrainInstances = (instances: readonly ListedInstance[]): DrainInstance[] => instances.map(({id, failureDomain, kind, state}) => ({
	id, failureDomain, isEntry: kind === 'entry', isLive: state === 'live',
}));

/** Edit id and known instances of one change. */
type ChangeContext = {editId: string; instances: readonly DrainInstance[]};

/** Applies one change to an availability and records who made it; returns `current` itself when nothing changes. */
export const applyChange = (current: StoredAvailability, change: AvailabilityChange, {editId, instances}: ChangeContext): Result<StoredAvailability, DrainRefusal> => {
	const edited: Result<Availability, DrainRefusal> = change.target === 'domain'
		? applyDomainEdit(current, {
			editId, instances, failureDomain: change.name, state: change.state,
		})
		: applyInstanceEdit(current, {
			editId, instances, instanceId: change.name, state: change.state,
		});
	if (!edited.ok || edited.value.revision === current.revision) {
		return edited.ok ? createOk(current) : edited;
	}

	const {author} = change;
	return createOk({
		...edited.value,
		edits: addEdit(current.edits, {
			revision: edited.value.revision, editId, author, summary: describeChange(change),
		}),
	});
};

/** Describes a change, for example "failure domain kochi out of service". */
export const describeChange = ({target, name, state}: AvailabilityChange): string =>
	`${target === 'domain' ? 'failure domain' : 'instance'} ${name} ${state === serviceStates.outOfService ? 'out of service' : 'in service'}`;

/** Makes one attempt; undefined when another edit was written first. */
const tryEdit = async (access: PlatformAccess, change: AvailabilityChange): Promise<Result<Omit<EditedAvailability, 'lostRaces'> | undefined, CommandFailure>> => {
	const [current, listed] = await Promise.all([fetchAvailability(access, effects.none), access.listInstances()]);
	if (!current.ok) {
		return current;
	}

	if (!listed.ok) {
		return createReadFailure(access, listed.error, effects.none);
	}

	const {availability, version} = current.value;
	const editId = createEditId();
	const edited = applyChange(availability, change, {editId, instances: toDrainInstances(listed.value.instances)});
	if (!edited.ok) {
		const {code, message} = edited.error;
		return createFailure(notFoundCodes.has(code) ? exitCodes.notFound : exitCodes.refused, `${message}; nothing was changed`, {effect: 'none', code, revision: availability.revision});
	}

	if (edited.value === availability) {
		return createOk({availability, isChanged: false});
	}

	const outcome = await writeObject(access, {
		key: objectKeys.availability, value: edited.value, baseVersion: version,
		hasEdit: value => parseAvailability(value)?.edits.some(edit => edit.editId === editId) ?? false,
	});
	if (outcome.kind === 'written' || outcome.kind === 'conflict') {
		return createOk(outcome.kind === 'written' ? {availability: edited.value, isChanged: true} : undefined);
	}

	return createWriteFailure(access, outcome, {editId, checkWith: `knapweedrack ${change.target} status`});
};
