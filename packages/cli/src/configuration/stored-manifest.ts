import {createHash} from 'node:crypto';
import {z} from 'zod';
import {
	chunkKinds, createOk, verifyChunk,
	type ConfigurationChunk, type ConfigurationManifest, type Result,
} from '@knapweedrack/core';
import {objectKeys} from '@knapweedrack/protocol';
import {editRecordSchema, type EditRecord} from '../platform/edit-record.js';
import type {PlatformAccess} from '../platform/platform-access.js';
import {createReadFailure} from '../platform/platform-failure.js';
import {runLimited} from '../platform/run-limited.js';
import {createFailure, type CommandFailure} from '../program/command-result.js';
import {exitCodes} from '../program/exit-codes.js';

const manifestSchema = z.object({
	revision: z.number().int().nonnegative(),
	editId: z.string(),
	recentEditIds: z.array(z.string()),
	chunks: z.array(z.string()),
	edits: z.array(editRecordSchema).default([]),
});

const chunkSchema = z.object({kind: z.enum(chunkKinds), items: z.array(z.unknown())});

/** Manifest as stored; `edits` records who changed what and is not read by entries. */
export type StoredManifest = ConfigurationManifest & {edits: EditRecord[]};

/** The manifest with the version of its object. */
export type ManifestObject = {manifest: StoredManifest; version: number};

/** Limit of concurrent reads from the object API. */
const parallelReads = 8;

/** Computes the digest that addresses a chunk: SHA-256 in hex. */
export const computeDigest = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Builds the key of a chunk in the object API. */
export const buildChunkKey = (hash: string): string => `${objectKeys.chunkPrefix}${hash}`;

/** Parses the value of `config/manifest`; undefined when it does not match the schema. */
export const parseManifest = (value: unknown): StoredManifest | undefined => manifestSchema.safeParse(value).data;

/** Fetches the manifest in force; undefined before the first `config apply`. */
export const fetchManifest = async (access: PlatformAccess, effect: string): Promise<Result<ManifestObject | undefined, CommandFailure>> => {
	const object = await access.get(objectKeys.manifest);
	if (!object.ok) {
		return object.error.kind === 'not_found' ? createOk(undefined) : createReadFailure(access, object.error, effect);
	}

	const manifest = parseManifest(object.value.value);
	return manifest === undefined
		? createFailure(exitCodes.failure, `${objectKeys.manifest} in the object API is not a valid manifest; ${effect}`)
		: createOk({manifest, version: object.value.version});
};

/** Fetches chunks and verifies that their content matches their addresses. */
export const fetchChunks = async (access: PlatformAccess, hashes: readonly string[], effect: string): Promise<Result<ConfigurationChunk[], CommandFailure>> =>
	runLimited(hashes, parallelReads, async hash => {
		const object = await access.get(buildChunkKey(hash));
		if (!object.ok && object.error.kind !== 'not_found') {
			return createReadFailure(access, object.error, effect);
		}

		const chunk = object.ok ? chunkSchema.safeParse(object.value.value).data as ConfigurationChunk | undefined : undefined;
		return chunk !== undefined && verifyChunk(hash, chunk, computeDigest)
			? createOk(chunk)
			: createFailure(exitCodes.failure, `chunk ${hash} of the configuration is missing or its content does not match its hash; ${effect}`);
	});
