import {createOk, type AddressedChunk, type Result} from '@knapweedrack/core';
import {objectKeys, type ConfigurationLists} from '@knapweedrack/protocol';
import {
	createEditId, listEditsAfter, renderEdits, type EditRecord,
} from '../platform/edit-record.js';
import type {PlatformAccess} from '../platform/platform-access.js';
import {createWriteFailure, effects} from '../platform/platform-failure.js';
import {runLimited} from '../platform/run-limited.js';
import {describeStoreFailure, writeObject, type WriteOutcome} from '../platform/write-object.js';
import {createFailure, type CommandFailure} from '../program/command-result.js';
import {exitCodes} from '../program/exit-codes.js';
import type {Progress} from '../program/progress.js';
import type {ItemChange} from './diff-configuration.js';
import {
	buildStoredManifest, computeApplyPlan, countBytes, listPlanChanges, type ApplyPlan,
} from './plan-apply.js';
import {
	buildChunkKey, fetchChunks, fetchManifest, parseManifest, type StoredManifest,
} from './stored-manifest.js';

/** What one `config apply` writes. */
export type ApplyRequest = {
	lists: ConfigurationLists;
	author: string;
	/** Revision on which the lists are based; any revision when undefined. */
	expectedRevision: number | undefined;
};

/** Result of a successful `config apply`. */
export type AppliedConfiguration = {
	revision: number;
	editId: string;
	isChanged: boolean;
	changes: ItemChange[];
	chunks: number;
	chunksWritten: number;
	bytesWritten: number;
};

const parallelWrites = 8;
const chunkAttemptLimit = 2;

/** Writes the missing chunks, then the manifest on condition that it still has the version it was read with. */
export const applyConfiguration = async (access: PlatformAccess, request: ApplyRequest, progress: Progress): Promise<Result<AppliedConfiguration, CommandFailure>> => {
	progress.update('reading the configuration in force');
	const current = await fetchManifest(access, effects.none);
	if (!current.ok) {
		return current;
	}

	const base = current.value?.manifest;
	if (request.expectedRevision !== undefined && request.expectedRevision !== (base?.revision ?? 0)) {
		return createConflictFailure(base, request.expectedRevision);
	}

	const plan = computeApplyPlan(request.lists, base);
	if (!plan.isChanged) {
		return createOk({...buildAppliedConfiguration(plan, base!, []), isChanged: false});
	}

	const replaced = await fetchChunks(access, plan.replacedHashes, effects.none);
	if (!replaced.ok) {
		return replaced;
	}

	const written = await writeChunks(access, plan.newChunks, progress);
	if (!written.ok) {
		return written;
	}

	const changes = listPlanChanges(plan, replaced.value);
	const manifest = buildStoredManifest(plan, changes, {editId: createEditId(), author: request.author});
	progress.update('writing the manifest');
	const outcome = await writeObject(access, {
		key: objectKeys.manifest, value: manifest, baseVersion: current.value?.version,
		hasEdit: value => parseManifest(value)?.edits.some(({editId}) => editId === manifest.editId) ?? false,
	});
	return outcome.kind === 'written'
		? createOk(buildAppliedConfiguration(plan, manifest, changes))
		: createManifestFailure(access, outcome, {base, editId: manifest.editId});
};

const buildAppliedConfiguration = (plan: ApplyPlan, manifest: StoredManifest, changes: ItemChange[]): AppliedConfiguration => ({
	revision: manifest.revision,
	editId: manifest.editId,
	isChanged: true,
	changes,
	chunks: plan.chunks.length,
	chunksWritten: plan.newChunks.length,
	bytesWritten: plan.isChanged ? countBytes(JSON.stringify(manifest)) + plan.newChunks.reduce((sum, {text}) => sum + countBytes(text), 0) : 0,
});

const writeChunks = async (access: PlatformAccess, chunks: readonly AddressedChunk[], progress: Progress): Promise<Result<unknown, CommandFailure>> => {
	let done = 0;
	return runLimited(chunks, parallelWrites, async chunk => {
		progress.update(`writing chunk ${++done} of ${chunks.length}`);
		return writeChunk(access, chunk);
	});
};

/** The key of a chunk is the hash of its content, so writing it again after a lost answer changes nothing, and a version mismatch means that it is already stored. */
const writeChunk = async (access: PlatformAccess, {hash, chunk}: AddressedChunk): Promise<Result<void, CommandFailure>> => {
	for (let attempts = 1; ; attempts++) {
		const result = await access.put(buildChunkKey(hash), chunk, {create: true});
		if (result.ok || result.error.kind === 'version_mismatch') {
			return createOk(undefined);
		}

		if (result.error.kind !== 'unknown' || attempts === chunkAttemptLimit) {
			const message = `the platform ${access.address} did not accept a chunk: ${describeStoreFailure(result.error)}; the change did not take effect, the configuration in force stays`;
			return createFailure(exitCodes.unreachable, message, {effect: 'none', platform: access.address});
		}
	}
};

type FailedOutcome = Exclude<WriteOutcome, {kind: 'written'}>;
type ManifestEdit = {base: StoredManifest | undefined; editId: string};

const createManifestFailure = (access: PlatformAccess, outcome: FailedOutcome, {base, editId}: ManifestEdit) => outcome.kind === 'conflict'
	? createConflictFailure(outcome.current && parseManifest(outcome.current.value), base?.revision ?? 0)
	: createWriteFailure(access, outcome, {editId, checkWith: 'knapweedrack config show'});

const createConflictFailure = (current: StoredManifest | undefined, baseRevision: number) => {
	const edits: EditRecord[] = current ? listEditsAfter(current.edits, baseRevision) : [];
	const inForce = current ? `revision ${current.revision} is in force` : 'the revision in force cannot be read';
	const lines = [
		`another edit was written first: ${inForce}, but this edit is based on revision ${baseRevision}; it has no effect`,
		...(edits.length > 0 ? [renderEdits(edits)] : []),
		'compare with "knapweedrack config diff DIR", merge the other edits into the lists and apply again',
	];
	return createFailure(exitCodes.conflict, lines.join('\n'), {
		effect: 'none', baseRevision, revision: current?.revision ?? null, edits,
	});
};
