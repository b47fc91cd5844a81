import type {StoreFailure} from '@knapweedrack/platform-client';
import type {StoredObject} from '@knapweedrack/protocol';
import type {PlatformAccess} from './platform-access.js';

/** A conditional write of one object that carries an edit id. */
export type ObjectWrite = {
	key: string;
	value: unknown;
	/** Version that the write replaces; undefined when the object does not exist. */
	baseVersion: number | undefined;
	/** True when the value contains this edit, even if later edits followed. */
	hasEdit: (value: unknown) => boolean;
};

/** How a write ended; only `unknown` leaves open whether it took effect. */
export type WriteOutcome =
	| {kind: 'written'}
	/** Another edit was written first; `current` is undefined when the object was deleted or cannot be read. */
	| {kind: 'conflict'; current: StoredObject | undefined}
	| {kind: 'not_written'; failure: StoreFailure['kind']; message: string}
	| {kind: 'unknown'; message: string};

type ReadBack =
	| {kind: 'present'; object: StoredObject}
	| {kind: 'absent'}
	| {kind: 'unreadable'; message: string};

/** A write without visible effect after a lost answer may still be under way, so it is sent once more. */
const attemptLimit = 2;

/**
 * Writes an object on condition that it still has the version it was read with. After a lost answer the object is read
 * back, and the edit id shows whether the write took effect. If the base version is still present, the same conditional write
 * is sent again. This also settles the first write, because only one of the two can replace the base version.
 */
export const writeObject = async (access: PlatformAccess, write: ObjectWrite): Promise<WriteOutcome> => {
	let isPossiblyWritten = false;
	let message = '';
	for (let attempts = 0; attempts < attemptLimit; attempts++) {
		const result = await access.put(write.key, write.value, write.baseVersion === undefined ? {create: true} : {version: write.baseVersion});
		if (result.ok) {
			return {kind: 'written'};
		}

		if (result.error.kind !== 'unknown' && result.error.kind !== 'version_mismatch') {
			message = describeStoreFailure(result.error);
			return isPossiblyWritten ? {kind: 'unknown', message} : {kind: 'not_written', failure: result.error.kind, message};
		}

		isPossiblyWritten ||= result.error.kind === 'unknown';
		const readBack = await readObject(access, write.key);
		const outcome = resolveReadBack(write, readBack, isPossiblyWritten);
		if (outcome) {
			return outcome;
		}

		message = describeStoreFailure(result.error);
	}

	return {kind: 'unknown', message};
};

/** Describes a failed call for an error message. */
export const describeStoreFailure = (failure: StoreFailure): string => 'message' in failure ? failure.message : storeFailureTexts.get(failure.kind) ?? failure.kind;

const storeFailureTexts = new Map<StoreFailure['kind'], string>([
	['not_found', 'the object does not exist'],
	['version_mismatch', 'the object has another version'],
	['too_large', 'the value is larger than the object API permits'],
	['rate_limited', 'the call exceeded the rate limit of the platform'],
	['compacted', 'the revision is too old'],
]);

const readObject = async (access: PlatformAccess, key: string): Promise<ReadBack> => {
	const result = await access.readBack(key);
	if (result.ok) {
		return {kind: 'present', object: result.value};
	}

	return result.error.kind === 'not_found' ? {kind: 'absent'} : {kind: 'unreadable', message: describeStoreFailure(result.error)};
};

/** Resolves the outcome from the object read back; undefined when the base version is still present and the write can be sent again. */
const resolveReadBack = (write: ObjectWrite, readBack: ReadBack, isPossiblyWritten: boolean): WriteOutcome | undefined => {
	if (readBack.kind === 'unreadable') {
		return isPossiblyWritten ? {kind: 'unknown', message: readBack.message} : {kind: 'conflict', current: undefined};
	}

	const current = readBack.kind === 'present' ? readBack.object : undefined;
	if (current !== undefined && write.hasEdit(current.value)) {
		return {kind: 'written'};
	}

	return current?.version === write.baseVersion ? undefined : {kind: 'conflict', current};
};
