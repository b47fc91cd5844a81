import type {
	Configuration, Plan, ServiceDescription, Workspace,
} from '../types/configuration.js';
import {createError, createOk, type Result} from '../types/result.js';

/** Function that returns the digest of a text in lower-case hex, for example SHA-256. */
export type Digest = (text: string) => string;

/** Kinds of items; a chunk holds items of one kind. */
export const chunkKinds = ['plans', 'services', 'workspaces'] as const;
/** One value of `chunkKinds`; also the name of the list in `Configuration`. */
export type ChunkKind = (typeof chunkKinds)[number];

/** Items of one kind; stored in the object API under the digest of the canonical text of the chunk. */
export type ConfigurationChunk =
	| {kind: 'plans'; items: Plan[]}
	| {kind: 'services'; items: ServiceDescription[]}
	| {kind: 'workspaces'; items: Workspace[]};

/** A chunk with its canonical text and its content address, the digest of that text. */
export type AddressedChunk = {hash: string; text: string; chunk: ConfigurationChunk};

/** Current revision of the configuration and the list of its chunks; stored in the object API under one fixed key. */
export type ConfigurationManifest = {
	revision: number;
	/** Identifies the edit that wrote this revision. */
	editId: string;
	/** Edit ids of the latest revisions, newest first. They show whether an edit was applied when its reply was lost and others followed. */
	recentEditIds: string[];
	/** Content addresses of the chunks, by kind and then by key digest. */
	chunks: string[];
};

/** Why the chunks of a manifest cannot be assembled, with the content addresses of these chunks. */
export type ConfigurationReadFailure = {code: 'missing_chunks' | 'corrupt_chunk'; hashes: string[]};

/** Largest text of a chunk in bytes; items whose chunk would be larger are split over several chunks. */
export const chunkLimitBytes = 32_768;

/** Largest value in bytes that the object API stores. A single item above this limit cannot be stored. */
export const objectLimitBytes = 1_000_000;

/**
 * Splits the lists into chunks by the leading bits of each item's key digest. The chunk of an item does not depend on
 * its position in the list, so an edit of one item changes one chunk unless that chunk crosses the size limit.
 */
export const splitConfiguration = (
	configuration: Configuration,
	digest: Digest,
	limitBytes: number = chunkLimitBytes,
): AddressedChunk[] => {
	const lists: Record<ChunkKind, Array<Item<unknown>>> = {
		plans: toItems(configuration.plans, plan => plan.id, digest),
		services: toItems(configuration.services, service => service.name, digest),
		workspaces: toItems(configuration.workspaces, workspace => workspace.id, digest),
	};
	return chunkKinds.flatMap(kind => splitItems(lists[kind], 0, limitBytes).map(items => createChunk(kind, items, digest)));
};

/** Builds the manifest of the revision after `previous`, or of revision 1. */
export const buildManifest = (chunks: readonly AddressedChunk[], editId: string, previous?: ConfigurationManifest): ConfigurationManifest => ({
	revision: (previous?.revision ?? 0) + 1,
	editId,
	recentEditIds: [editId, ...previous?.recentEditIds ?? []].slice(0, recentEditLimit),
	chunks: chunks.map(({hash}) => hash),
});

/** Number of edit ids that a manifest lists. */
const recentEditLimit = 32;

/** Lists the content addresses in a manifest whose chunks are not in `held`. */
export const listMissingChunks = (manifest: ConfigurationManifest, held: {has: (hash: string) => boolean}): string[] =>
	manifest.chunks.filter(hash => !held.has(hash));

/** Assembles the configuration from the chunks of a manifest; fails if any is missing. Check the chunks with `verifyChunk` first. */
export const readConfiguration = (
	manifest: ConfigurationManifest,
	chunks: ReadonlyMap<string, ConfigurationChunk>,
): Result<Configuration, ConfigurationReadFailure> => {
	const missing = listMissingChunks(manifest, chunks);
	if (missing.length > 0) {
		return createError({code: 'missing_chunks', hashes: missing});
	}

	const configuration: Configuration = {
		revision: manifest.revision, plans: [], services: [], workspaces: [],
	};
	for (const hash of manifest.chunks) {
		addItems(configuration, chunks.get(hash)!);
	}

	return createOk(configuration);
};

/** Checks that the content of a chunk from the object API or a peer matches its content address. */
export const verifyChunk = (hash: string, chunk: ConfigurationChunk, digest: Digest): boolean =>
	digest(encodeCanonical(chunk)) === hash;

/** Encodes a value as JSON with sorted object keys, so that equal records have equal text. */
export const encodeCanonical = (value: unknown): string => JSON.stringify(value, (_key, nested: unknown) => {
	if (typeof nested !== 'object' || nested === null || Array.isArray(nested)) {
		return nested;
	}

	return Object.fromEntries(Object.entries(nested).sort(([a], [b]) => compareText(a, b)));
});

type Item<Value> = {key: string; digest: string; value: Value; bytes: number};

const toItems = <Value>(values: readonly Value[], getKey: (value: Value) => string, digest: Digest): Array<Item<Value>> =>
	values
		.map(value => {
			const key = getKey(value);
			return {
				key, digest: digest(key), value, bytes: countUtf8Bytes(encodeCanonical(value)) + 1,
			};
		})
		.sort((a, b) => compareText(a.key, b.key));

const splitItems = (items: Array<Item<unknown>>, depth: number, limitBytes: number): Array<Array<Item<unknown>>> => {
	if (items.length === 0) {
		return [];
	}

	const bytes = items.reduce((sum, item) => sum + item.bytes, chunkEnvelopeBytes);
	if (bytes <= limitBytes || items.length === 1) {
		return [items];
	}

	const lower = items.filter(item => !hasBit(item.digest, depth));
	const upper = items.filter(item => hasBit(item.digest, depth));
	return [lower, upper].flatMap(half => splitItems(half, depth + 1, limitBytes));
};

/** True when the bit at `index` of a hex digest is set, counted from the most significant bit. */
const hasBit = (digest: string, index: number): boolean => {
	const digit = Number.parseInt(digest[Math.floor(index / 4)] ?? '0', 16);
	return Math.floor(digit / (2 ** (3 - (index % 4)))) % 2 === 1;
};

/** Upper bound of the bytes around the items of a chunk: `{"items":[],"kind":"workspaces"}`. */
const chunkEnvelopeBytes = 32;

const createChunk = (kind: ChunkKind, items: Array<Item<unknown>>, digest: Digest): AddressedChunk => {
	const values: unknown = {kind, items: items.map(({value}) => value)};
	const chunk = values as ConfigurationChunk;
	const text = encodeCanonical(chunk);
	return {hash: digest(text), text, chunk};
};

const addItems = (configuration: Configuration, chunk: ConfigurationChunk): void => {
	(configuration[chunk.kind] as unknown[]).push(...chunk.items);
};

const compareText = (a: string, b: string): number => {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
};

const countUtf8Bytes = (text: string): number => new TextEncoder().encode(text).length;
