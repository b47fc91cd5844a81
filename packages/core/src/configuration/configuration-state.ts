import type {Configuration} from '../types/configuration.js';
import {
	listMissingChunks, readConfiguration, verifyChunk, type ConfigurationChunk, type ConfigurationManifest, type Digest,
} from './chunks.js';

/** Events of the configuration of one entry. */
export type ConfigurationEvent =
	/** A manifest read from the object API or a peer. */
	| {type: 'manifest'; manifest: ConfigurationManifest}
	| {type: 'chunk'; hash: string; chunk: ConfigurationChunk}
	/** The object API or a peer named its revision; `sentAt` is the sending time of the question. */
	| {type: 'revision'; revision: number; sentAt: number};

/** Commands of the configuration of one entry. */
export type ConfigurationCommand =
	| {type: 'fetch_manifest'}
	| {type: 'fetch_chunks'; hashes: string[]}
	/** Put into force; the revision is higher than all before. */
	| {type: 'apply'; configuration: Configuration; manifest: ConfigurationManifest}
	| {type: 'corrupt_chunk'; hash: string};

/** Options of the configuration state. */
export type ConfigurationStateOptions = {
	digest: Digest;
	/** Time in ms after which an entry without any confirmation stops admitting. */
	freshnessLimitMs?: number;
};

/** Below the 11 s within which an accepted change is in force everywhere. */
export const configurationFreshnessMs = 10_000;

/** Decides which revision is in force at one entry and whether it may still be used. */
export class ConfigurationState {
	#applied: ConfigurationManifest | undefined;
	#pending: ConfigurationManifest | undefined;
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#highestKnown = 0;
	readonly #chunks = new Map<string, ConfigurationChunk>();
	readonly #freshnessLimitMs: number;

	constructor(private readonly options: ConfigurationStateOptions) {
		this.#freshnessLimitMs = options.freshnessLimitMs ?? configurationFreshnessMs;
	}

	/** Revision in force; 0 before the first one. */
	get revision(): number {
		return this.#applied?.revision ?? 0;
	}

	get manifest(): ConfigurationManifest | undefined {
		return this.#applied;
	}

	/** Chunks of the manifest in force, for peers that ask. */
	listChunks(): Record<string, ConfigurationChunk> {
		const hashes = this.#applied?.chunks ?? [];
		return Object.fromEntries(hashes.map(hash => [hash, this.#chunks.get(hash)!]));
	}

	/** False when nobody confirmed the revision in force within the limit; the count starts when a higher one becomes known. */
	isFresh(now: number): boolean {
		return this.#applied !== undefined && now - this.#confirmedAt <= this.#freshnessLimitMs;
	}

	handle(event: ConfigurationEvent): ConfigurationCommand[] {
		switch (event.type) {
			case 'manifest': {
				return this.#acceptManifest(event.manifest);
			}

			case 'chunk': {
				return this.#acceptChunk(event.hash, event.chunk);
			}

			case 'revision': {
				return this.#acceptRevision(event.revision, event.sentAt);
			}
		}
	}

	#acceptManifest(manifest: ConfigurationManifest): ConfigurationCommand[] {
		const known = Math.max(this.revision, this.#pending?.revision ?? 0);
		if (manifest.revision <= known) {
			return [];
		}

		this.#pending = manifest;
		this.#highestKnown = Math.max(this.#highestKnown, manifest.revision);
		const missing = listMissingChunks(manifest, this.#chunks);
		return missing.length > 0 ? [{type: 'fetch_chunks', hashes: missing}] : this.#applyPending();
	}

	#acceptChunk(hash: string, chunk: ConfigurationChunk): ConfigurationCommand[] {
		if (!verifyChunk(hash, chunk, this.options.digest)) {
			return [{type: 'corrupt_chunk', hash}];
		}

		this.#chunks.set(hash, chunk);
		return this.#applyPending();
	}

	/** A lower revision than the highest known one confirms nothing; a higher one is fetched. */
	#acceptRevision(revision: number, sentAt: number): ConfigurationCommand[] {
		this.#highestKnown = Math.max(this.#highestKnown, revision);
		if (revision > this.revision) {
			return this.#fetchPending(revision);
		}

		if (revision === this.#highestKnown) {
			this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
		}

		return [];
	}

	#fetchPending(revision: number): ConfigurationCommand[] {
		if (this.#pending === undefined || this.#pending.revision < revision) {
			return [{type: 'fetch_manifest'}];
		}

		return [{type: 'fetch_chunks', hashes: listMissingChunks(this.#pending, this.#chunks)}];
	}

	#applyPending(): ConfigurationCommand[] {
		const manifest = this.#pending;
		const result = manifest && readConfiguration(manifest, this.#chunks);
		if (manifest === undefined || !result?.ok) {
			return [];
		}

		this.#applied = manifest;
		this.#pending = undefined;
		this.#removeUnusedChunks(manifest);
		return [{type: 'apply', configuration: result.value, manifest}];
	}

	#removeUnusedChunks(manifest: ConfigurationManifest): void {
		const used = new Set(manifest.chunks);
		for (const hash of this.#chunks.keys()) {
			if (!used.has(hash)) {
				this.#chunks.delete(hash);
			}
		}
	}
}
