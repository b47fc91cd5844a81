import {z} from 'zod';
import {
	createOk, initialAvailability, serviceStates, type Availability, type Result,
} from '@knapweedrack/core';
import {objectKeys} from '@knapweedrack/protocol';
import {editRecordSchema, type EditRecord} from '../platform/edit-record.js';
import type {PlatformAccess} from '../platform/platform-access.js';
import {createReadFailure} from '../platform/platform-failure.js';
import {createFailure, type CommandFailure} from '../program/command-result.js';
import {exitCodes} from '../program/exit-codes.js';

const statesSchema = z.record(z.string(), z.enum(serviceStates));
const availabilitySchema = z.object({
	revision: z.number().int().nonnegative(),
	editId: z.string(),
	failureDomains: statesSchema,
	instances: statesSchema,
	edits: z.array(editRecordSchema).default([]),
});

/** Availability as stored; `edits` records who changed what and is not read by entries. */
export type StoredAvailability = Availability & {edits: EditRecord[]};

/** The availability with the version of its object; the version is undefined before the first edit. */
export type AvailabilityObject = {availability: StoredAvailability; version: number | undefined};

/** Parses the stored object `availability`; undefined when it does not match the schema. */
export const parseAvailability = (value: unknown): StoredAvailability | undefined => availabilitySchema.safeParse(value).data;

/** Fetches the availability; before the first edit everything is in service. */
export const fetchAvailability = async (access: PlatformAccess, effect: string): Promise<Result<AvailabilityObject, CommandFailure>> => {
	const object = await access.get(objectKeys.availability);
	if (!object.ok) {
		return object.error.kind === 'not_found'
			? createOk({availability: {...initialAvailability, edits: []}, version: undefined})
			: createReadFailure(access, object.error, effect);
	}

	const availability = parseAvailability(object.value.value);
	return availability === undefined
		? createFailure(exitCodes.failure, `${objectKeys.availability} in the object API is not a valid availability; ${effect}`)
		: createOk({availability, version: object.value.version});
};
