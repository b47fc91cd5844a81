import {Buffer} from 'node:buffer';
import {
	buildManifest, splitConfiguration, type AddressedChunk, type ConfigurationChunk,
} from '@knapweedrack/core';
import type {ConfigurationLists} from '@knapweedrack/protocol';
import {addEdit} from '../platform/edit-record.js';
import {
	describeChanges, listChanges, mergeChunks, type ItemChange,
} from './diff-configuration.js';
import {computeDigest, type StoredManifest} from './stored-manifest.js';

/** What `config apply` has to write on top of the manifest in force. */
export type ApplyPlan = {
	base: StoredManifest | undefined;
	chunks: AddressedChunk[];
	/** Chunks that the manifest in force does not reference. */
	newChunks: AddressedChunk[];
	/** Chunk hashes that only the manifest in force references. */
	replacedHashes: string[];
	isChanged: boolean;
};

/** Computes which chunks to write; unchanged chunks are not written again. */
export const computeApplyPlan = (lists: ConfigurationLists, base: StoredManifest | undefined): ApplyPlan => {
	const chunks = splitConfiguration({revision: (base?.revision ?? 0) + 1, ...lists}, computeDigest);
	const baseHashes = new Set(base?.chunks);
	const newHashes = new Set(chunks.map(({hash}) => hash));
	const newChunks = chunks.filter(({hash}) => !baseHashes.has(hash));
	const replacedHashes = [...baseHashes].filter(hash => !newHashes.has(hash));
	return {
		base, chunks, newChunks, replacedHashes, isChanged: base === undefined || newChunks.length > 0 || replacedHashes.length > 0,
	};
};

/** Lists the changed items. Chunks that both manifests reference are skipped, since their items are equal. */
export const listPlanChanges = (plan: ApplyPlan, replaced: readonly ConfigurationChunk[]): ItemChange[] =>
	listChanges(mergeChunks(replaced), mergeChunks(plan.newChunks.map(({chunk}) => chunk)));

/** Builds the manifest of the plan, with the record of its edit. */
export const buildStoredManifest = (plan: ApplyPlan, changes: readonly ItemChange[], edit: {editId: string; author: string}): StoredManifest => {
	const manifest = buildManifest(plan.chunks, edit.editId, plan.base);
	return {
		...manifest,
		edits: addEdit(plan.base?.edits ?? [], {revision: manifest.revision, ...edit, summary: describeChanges(changes)}),
	};
};

/** Counts the UTF-8 bytes of a text, as it is written to the object API. */
export const countBytes = (text: string): number => Buffer.byteLength(text);
