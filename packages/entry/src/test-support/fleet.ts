import {
	buildManifest, splitConfiguration, type Availability, type Configuration, type ConfigurationManifest, type PermitReply,
	type PermitRequest,
} from '@knapweedrack/core';
import {createObjectStore, PlatformHttp, type ObjectStore} from '@knapweedrack/platform-client';
import {
	hashText, objectKeys, type ListedInstance, type ProcessSettings,
} from '@knapweedrack/protocol';
import {
	startEngine, startPlatform, type EngineOptions, type StandIn,
} from '@knapweedrack/testkit';
import {createEntry, type Entry} from '../entry.js';

const model = 'truing-model';
const secret = 'a-secret-for-tests';
const checkIntervalMs = 25;

/** Platform and engine stand-ins and the entries of one test. */
export class Fleet {
	readonly engines = new Map<string, StandIn>();
	readonly entries = new Map<string, Entry>();
	#platform: StandIn | undefined;
	#http: PlatformHttp | undefined;
	#manifest: ConfigurationManifest | undefined;

	get platformAddress(): string {
		return this.#platform!.address;
	}

	get store(): ObjectStore {
		return createObjectStore(this.#http!);
	}

	async start(): Promise<void> {
		this.#platform = await startPlatform({listLagMs: 200});
		this.#http = new PlatformHttp({address: this.#platform.address});
	}

	async stop(): Promise<void> {
		await this.#post('faults', 'DELETE');
		const abort = AbortSignal.abort();
		await Promise.all([...this.entries.values()].map(async entry => entry.stop(abort)));
		await Promise.all([...this.engines.values()].map(async engine => engine.close()));
		await this.#http!.close();
		await this.#platform!.close();
	}

	/** Makes the platform fail or recover. */
	async setOutage(isDown: boolean): Promise<void> {
		await (isDown ? this.#post('faults', 'POST', {kind: 'down'}) : this.#post('faults', 'DELETE'));
	}

	/** Keeps watches of a prefix waiting without an answer. */
	async setSilentWatch(prefix: string): Promise<void> {
		await this.#post('faults', 'POST', {kind: 'watchCut', mode: 'silent', prefix});
	}

	async putConfiguration(change: Partial<Configuration> = {}): Promise<number> {
		const configuration: Configuration = {
			revision: 0,
			services: [],
			plans: [{
				id: 'large', models: [model], services: [], failureDomains: ['regina', 'saskatoon'], requestsPerSecond: 1000, tokensPerSecond: 1_000_000,
				concurrency: 100, longestPromptTokens: 1_000_000, firstTokenTargets: [{targetMs: 2000}], deadlineMs: 30_000, share: 1,
			}],
			workspaces: [{
				id: 'w1', plan: 'large', fleet: 'f', credentialDigests: [`sha256:${hashText('credential')}`],
			}],
			...change,
		};
		const chunks = splitConfiguration(configuration, hashText);
		this.#manifest = buildManifest(chunks, 'edit', this.#manifest);
		for (const {hash, chunk} of chunks) {
			await this.store.put(`${objectKeys.chunkPrefix}${hash}`, chunk);
		}

		await this.store.put(objectKeys.manifest, this.#manifest);
		return this.#manifest.revision;
	}

	async putAvailability(availability: Availability): Promise<void> {
		await this.store.put(objectKeys.availability, availability);
	}

	async startEngine(serverId: string, failureDomain: string, options: Partial<EngineOptions> = {}): Promise<void> {
		const engine = await startEngine({serverId, model, ...options});
		this.engines.set(serverId, engine);
		await this.putInstance({
			id: serverId, address: engine.address, kind: 'engine', failureDomain, serves: model, state: 'live',
		});
	}

	async putInstance(instance: ListedInstance): Promise<void> {
		await this.#post(`instances/${instance.id}`, 'PUT', instance);
	}

	buildSettings(entryId: string, failureDomain: string): ProcessSettings {
		return {
			entryId,
			failureDomain,
			region: 'prairie',
			callerListener: '127.0.0.1:0',
			peerListener: '127.0.0.1:0',
			platform: this.platformAddress,
			seedPeers: [...this.entries.values()].map(({peerAddress}) => peerAddress),
			peerSecrets: {current: secret, accepted: []},
			gracePeriodMs: 5000,
		};
	}

	async startEntry(entryId: string, failureDomain: string): Promise<Entry> {
		const result = await createEntry(this.buildSettings(entryId, failureDomain));
		if (!result.ok) {
			throw new Error(result.error.message);
		}

		this.entries.set(entryId, result.value);
		await this.putInstance({
			id: entryId, address: result.value.callerAddress, kind: 'entry', failureDomain, serves: '', state: 'live',
		});
		return result.value;
	}

	async #post(path: string, method: string, body?: unknown): Promise<void> {
		const response = await fetch(`http://${this.platformAddress}/testkit/${path}`, {
			method, headers: {'content-type': 'application/json'}, ...(body !== undefined && {body: JSON.stringify(body)}),
		});
		if (!response.ok) {
			throw new Error(`${method} ${path}: ${response.status} ${await response.text()}`);
		}
	}
}

/** Waits until a condition holds; fails with its description after `timeoutMs`. */
export const waitUntil = async (description: string, check: () => boolean | Promise<boolean>, timeoutMs = 15_000): Promise<void> => {
	const deadline = performance.now() + timeoutMs;
	while (!await check()) {
		if (performance.now() > deadline) {
			throw new Error(`not reached within ${timeoutMs} ms: ${description}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, checkIntervalMs);
		});
	}
};

let attempts = 0;

/** Builds a small permit request. */
export const buildRequest = (entryId: string, serverId: string, change: Partial<PermitRequest> = {}): PermitRequest => {
	attempts++;
	return {
		requestId: `r${attempts}`, attemptId: `a${attempts}`, entryId, serverId, workspaceId: 'w1', weight: 1, priority: 1, prefillTokens: 100,
		decodeTokens: 10, kvTokens: 110, deadlineInMs: 5000, firstTokenInMs: 2000, isSuspect: false, ...change,
	};
};

/** Requests a permit from an entry and releases it at once when granted. */
export const tryPermit = async (entry: Entry, serverId: string): Promise<PermitReply> => {
	const reply = await entry.services.permits.request(buildRequest(entry.services.entryId, serverId));
	if (reply.type === 'granted') {
		entry.services.permits.release(reply.permit, {result: 'completed'});
	}

	return reply;
};
