import createDebug from 'debug';
import {
	ConfigurationState, type Configuration, type ConfigurationChunk, type ConfigurationCommand, type ConfigurationEvent,
	type ConfigurationManifest, type Plan, type Workspace,
} from '@knapweedrack/core';
import {
	configurationChunkSchema, hashText, manifestSchema, objectKeys, offeredConfigurationSchema,
} from '@knapweedrack/protocol';
import type {ConfigurationView, Metrics, TimerService} from '../contracts.js';
import {counterNames} from '../metrics/metric-names.js';
import type {PeerClient} from '../peers/peer-client.js';
import type {MonitoredStore} from '../store/monitored-store.js';
import {ObjectWatch, type WatchedState} from '../store/object-watch.js';
import {createConfigurationView} from './configuration-view.js';

const debug = createDebug('knapweedrack:configuration');

/** Wait of one watch call, well below the freshness limit: an answer confirms the revision as of the time at which the call was sent. */
const manifestWatchMs = 3000;
const minManifestWatchIntervalMs = 100;
/** An accepted change must be in force within 11 s, even when a watch missed it. */
const manifestRelistMs = 4000;
const peerFetchTimeoutMs = 3000;
const chunkReadLimit = 8;

/** Dependencies of the configuration task. */
export type ConfigurationOptions = {
	store: MonitoredStore;
	timer: TimerService;
	metrics: Metrics;
	/** Peer with the highest known revision. */
	findNewestPeer: () => PeerClient | undefined;
};

/** Keeps the configuration in force; the highest revision wins and is never replaced by a lower one. */
export class ConfigurationTask {
	readonly #options: ConfigurationOptions;
	readonly #state = new ConfigurationState({digest: hashText});
	readonly #watch: ObjectWatch;
	#view: ConfigurationView | undefined;
	#workspaces: ReadonlyMap<string, Workspace> = new Map();
	#isFetching = false;

	constructor(options: ConfigurationOptions) {
		this.#options = options;
		const {store, timer, metrics} = options;
		this.#watch = new ObjectWatch({
			prefix: objectKeys.manifest, waitMs: manifestWatchMs, minIntervalMs: minManifestWatchIntervalMs, relistMs: manifestRelistMs, store, timer, metrics,
			notify: state => {
				void this.#acceptWatch(state);
			},
		});
	}

	get revision(): number {
		return this.#state.revision;
	}

	get view(): ConfigurationView | undefined {
		return this.#view;
	}

	/** Plan of a workspace in the configuration in force. */
	findPlan(workspaceId: string): Plan | undefined {
		const workspace = this.#workspaces.get(workspaceId);
		return workspace && this.#view?.getPlan(workspace.plan);
	}

	/** False when neither the object API nor a peer confirmed the revision recently. */
	isFresh(): boolean {
		return this.#state.isFresh(this.#options.timer.now());
	}

	/** Fetches the configuration from the object API and the given peers; resolves after the first answers, successful or not. */
	async start(peers: readonly PeerClient[]): Promise<void> {
		await Promise.all([this.#watch.start(), ...peers.map(async peer => this.#fetchFromPeer(peer))]);
	}

	/** Handles the revision in a peer's heartbeat, which was sent at `sentAt`; a higher revision is fetched. */
	async acceptRevision(revision: number, sentAt: number): Promise<void> {
		await this.#handle({type: 'revision', revision, sentAt});
	}

	/** Manifest and chunks as answered to `configuration.fetch` of a peer; undefined before the first manifest. */
	describe(): {manifest: ConfigurationManifest; chunks: Record<string, ConfigurationChunk>} | undefined {
		const {manifest} = this.#state;
		return manifest && {manifest, chunks: this.#state.listChunks()};
	}

	stop(): void {
		this.#watch.stop();
	}

	async #acceptWatch({objects, sentAt}: WatchedState): Promise<void> {
		const manifest = manifestSchema.safeParse(objects.get(objectKeys.manifest)?.value);
		if (manifest.success) {
			await this.#handle({type: 'manifest', manifest: manifest.data});
			await this.#handle({type: 'revision', revision: manifest.data.revision, sentAt});
		} else if (objects.has(objectKeys.manifest)) {
			this.#options.metrics.count(counterNames.configurationRejected);
			debug('the configuration manifest is invalid: %s', manifest.error.message);
		}
	}

	async #handle(event: ConfigurationEvent): Promise<void> {
		for (const command of this.#state.handle(event)) {
			await this.#run(command);
		}
	}

	async #run(command: ConfigurationCommand): Promise<void> {
		switch (command.type) {
			case 'fetch_manifest': {
				await this.#fetchOnce(async () => this.#fetchManifest());
				break;
			}

			case 'fetch_chunks': {
				await this.#fetchOnce(async () => this.#fetchChunks(command.hashes));
				break;
			}

			case 'apply': {
				this.#apply(command.configuration);
				break;
			}

			case 'corrupt_chunk': {
				this.#options.metrics.count(counterNames.configurationRejected);
				debug('the content of configuration chunk %s does not match its hash', command.hash);
				break;
			}
		}
	}

	#apply(configuration: Configuration): void {
		this.#view = createConfigurationView(configuration);
		this.#workspaces = new Map(configuration.workspaces.map(workspace => [workspace.id, workspace]));
		this.#options.metrics.count(counterNames.configurationApplied);
		debug('configuration revision %d is in force', configuration.revision);
	}

	/** Skips the fetch while another one runs; heartbeats repeat a new revision many times before its chunks have arrived. */
	async #fetchOnce(fetch: () => Promise<void>): Promise<void> {
		if (this.#isFetching) {
			return;
		}

		this.#isFetching = true;
		try {
			await fetch();
		} finally {
			this.#isFetching = false;
		}
	}

	async #fetchManifest(): Promise<void> {
		const result = await this.#options.store.get(objectKeys.manifest);
		const manifest = manifestSchema.safeParse(result.ok ? result.value.value : undefined);
		if (manifest.success && manifest.data.revision > this.revision) {
			this.#isFetching = false;
			await this.#handle({type: 'manifest', manifest: manifest.data});
			return;
		}

		await this.#fetchFromNewestPeer();
	}

	async #fetchChunks(hashes: readonly string[]): Promise<void> {
		let isComplete = true;
		for (let start = 0; start < hashes.length; start += chunkReadLimit) {
			const read = hashes.slice(start, start + chunkReadLimit).map(async hash => this.#fetchChunk(hash));
			const results = await Promise.all(read);
			isComplete &&= results.every(Boolean);
		}

		if (!isComplete) {
			await this.#fetchFromNewestPeer();
		}
	}

	async #fetchChunk(hash: string): Promise<boolean> {
		const result = await this.#options.store.get(`${objectKeys.chunkPrefix}${hash}`);
		const chunk = configurationChunkSchema.safeParse(result.ok ? result.value.value : undefined);
		if (chunk.success) {
			await this.#handle({type: 'chunk', hash, chunk: chunk.data});
		}

		return this.#state.hasChunk(hash);
	}

	async #fetchFromNewestPeer(): Promise<void> {
		const peer = this.#options.findNewestPeer();
		if (peer) {
			await this.#fetchFromPeer(peer);
		}
	}

	async #fetchFromPeer(peer: PeerClient): Promise<void> {
		const sentAt = this.#options.timer.now();
		const answer = await peer.run(peerFetchTimeoutMs, async (caller, signal) => caller.configuration.fetch.query(undefined, {signal}));
		const offered = offeredConfigurationSchema.safeParse(answer.ok ? answer.value : undefined);
		if (!offered.success) {
			return;
		}

		const {manifest, chunks} = offered.data;
		await this.#handle({type: 'manifest', manifest});
		for (const [hash, chunk] of Object.entries(chunks)) {
			await this.#handle({type: 'chunk', hash, chunk});
		}

		await this.#handle({type: 'revision', revision: manifest.revision, sentAt});
	}
}
