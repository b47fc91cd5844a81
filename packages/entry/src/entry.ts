import {randomUUID} from 'node:crypto';
import createDebug from 'debug';
import xxhash from 'xxhash-wasm';
import {createError, createOk} from '@knapweedrack/core';
import {createInstanceDirectory, createObjectStore, PlatformHttp} from '@knapweedrack/platform-client';
import {sharedStateSchema, type ProcessSettings} from '@knapweedrack/protocol';
import {createEngineClient} from './admission/engine-client.js';
import {startCallerServer, type CallerServer} from './callers/index.js';
import {AvailabilityTask} from './configuration/availability-task.js';
import {ConfigurationTask} from './configuration/configuration-task.js';
import type {EntryServices, StartResult} from './contracts.js';
import {entryListKeepMs} from './directory/entry-directory.js';
import {
	createEntryTasks, getRevisions, type EntryTasks, type TaskContext,
} from './entry-tasks.js';
import {createExplainLog} from './explain/explain-log.js';
import {createMetrics} from './metrics/metrics.js';
import type {PeerClient} from './peers/peer-client.js';
import {PeerClients} from './peers/peer-clients.js';
import {PeerSecrets} from './peers/peer-secrets.js';
import {startPeerServer, type PeerServer} from './peers/peer-server.js';
import {createPeerHandlers} from './peer-handlers.js';
import {exitCodes} from './settings/exit-codes.js';
import {watchPeerSecrets} from './settings/secret-reload.js';
import {createMonitoredStore} from './store/monitored-store.js';
import {createTimerService, waitFor, type ProcessTimer} from './timer/timer-service.js';

const debug = createDebug('knapweedrack:entry');

const sharedStateTimeoutMs = 2000;
const releaseTimeoutMs = 5000;
const drainCheckIntervalMs = 50;

/** Options in addition to the settings. */
export type EntryOptions = {
	/** Settings file whose peer secrets are read again when it changes. */
	settingsFile?: string | undefined;
};

/** A running entry. */
export type Entry = {
	/** `host:port` of the listener for callers. */
	callerAddress: string;
	/** `host:port` of the listener for other entries. */
	peerAddress: string;
	services: EntryServices;
	/** State of the entry, as answered to `operations.status`. */
	getStatus: () => Record<string, unknown>;
	/** Planned stop; an aborted signal ends the wait for open requests. Resolves when everything is closed. */
	stop: (abort?: AbortSignal) => Promise<void>;
};

/** Starts an entry: fetches the configuration, then serves. Fails when a listener cannot be opened. */
export const createEntry = async (settings: ProcessSettings, options: EntryOptions = {}): Promise<StartResult<Entry>> => {
	const process = new EntryProcess(settings, await createHash());
	return process.start(options);
};

const createHash = async () => {
	const {h32} = await xxhash();
	return (text: string) => h32(text);
};

class EntryProcess {
	readonly #timer: ProcessTimer = createTimerService();
	readonly #platform: PlatformHttp;
	readonly #secrets: PeerSecrets;
	readonly #explain = createExplainLog();
	readonly #metrics: ReturnType<typeof createMetrics>;
	readonly #context: TaskContext;
	readonly #unsubscribes: Array<() => void> = [];
	#tasks: EntryTasks | undefined;
	#peerServer: PeerServer | undefined;
	#stopping: Promise<void> | undefined;

	constructor(private readonly settings: ProcessSettings, hash: TaskContext['hash']) {
		const timer = this.#timer;
		this.#metrics = createMetrics(settings.metrics, settings.entryId);
		this.#platform = new PlatformHttp({address: settings.platform, instanceId: settings.entryId});
		this.#secrets = new PeerSecrets(settings.peerSecrets);
		const metrics = this.#metrics;
		const store = createMonitoredStore(createObjectStore(this.#platform), timer);
		const shared = {store, timer, metrics};
		this.#context = {
			...shared,
			settings,
			hash,
			epoch: randomUUID(),
			instances: createInstanceDirectory(this.#platform),
			engines: createEngineClient(timer),
			peers: new PeerClients({secrets: this.#secrets, timer, metrics}),
			configuration: new ConfigurationTask({...shared, findNewestPeer: () => this.#findNewestPeer('configurationRevision')}),
			availability: new AvailabilityTask({...shared, findNewestPeer: () => this.#findNewestPeer('availabilityRevision')}),
		};
	}

	async start({settingsFile}: EntryOptions): Promise<StartResult<Entry>> {
		const {configuration, availability, peers, metrics, timer} = this.#context;
		const handlers = createPeerHandlers({
			...this.#context,
			secrets: this.#secrets,
			explain: this.#explain,
			getTasks: () => this.#getTasks(),
			getStatus: () => this.#getStatus(),
		});
		const peerServer = await startPeerServer(this.settings.peerListener, handlers, {timer, metrics});
		if (!peerServer.ok) {
			await this.#closeConnections();
			return peerServer;
		}

		this.#peerServer = peerServer.value;
		const seeds = this.settings.seedPeers.filter(address => address !== peerServer.value.address).map(address => peers.get(address));
		await Promise.all([configuration.start(seeds), availability.start(seeds)]);
		const callerServer = await this.#startCallerServer();
		if (!callerServer.ok) {
			await this.#closeConnections();
			return callerServer;
		}

		await this.#startTasks(callerServer.value, peerServer.value, seeds);
		if (settingsFile !== undefined) {
			this.#unsubscribes.push(watchPeerSecrets(settingsFile, this.#secrets, timer));
		}

		return createOk({
			callerAddress: callerServer.value.address,
			peerAddress: peerServer.value.address,
			services: this.#services,
			getStatus: () => this.#getStatus(),
			stop: async abort => {
				this.#stopping ??= this.#stop(callerServer.value, abort);
				return this.#stopping;
			},
		});
	}

	async #startCallerServer(): Promise<StartResult<CallerServer>> {
		try {
			return createOk(await startCallerServer(this.#services, {address: this.settings.callerListener}));
		} catch (error) {
			return createError({exitCode: exitCodes.listen, message: `cannot listen for callers on ${this.settings.callerListener}: ${(error as Error).message}`});
		}
	}

	async #startTasks(callerServer: CallerServer, peerServer: PeerServer, seeds: readonly PeerClient[]): Promise<void> {
		this.#tasks = createEntryTasks(this.#context, {callerAddress: callerServer.address, peerAddress: peerServer.address});
		const {membership, ownership, admission, permits, limits, quarantine, summary} = this.#tasks;
		admission.start();
		const ownershipStarted = ownership.start();
		await Promise.all([membership.start(), ownershipStarted, quarantine.start()]);
		if (!this.#context.store.isReachable()) {
			await Promise.all(seeds.map(async seed => this.#addSharedState(seed)));
		}

		permits.start();
		limits.start();
		summary.start();
	}

	/** Adds the sessions and owner records of a seed peer; used at a start while the object API is down. */
	async #addSharedState(seed: PeerClient): Promise<void> {
		const answer = await seed.run(sharedStateTimeoutMs, async (caller, signal) => caller.operations.status.query(undefined, {signal}));
		const status = answer.ok ? answer.value as {shared?: unknown} : undefined;
		const shared = sharedStateSchema.safeParse(status?.shared);
		if (shared.success) {
			const {membership, ownership} = this.#getTasks();
			membership.addSessions(shared.data.sessions);
			ownership.addRecords(shared.data.owners);
		}
	}

	/**
	 * Removes this entry from the entry list and refuses new requests, waits until the lists that callers cache have expired
	 * and, at most for `gracePeriodMs`, until open requests have ended, releases the ownership and deletes the session. The
	 * peer listener closes last, because peers take a refused connection as a sign that the process has ended.
	 */
	async #stop(callerServer: CallerServer, abort: AbortSignal | undefined): Promise<void> {
		debug('planned stop started');
		const {membership, ownership, admission, permits, limits, quarantine, summary} = this.#getTasks();
		await membership.setStopping();
		await this.#waitFor(entryListKeepMs, abort);
		const deadline = this.#timer.now() + this.settings.gracePeriodMs;
		while (callerServer.countOpenRequests() > 0 && this.#timer.now() < deadline && !abort?.aborted) {
			await waitFor(this.#timer, drainCheckIntervalMs);
		}

		await callerServer.close();
		await summary.stop();
		await ownership.release(abort?.aborted ? 0 : releaseTimeoutMs);
		for (const task of [permits, limits, quarantine, admission, ownership]) {
			task.stop();
		}

		await membership.stop();
		this.#context.configuration.stop();
		this.#context.availability.stop();
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}

		await this.#closeConnections();
		debug('planned stop finished');
	}

	async #waitFor(delayMs: number, abort: AbortSignal | undefined): Promise<void> {
		const deadline = this.#timer.now() + delayMs;
		while (this.#timer.now() < deadline && !abort?.aborted) {
			await waitFor(this.#timer, drainCheckIntervalMs);
		}
	}

	async #closeConnections(): Promise<void> {
		await this.#context.peers.close();
		await this.#peerServer?.close();
		this.#timer.stop();
		await Promise.all([this.#platform.close(), this.#context.engines.close(), this.#metrics.close()]);
	}

	get #services(): EntryServices {
		const {settings: {entryId, failureDomain}, timer, metrics, store, configuration, availability} = this.#context;
		return {
			entryId,
			failureDomain,
			timer,
			metrics,
			store,
			configuration: {get: () => configuration.view, isFresh: () => configuration.isFresh()},
			availability: {get: () => availability.availability},
			membership: {
				listEntries: (model, workspaceId) => this.#getTasks().directory.listEntries(model, workspaceId),
				listBackendServers: serves => this.#getTasks().directory.listBackendServers(serves),
				isStopping: () => this.#getTasks().directory.isStopping(),
			},
			permits: {
				request: async request => this.#getTasks().permits.services.request(request),
				withdraw: request => {
					this.#getTasks().permits.services.withdraw(request);
				},
				recordFirstToken: permit => {
					this.#getTasks().permits.services.recordFirstToken(permit);
				},
				release: (permit, release) => {
					this.#getTasks().permits.services.release(permit, release);
				},
				isValid: permit => this.#getTasks().permits.services.isValid(permit),
				getFencingNumber: permit => this.#getTasks().permits.services.getFencingNumber(permit),
				getLoad: serverId => this.#getTasks().permits.services.getLoad(serverId),
				isOwned: serverId => this.#getTasks().permits.services.isOwned(serverId),
			},
			limits: {tryAdmit: async (workspace, plan, cost) => this.#getTasks().limits.services.tryAdmit(workspace, plan, cost)},
			quarantine: {
				check: async fingerprint => this.#getTasks().quarantine.services.check(fingerprint),
				report: async report => this.#getTasks().quarantine.services.report(report),
			},
			explain: this.#explain,
			summary: {
				record: record => {
					this.#getTasks().summary.services.record(record);
				},
			},
		};
	}

	#getTasks(): EntryTasks {
		if (!this.#tasks) {
			throw new Error('a call arrived before the tasks were created');
		}

		return this.#tasks;
	}

	#findNewestPeer(kind: 'configurationRevision' | 'availabilityRevision'): PeerClient | undefined {
		const newest = this.#tasks?.membership.findHighestRevision(kind);
		return newest && this.#tasks?.membership.findPeer(newest.entryId);
	}

	#getStatus(): Record<string, unknown> {
		const {settings: {entryId, failureDomain, region}, epoch, store, configuration, peers} = this.#context;
		const tasks = this.#tasks;
		return {
			entryId,
			epoch,
			failureDomain,
			region,
			state: tasks?.membership.isStopping ? 'stopping' : 'serving',
			reachesStore: store.isReachable(),
			...getRevisions(this.#context),
			isConfigurationFresh: configuration.isFresh(),
			liveEntries: tasks?.membership.listLiveSessions().map(session => session.entryId),
			backendServers: tasks?.admission.describe(),
			shared: {sessions: tasks?.membership.listSessions() ?? [], owners: tasks?.ownership.listRecords() ?? []},
			peerTraffic: {client: peers.measureTraffic(), server: this.#peerServer?.measureTraffic()},
			platformCalls: this.#platform.counters,
			totals: this.#metrics.getTotals(),
		};
	}
}
