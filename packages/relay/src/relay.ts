import {randomBytes} from 'node:crypto';
import {
	computeConnectionLimit, computeMemoryLimits, memoryKinds, MemoryLedger, SharedRetryBudget, type ClockReading,
} from '@knapweedrack/core';
import {createTimerService, waitFor} from '@knapweedrack/entry/timer-service';
import type {ObjectStore} from '@knapweedrack/platform-client';
import type {
	EngineOrderCodec, RegisteredEntry, RelayBounds, RelaySettings, StoreCodec, WireCodec,
} from './contracts.js';
import {BackendConnections} from './exchange/backend-connections.js';
import {openTcpSocket, type SocketOpener} from './exchange/connection-opener.js';
import {SilentServerTask} from './exchange/silent-server-task.js';
import {BodyArrivals} from './front/body-arrivals.js';
import {FrontServer} from './front/front-server.js';
import {RefusalLog} from './front/refusal-log.js';
import type {RelayServices} from './front/relay-services.js';
import {FeedServer} from './state-feed/feed-server.js';
import {StateSourceTask} from './state-feed/state-source-task.js';
import {StoreStateTask} from './store-state/store-state-task.js';
import {RegistrationTask} from './store-state/registration-task.js';
import {createDecisionLog, type DecisionLog} from './logging/decision-log.js';
import {handleUnexpectedErrors, type ErrorSource} from './logging/unexpected-errors.js';
import {RelayMetrics, serveMetrics} from './metrics/relay-metrics.js';
import {PeerReportTask} from './peers/peer-report-task.js';
import {PlacementTask} from './placement/placement-task.js';
import {checkReplaced} from './quarantine/check-replaced.js';
import {CrashDetectionTask} from './quarantine/crash-detection-task.js';
import {QuarantineTask} from './quarantine/quarantine-task.js';
import {ReachabilityTask} from './tunnels/reachability-task.js';
import {ServerConnector} from './tunnels/server-connector.js';
import {TunnelServer} from './tunnels/tunnel-server.js';
import {WaitingTask} from './waiting/waiting-task.js';
import {ServerLimitTask} from './server-limits/server-limit-task.js';
import {ServerNoticeTask} from './server-notices/server-notice-task.js';

/** Time reserved at the end of the grace period for closing connections, in ms. */
const connectionCloseMs = 400;
/** Some callers cache the list of entries for up to this multiple of its lifetime. */
const staleListFactor = 3;
/** Share of the ready entries that must reach backend servers for callers to be sent to these alone. */
const minReachingShare = 0.25;
/** Time in which most entries of a system that starts have registered, in ms. */
const firstRegistrationMs = 150;
/** Time without an open request after which the process may stop, in ms. */
const idleBeforeStopMs = 300;

/** Dependencies of a relay; `log` defaults to a log on standard output, `openSocket` to TCP connections. */
export type RelayOptions = {
	settings: RelaySettings;
	store: ObjectStore;
	codec: StoreCodec;
	wire: WireCodec;
	orders: EngineOrderCodec;
	log?: DecisionLog;
	/** Opens the connections to backend servers. */
	openSocket?: SocketOpener;
};

/** A running relay process. */
export class Relay {
	/** Timer service shared by all tasks of the process. */
	readonly timer = createTimerService();
	readonly #options: RelayOptions;
	readonly #bounds: RelayBounds;
	readonly #log: DecisionLog;
	readonly #metrics = new RelayMetrics();
	readonly #stateSource: StateSourceTask;
	readonly #feedServer: FeedServer;
	readonly #storeState: StoreStateTask;
	readonly #placement: PlacementTask;
	readonly #waiting: WaitingTask;
	readonly #peers: PeerReportTask;
	readonly #registration: RegistrationTask;
	readonly #crashDetection: CrashDetectionTask;
	readonly #quarantine: QuarantineTask;
	readonly #serverLimits: ServerLimitTask;
	readonly #serverNotices: ServerNoticeTask;
	readonly #reachability: ReachabilityTask;
	readonly #tunnels: TunnelServer;
	readonly #connections: BackendConnections;
	readonly #budgets = new Map<string, SharedRetryBudget>();
	readonly #memory: MemoryLedger;
	readonly #bodyArrivals: BodyArrivals;
	readonly #front: FrontServer;
	/** Time at which the last earlier process of this entry may have ended, on the clock of the timer service. */
	readonly #startedAt: number;
	#stoppingSince: number | undefined;
	#stop: Promise<void> | undefined;
	/** Time at which a planned stop ends open requests, on the clock of the timer service, in ms. */
	#stopDeadline: number | undefined;

	constructor(options: RelayOptions) {
		this.#options = options;
		const {settings, store, codec, wire, openSocket = openTcpSocket} = options;
		this.#startedAt = settings.isFirstStart ? Number.NEGATIVE_INFINITY : this.timer.now();
		// All tasks share this object, so that `applySettings` takes effect at once.
		this.#bounds = {...settings.bounds};
		const bounds = this.#bounds;
		this.#memory = new MemoryLedger(computeMemoryLimits(settings.resources.memoryBytes));
		const {timer} = this;
		this.#bodyArrivals = new BodyArrivals(this.#memory, () => timer.now());
		this.#log = options.log ?? createDecisionLog(settings.entryId, () => timer.now());
		const log = this.#log;
		const metrics = this.#metrics;
		const getConnectTimeoutMs = (): number => this.#connections.connectTimeoutMs;
		this.#reachability = new ReachabilityTask({
			timer, bounds, log, metrics, openSocket, getConnectTimeoutMs, random: Math.random,
			listServers: () => this.#storeState.listServers(),
			notifyChange: () => {
				// What failed before was the link of this entry, not the servers.
				this.#placement.resetHealth();
				this.#connections.closeUnusable();
				this.#peers.notifyState();
			},
		});
		const connector = new ServerConnector({
			entryId: settings.entryId, metrics, openSocket, reachability: this.#reachability, random: Math.random,
			listTunnelPeers: () => this.#listTunnelPeers(),
		});
		const isRefusingRequests = (serverId: string): boolean => {
			const server = this.#storeState.findServer(serverId);
			return server !== undefined && this.#serverNotices.isRefusingRequests(server);
		};

		this.#connections = new BackendConnections({
			openConnection: async (server, options) => connector.open(server, options),
			isUsable: tunnelPeerId => connector.isUsable(tunnelPeerId),
			isRefusingRequests,
			confirmRunning: async server => this.#crashDetection.confirmRunning(server),
			notifyReceived: () => {
				this.#reachability.recordReceived();
			},
			notifyStaleAnswer(server, requestId) {
				metrics.countEvent('answer.stale_removed');
				log.write('answer.stale_removed', {server, requestId});
			},
		});
		this.#tunnels = new TunnelServer({
			timer, log, metrics, openSocket, reachability: this.#reachability, getConnectTimeoutMs,
			findServerByAddress: address => this.#storeState.findServerByAddress(address),
			isRefusingRequests,
			openHold: () => this.#memory.open({kind: memoryKinds.tunnel, workspace: undefined}),
			acceptUpgrade: (request, socket) => {
				this.#feedServer.accept(request, socket);
			},
		});
		const readClocks = (): ClockReading => ({monotonic: timer.now(), wall: Date.now()});
		this.#stateSource = new StateSourceTask({
			self: {id: settings.entryId, failureDomain: settings.failureDomain},
			store, timer, log, metrics, bounds, readClocks, random: Math.random, isFirstStart: settings.isFirstStart,
			listRunningPeers: () => this.#peers.listRunningPeers(),
			countFollowers: () => this.#feedServer.followers,
			publish: (watch, update) => {
				this.#feedServer.publish(watch, update);
			},
			closeFollowers: () => {
				this.#feedServer.closeFollowers();
			},
		});
		this.#feedServer = new FeedServer({
			timer, log, metrics, source: this.#stateSource,
		});
		this.#storeState = new StoreStateTask({
			entryId: settings.entryId,
			source: this.#stateSource, codec, timer, log, bounds, readClocks,
			isLeaving: server => this.#serverNotices.isLeaving(server),
			notifyServers: serverIds => {
				this.#placement.retain(serverIds);
				this.#connections.retain(serverIds);
				this.#crashDetection.handleServers();
				this.#serverLimits.retain(serverIds);
				this.#waiting.notifyRoom();
			},
			notifyEntries: (entries, list) => {
				this.#peers.applyEntries(entries);
				this.#registration.handleEntries(list);
			},
			notifyQuarantine: stored => {
				this.#quarantine.applyStored(stored);
			},
			notifyConfiguration: table => {
				this.#front.applyLimits(table.configuration.limits);
				this.#connections.setLongestDelay(Math.max(0, ...table.configuration.services.map(({longestDelayMs}) => longestDelayMs)));
			},
		});
		this.#serverLimits = new ServerLimitTask({
			entryId: settings.entryId, failureDomain: settings.failureDomain, timer, log, metrics,
			listServingPeers: () => this.#peers.listServingPeers(),
			sendLimitReport: (report, recipientId) => {
				this.#peers.sendLimitReport(report, recipientId);
			},
			isForwarder: failureDomain => this.#peers.isForwarder(failureDomain),
		});
		this.#serverNotices = new ServerNoticeTask({
			entryId: settings.entryId, failureDomain: settings.failureDomain, timer, log, metrics,
			listTunnelSenders: serverId => this.#tunnels.listSenders(serverId),
			sendNoticeReport: (report, recipientId) => {
				this.#peers.sendNoticeReport(report, recipientId);
			},
			isForwarder: failureDomain => this.#peers.isForwarder(failureDomain),
		});
		this.#placement = new PlacementTask({
			serverLimits: this.#serverLimits, serverNotices: this.#serverNotices,
			storeState: this.#storeState, timer, entryId: settings.entryId, failureDomain: settings.failureDomain, random: Math.random,
			listEntryIds: () => this.#storeState.entryIds,
			metrics, listSummaryDomains: () => this.#peers.summaryDomains,
			notifyLoad: serverId => {
				this.#peers.notifyLoad(serverId);
				this.#waiting.notifyRoom();
			},
		});
		this.#waiting = new WaitingTask({
			timer, log, metrics, placement: this.#placement,
			listServers: service => this.#storeState.listUsableServers(service).map(({id}) => id),
			countEntries: () => this.#countEntries(),
			listElsewhere: () => this.#peers.listWaitingElsewhere(),
			notifyWaiting: () => {
				this.#peers.notifyWaiting();
			},
		});
		const silentServers = new SilentServerTask(timer, ({serverId, requestIds, isNew}) => {
			this.#placement.recordSilence(serverId);
			if (isNew) {
				log.write('server.silent', {server: serverId, requestIds});
			}
		});
		const bootId = randomBytes(8).toString('hex');
		this.#peers = new PeerReportTask({
			entryId: settings.entryId, bootId, failureDomain: settings.failureDomain, callerAddress: settings.callerAddress,
			address: parseAddress(settings.peerAddress), timer, log, metrics, loads: this.#placement.loads,
			isReady: () => this.isReady(),
			isStopping: () => this.#stoppingSince !== undefined,
			isCutOff: () => !this.#reachability.isReaching,
			getVersion: () => this.#storeState.table?.configuration.version ?? 0,
			notifyStarted: entryId => {
				this.#quarantine.handleEntryStarted(entryId);
				this.#serverLimits.handleEntryStarted(entryId);
				this.#serverNotices.handleEntryStarted(entryId);
			},
			listWaiting: () => this.#waiting.listWaiting(),
			notifyReported: () => {
				this.#waiting.notifyReport();
			},
			acceptLimitReport: report => {
				this.#serverLimits.acceptLimitReport(report);
			},
			acceptNoticeReport: report => {
				this.#serverNotices.acceptNoticeReport(report);
			},
			acceptCrashReport: report => {
				this.#quarantine.acceptCrashReport(report);
			},
		});
		const self: RegisteredEntry = {
			id: settings.entryId, callerAddress: settings.callerAddress, peerAddress: settings.peerAddress, failureDomain: settings.failureDomain,
		};
		this.#registration = new RegistrationTask({
			self, bootId, store, codec, timer, log, storeState: this.#storeState, peers: this.#peers,
		});
		this.#crashDetection = new CrashDetectionTask({
			timer, metrics, connections: this.#connections, openSocket,
			confirmEnd: async server => connector.confirmEnd(server, getConnectTimeoutMs()),
			checkReplaced: async server => {
				const service = this.#storeState.findServer(server.id)?.service;
				const healthPath = service === undefined ? undefined : this.#storeState.table?.findService(service)?.healthPath;
				return healthPath !== undefined && checkReplaced({connections: this.#connections, wire}, {...server, healthPath});
			},
			findServer: serverId => this.#storeState.findServer(serverId),
			notifyCrash: (attempt, evidence) => {
				this.#quarantine.recordCrash(attempt, evidence);
			},
			notifyLoss: attempt => {
				this.#quarantine.recordLoss(attempt);
			},
			notifyChecked: ({attemptId}) => {
				this.#quarantine.withdrawLoss(attemptId);
			},
		});
		this.#quarantine = new QuarantineTask({
			entryId: settings.entryId, failureDomain: settings.failureDomain, store, codec, timer, log, metrics, detection: this.#crashDetection,
			sendCrashReport: (report, recipientId) => {
				this.#peers.sendCrashReport(report, recipientId);
			},
			isForwarder: failureDomain => this.#peers.isForwarder(failureDomain),
			isFirstServing: () => this.#registration.isFirstServing(),
			readWallClock: Date.now,
		});
		const services: RelayServices = {
			bounds, wire, timer, log, metrics, storeState: this.#storeState, placement: this.#placement, waiting: this.#waiting, connections: this.#connections, reachability: this.#reachability,
			orders: options.orders, silentServers,
			memory: this.#memory, bodyArrivals: this.#bodyArrivals, refusalLog: new RefusalLog(log, () => timer.now()),
			crashDetection: this.#crashDetection, quarantine: this.#quarantine, serverLimits: this.#serverLimits, serverNotices: this.#serverNotices,
			getBudget: service => this.#getBudget(service),
			countEntries: () => this.#countEntries(),
			computeConnectionLimit: () => this.#computeConnectionLimit(),
			getRestartedMs: () => settings.isFirstStart ? undefined : timer.now() - this.#startedAt,
			getStoppingMs: () => this.#stoppingSince === undefined ? undefined : timer.now() - this.#stoppingSince,
			getStopLeftMs: () => this.#stopDeadline === undefined ? undefined : this.#stopDeadline - timer.now(),
			random: Math.random,
		};
		this.#front = new FrontServer(services);
		this.#addGauges();
	}

	/** Opens the listeners, reads the store and registers this entry. */
	async start(): Promise<void> {
		const {settings} = this.#options;
		const {host, port} = parseAddress(settings.callerAddress);
		await this.#front.startListening(host, port);
		await this.#peers.start();
		const peerAddress = parseAddress(settings.peerAddress);
		await this.#tunnels.startListening(peerAddress.host, peerAddress.port);
		if (settings.metrics !== undefined) {
			serveMetrics(this.#metrics, {...parseAddress(settings.metrics.address), path: settings.metrics.path}).on('error', error => {
				this.#log.write('metrics.not_served', {address: settings.metrics?.address, message: error.message});
			});
		}

		this.#log.write('process.started', {
			callerAddress: settings.callerAddress, failureDomain: settings.failureDomain, isFirstStart: settings.isFirstStart, bounds: this.#bounds,
		});
		this.#quarantine.start();
		this.#serverLimits.start();
		this.#serverNotices.start();
		await this.#startFromStore();
	}

	/** True while this entry accepts callers: it is not stopping, has read the store and can verify credentials. */
	isReady(): boolean {
		return this.#stoppingSince === undefined && this.#storeState.isLoaded && this.#storeState.hasFreshCredentials();
	}

	/**
	 * Lists the `host:port` addresses that callers may use now, including this entry's. While most running entries are not ready,
	 * for example after an outage of the store, all running entries are listed, because the first few that become ready could not
	 * serve all callers. Entries that reach no backend server are left out while enough others do. An entry that has not read the list of entries knows only the peers that send it load reports.
	 */
	listCallerAddresses(): string[] {
		const {entryId, callerAddress} = this.#options.settings;
		if (this.#storeState.entries.size === 0) {
			return [...(this.isReady() ? [callerAddress] : []), ...this.#peers.listServingAddresses()];
		}

		const otherEntries = [...this.#storeState.entries.values()].filter(({id}) => id !== entryId);
		const running = otherEntries.filter(({id}) => this.#peers.isRunning(id)).map(entry => entry.callerAddress);
		const ready = otherEntries.filter(({id}) => this.#peers.isServing(id)).map(entry => entry.callerAddress);
		const reaching = otherEntries.filter(({id}) => this.#peers.isReachingServers(id)).map(entry => entry.callerAddress);
		const ownAddresses = this.#stoppingSince === undefined ? [callerAddress] : [];
		const readyOwnAddresses = this.isReady() ? ownAddresses : [];
		const reachingOwnAddresses = this.#reachability.isReaching ? readyOwnAddresses : [];
		const isMostReady = (readyOwnAddresses.length + ready.length) * 2 >= ownAddresses.length + running.length;
		if (!isMostReady) {
			return [...new Set([...ownAddresses, ...running])];
		}

		const allReady = [...new Set([...readyOwnAddresses, ...ready])];
		const allReaching = [...new Set([...reachingOwnAddresses, ...reaching])];
		return allReaching.length >= allReady.length * minReachingShare ? allReaching : allReady;
	}

	/** Time for which callers may cache the list of entries, in ms. */
	get entryListLifetimeMs(): number {
		return this.#bounds.entryListLifetimeMs;
	}

	/** Applies the bounds of changed settings; changed addresses take effect only after a restart. */
	applySettings(settings: RelaySettings): void {
		Object.assign(this.#bounds, settings.bounds);
		const {callerAddress, peerAddress, storeAddress} = this.#options.settings;
		const needsRestart = settings.callerAddress !== callerAddress || settings.peerAddress !== peerAddress || settings.storeAddress !== storeAddress;
		this.#log.write('settings.applied', {bounds: settings.bounds, needsRestart});
	}

	/** Keeps the process running after an error that nothing has caught; `end` is called after a series of them. */
	handleUnexpectedErrors(source: ErrorSource, end: (message: string) => void): void {
		handleUnexpectedErrors(source, {
			log: this.#log, now: () => this.timer.now(), end,
			count: () => {
				this.#metrics.countEvent('process.unexpected_error');
			},
		});
	}

	/** Logs that new settings are invalid; the current settings stay in force. */
	reportSettingsFailure(message: string): void {
		this.#log.write('settings.unusable', {message});
	}

	/**
	 * Stops the process as planned: leaves the lists of entries, still serves new requests for a while, then finishes open ones. Resolves
	 * at the end of the stop, also when one is under way.
	 */
	async stop(reason: string): Promise<void> {
		if (this.#stop !== undefined) {
			this.#log.write('process.already_stopping', {reason, openRequests: this.#front.openRequests});
		}

		this.#stop ??= this.#runStop(reason);
		return this.#stop;
	}

	async #runStop(reason: string): Promise<void> {
		const bounds = this.#bounds;
		const now = this.timer.now();
		const deadline = now + bounds.graceMs - connectionCloseMs;
		this.#stoppingSince = now;
		this.#stopDeadline = deadline;
		this.#log.write('process.stopping', {reason, openRequests: this.#front.openRequests});
		this.#peers.notifyState();
		// Followers have to find another reader before this process ends.
		this.#feedServer.close();
		void this.#registration.stop();
		await waitFor(this.timer, Math.min(bounds.entryListLifetimeMs * staleListFactor, (deadline - now) / 2));
		// Requests arrive on kept connections until the front closes, so the wait for them comes last.
		do {
			await this.#tunnels.waitUntilClosed(deadline);
			await this.#front.waitUntilIdle(idleBeforeStopMs, deadline);
		} while (this.#tunnels.size > 0 && this.timer.now() < deadline);

		await this.#front.refuseWaiting();
		this.#log.write('process.stopped', {openRequests: this.#front.openRequests});
		this.#front.close();
		this.#tunnels.close();
		this.#stateSource.stop();
		this.#storeState.stop();
		this.#quarantine.stop();
		this.#serverLimits.stop();
		this.#serverNotices.stop();
		this.#peers.close();
		await this.#connections.close();
		this.timer.stop();
		this.#log.flush();
	}

	/**
	 * Registers this entry and gets the state of the store. When the whole system starts, entries register first, so that the list of
	 * entries that each of them reads is nearly complete and names the readers.
	 */
	async #startFromStore(): Promise<void> {
		if (this.#options.settings.isFirstStart) {
			if (await this.#registration.start()) {
				await waitFor(this.timer, firstRegistrationMs);
			}

			await this.#storeState.start();
		} else {
			await this.#storeState.start();
			void this.#registration.start();
		}
	}

	/** Lists the entries that may pass on connections of this one: those in its region, which may receive the bodies of its callers. */
	#listTunnelPeers(): RegisteredEntry[] {
		const {regionDomains} = this.#options.settings;
		return this.#peers.listReachingPeers().filter(({failureDomain}) => regionDomains?.has(failureDomain) ?? true);
	}

	#computeConnectionLimit(): number {
		const maxByService = new Map((this.#storeState.table?.configuration.services ?? []).map(({name, maxConnections}) => [name, maxConnections]));
		const serverConnections = this.#storeState.listServers().reduce((sum, {service}) => sum + (maxByService.get(service) ?? 0), 0);
		return computeConnectionLimit({
			descriptors: this.#options.settings.resources.descriptors, serverConnections, peers: this.#countEntries() - 1,
			headBytes: this.#memory.limits.workspaceBytes.head,
		});
	}

	#countEntries(): number {
		return Math.max(1, this.#storeState.entries.size);
	}

	#getBudget(service: string): SharedRetryBudget {
		const {retryRatio, retrySlack, retryWindowMs} = this.#bounds;
		const budget = this.#budgets.get(service) ?? new SharedRetryBudget(this.#startedAt);
		budget.setBound({ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs});
		this.#budgets.set(service, budget);
		return budget;
	}

	#addGauges(): void {
		const metrics = this.#metrics;
		metrics.addGauge('reaches_servers', () => this.#reachability.isReaching ? 1 : 0);
		metrics.addGauge('open_tunnels', () => this.#tunnels.size);
		metrics.addGauge('state_followers', () => this.#feedServer.followers);
		metrics.addGauge('reads_store', () => this.#stateSource.readerId === undefined ? 1 : 0);
		for (const kind of Object.values(memoryKinds)) {
			metrics.addGauge(`held_bytes_${kind}`, () => this.#memory.getHeldBytes(kind));
		}

		metrics.addGauge('arriving_body_bytes', () => this.#bodyArrivals.heldBytes);
		for (const state of ['busy', 'idle', 'head'] as const) {
			metrics.addGauge(`connections_${state}`, () => this.#front.countConnections()[state]);
		}

		metrics.addGauge('open_requests', () => this.#front.openRequests);
		metrics.addGauge('requests', () => this.#front.totalRequests);
		metrics.addGauge('waiting_requests', () => this.#waiting.size);
		metrics.addLabelledGauge('largest_waiting', ['service', 'urgency', 'workspace'], () => this.#waiting.listLargest().map(({requests, ...labels}) => ({labels, value: requests})));
		metrics.addGauge('entries', () => this.#storeState.entries.size);
		metrics.addGauge('backend_servers', () => this.#storeState.serverIds.size);
		metrics.addGauge('configuration_version', () => this.#storeState.table?.configuration.version ?? 0);
		metrics.addGauge('contents_with_crashes', () => this.#quarantine.size);
		metrics.addGauge('log_lines_omitted', () => this.#log.getOmitted());
	}
}

const parseAddress = (address: string): {host: string; port: number} => {
	const [host = '', port = '0'] = address.split(':');
	return {host, port: Number(port)};
};
