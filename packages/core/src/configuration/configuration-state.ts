import type {Configuration} from '../types/configuration.js';
import {
	listMissingChunks, readConfiguration, verifyChunk, type ConfigurationChunk, type ConfigurationManifest, type Digest,
} from './chunks.js';

/** Input of `ConfigurationState`, from the object API or a peer. */
export type ConfigurationEvent =
	/** A manifest was read from the object API or a peer. */
	| {type: 'manifest'; manifest: ConfigurationManifest}
	| {type: 'chunk'; hash: string; chunk: ConfigurationChunk}
	/** The object API or a peer reported its current revision; `sentAt` is the time at which the query was sent. */
	| {type: 'revision'; revision: number; sentAt: number};

/** Actions for the task that fetches and applies the configuration of an entry. */
export type ConfigurationCommand =
	| {type: 'fetch_manifest'}
	| {type: 'fetch_chunks'; hashes: string[]}
	/** Use this configuration from now on. Its revision is higher than every one applied before. */
	| {type: 'apply'; configuration: Configuration; manifest: ConfigurationManifest}
	| {type: 'corrupt_chunk'; hash: string};

/** Digest function and time limit of a `ConfigurationState`. */
export type ConfigurationStateOptions = {
	digest: Digest;
	/** Time in ms after which an entry admits no requests if its revision was not confirmed. */
	freshnessLimitMs?: number;
};

/** Default of `freshnessLimitMs`; below the 11 s within which an accepted change must apply on every entry. */
export const configurationFreshnessMs = 10_000;

/** Decides which revision an entry applies, and whether that revision is recent enough to admit requests. */
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

	/** Applied revision; 0 before the first one. */
	get revision(): number {
		return this.#applied?.revision ?? 0;
	}

	get manifest(): ConfigurationManifest | undefined {
		return this.#applied;
	}

	/** Chunks of the applied manifest by content address, to answer peers. */
	listChunks(): Record<string, ConfigurationChunk> {
		const hashes = this.#applied?.chunks ?? [];
		return Object.fromEntries(hashes.map(hash => [hash, this.#chunks.get(hash)!]));
	}

	/** True when a chunk that matches its content address is held. */
	hasChunk(hash: string): boolean {
		return this.#chunks.has(hash);
	}

	/** True while the applied revision was confirmed as current within the time limit; once a higher revision is known, only that one can be confirmed. */
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

	/** A revision above the applied one is fetched. The applied revision is confirmed only while no higher one is known. */
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
