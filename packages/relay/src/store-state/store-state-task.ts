import {
	FreshnessTracker, RouteTable, type ClockReading, type TrafficConfiguration,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {WatchedState} from '@knapweedrack/entry/object-watch';
import type {
	RegisteredEntry, RegisteredServer, RelayBounds, StoreCodec, StoredQuarantine,
} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {StateSourceTask, WatchPlan} from '../state-feed/state-source-task.js';
import {createRecordDecoder} from './record-decoder.js';
import {OutdatedServers} from './outdated-servers.js';

/** Share of `settleMs` that a watch call for backend servers may wait, so that a silent connection is noticed in time. */
const watchWaitShare = 0.6;
/** Share of `leaveDomainMs` that a watch call for failure domains may wait; the rest covers a lost call and a new list call. */
const outageWaitShare = 0.5;
/** Wait of a watch call for entries, in ms; heartbeats show earlier whether an entry runs. */
const entryWaitMs = 10_000;
/** Wait of a watch call for quarantined content, in ms; entries also report it to each other. */
const quarantineWaitMs = 30_000;
/**
 * Share of `revocationMs` for which credentials are accepted after the store last confirmed the configuration. That time starts
 * when the store was queried, so the rest only covers the time between the check of a credential and the start of its request.
 */
const credentialAgeShare = 0.95;
/** Share of `revocationMs` that a watch call for the configuration may wait; its answers confirm credentials. */
const configurationWaitShare = 0.3;
/** Difference between the monotonic and the wall clock that is ignored, in ms; adjustments of the time of day stay below it. */
const clockToleranceMs = 300;
/** Interval at which the clocks are compared, in ms, so that a step of the wall clock does not hide a suspension before it. */
const clockCheckMs = 250;
/** Delay between two calls of a watch, in ms, so that a series of changes is read in one call. */
const minWatchIntervalMs = 10;
/**
 * Time after an outage of the store for which backend servers that it no longer lists stay in use, in ms. Their records may have
 * expired during the outage, and the servers are listed again within this time.
 */
const relistingGraceMs = 2000;

/** Names of the watches, also between entries. */
const watchNames = {
	configuration: 'configuration', servers: 'servers', outages: 'outages', entries: 'entries', quarantine: 'quarantine',
} as const;

/** Watches of objects whose writers write them again after the store has lost changes. */
const watchesWithOtherWriters: ReadonlySet<string> = new Set([watchNames.servers, watchNames.outages, watchNames.entries]);

/** Only the watch of the configuration retries often during an outage; its first answer makes the others retry at once, so that an outage costs few calls. */
const probeBackoffMs = 500;
const otherBackoffMs = 3000;

/** A registered backend server with the state that this entry derives for it; times are on the clock of the timer service, in ms. */
export type KnownServer = RegisteredServer & {
	/** Time until which the server counts as cold. */
	coldUntil: number;
	/** Time until which the server is used although the store no longer lists it; undefined while it is listed. */
	usableUntil: number | undefined;
};

/** Dependencies of the store state task. */
export type StoreStateOptions = {
	/** Id of this entry. */
	entryId: string;
	source: Pick<StateSourceTask, 'start' | 'confirmNow'>;
	codec: StoreCodec;
	timer: TimerService;
	log: DecisionLog;
	bounds: RelayBounds;
	/** Reads both clocks; the monotonic one is that of the timer service. */
	readClocks: () => ClockReading;
	/** True when a backend server itself has said that it leaves, whatever the store lists. */
	isLeaving: (server: RegisteredServer) => boolean;
	/** Called after a change of the set of backend servers. */
	notifyServers: (serverIds: ReadonlySet<string>) => void;
	/** Called after a new version of the configuration was applied. */
	notifyConfiguration: (table: RouteTable) => void;
	/** Called with the entries after each answer, and with its revision; `isRestored` when the store has lost changes. */
	notifyEntries: (entries: ReadonlyMap<string, RegisteredEntry>, list: {revision: number; isRestored: boolean}) => void;
	/** Called with all records of restricted content that the store holds, after each answer. */
	notifyQuarantine: (stored: readonly StoredQuarantine[]) => void;
};

/** Keeps the state of the store: configuration, backend servers, failure domains out of service, and entries. */
export class StoreStateTask {
	readonly #options: StoreStateOptions;
	readonly #credentials = new FreshnessTracker(clockToleranceMs);
	/** Latest state of each watch that was read, by its name. */
	readonly #latestStates = new Map<string, WatchedState>();
	#unsubscribe: (() => void) | undefined;
	#serversRegainedAt = Number.NEGATIVE_INFINITY;
	/** Time of the last list of each watch after the store had lost changes, by name of the watch. */
	readonly #restoredAt = new Map<string, number>();
	readonly #outdated = new OutdatedServers();
	#table: RouteTable | undefined;
	#servers = new Map<string, KnownServer>();
	#serversByService = new Map<string, KnownServer[]>();
	#outages: ReadonlySet<string> = new Set();
	#entries = new Map<string, RegisteredEntry>();
	#entryIds: readonly string[] = [];
	readonly #decodeServer: (id: string, value: unknown) => RegisteredServer | undefined;
	readonly #decodeEntry: (id: string, value: unknown) => RegisteredEntry | undefined;
	readonly #decodeStoredConfiguration: (key: string, value: unknown) => TrafficConfiguration | undefined;
	/** Latest version that was logged as invalid, by key of the record. */
	readonly #reportedVersions = new Map<string, number>();

	/** Handlers of the state of each watch. */
	readonly #handlers: Partial<Record<string, (state: WatchedState) => void>> = {
		[watchNames.configuration]: state => {
			this.#applyConfiguration(state);
		},
		[watchNames.servers]: state => {
			this.#applyServers(state);
		},
		[watchNames.outages]: state => {
			this.#applyOutages(state);
		},
		[watchNames.entries]: state => {
			this.#applyEntries(state);
		},
		[watchNames.quarantine]: state => {
			this.#applyQuarantine(state);
		},
	};

	constructor(options: StoreStateOptions) {
		this.#options = options;
		const {codec} = options;
		this.#decodeServer = createRecordDecoder((id, value) => codec.decodeServer(id, value));
		this.#decodeEntry = createRecordDecoder((id, value) => codec.decodeEntry(id, value));
		this.#decodeStoredConfiguration = createRecordDecoder((_key, value) => codec.decodeConfiguration(value));
	}

	/** Routes of the current configuration; undefined until it was read once. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	get entries(): ReadonlyMap<string, RegisteredEntry> {
		return this.#entries;
	}

	/** Ids of the registered entries; the same array until the entries change. */
	get entryIds(): readonly string[] {
		return this.#entryIds;
	}

	/** True once the configuration, the backend servers, the failure domains and the content that must not run were read. */
	get isLoaded(): boolean {
		return this.#table !== undefined && [watchNames.servers, watchNames.outages, watchNames.quarantine].every(name => this.#latestStates.has(name));
	}

	/** True while credentials of the current configuration may be accepted: the store confirmed it recently enough. */
	hasFreshCredentials(): boolean {
		const {bounds: {revocationMs}, readClocks} = this.#options;
		return this.#credentials.isFresh(readClocks(), revocationMs === undefined ? Number.POSITIVE_INFINITY : revocationMs * credentialAgeShare);
	}

	/** Time since the store last confirmed the configuration, in ms. */
	computeConfigurationAgeMs(): number {
		return this.#credentials.computeAgeMs(this.#options.readClocks());
	}

	/** Backend servers of a service that may receive new requests. */
	listUsableServers(service: string): KnownServer[] {
		return (this.#serversByService.get(service) ?? []).filter(server => this.isUsable(server));
	}

	/** All backend servers that the store lists and that may receive new requests. */
	listServers(): KnownServer[] {
		return [...this.#servers.values()].filter(server => this.isUsable(server));
	}

	/** True while a backend server may receive new requests: it is known, neither draining nor leaving, and its failure domain is in service. */
	isUsable({id, failureDomain}: {id: string; failureDomain: string}): boolean {
		const server = this.#servers.get(id);
		return server !== undefined && !server.isDraining && !this.#outages.has(failureDomain) && !this.#options.isLeaving(server)
			&& (server.usableUntil === undefined || this.#options.timer.now() < server.usableUntil);
	}

	/** Backend server with an id; undefined when the store does not list it. */
	findServer(serverId: string): KnownServer | undefined {
		return this.#servers.get(serverId);
	}

	/** Backend server at an address (`host:port`); undefined when there is none. */
	findServerByAddress(address: string): KnownServer | undefined {
		return [...this.#servers.values()].find(server => server.address === address);
	}

	get serverIds(): ReadonlySet<string> {
		return new Set(this.#servers.keys());
	}

	/** Starts all watches; resolves once the first read of each has succeeded or failed. */
	async start(): Promise<void> {
		const {source, timer, readClocks} = this.#options;
		this.#unsubscribe = timer.subscribe(clockCheckMs, () => {
			if (this.#credentials.checkClocks(readClocks())) {
				source.confirmNow();
			}
		});
		await source.start(this.#buildPlans(), {
			notify: (name, state) => {
				this.#applyState(name, state);
			},
			notifyRegained: (name, at) => {
				if (name === watchNames.servers) {
					this.#serversRegainedAt = at;
				}
			},
		});
	}

	stop(): void {
		this.#unsubscribe?.();
	}

	#buildPlans(): WatchPlan[] {
		const {bounds, codec} = this.#options;
		const waitMs = Math.round(bounds.settleMs * watchWaitShare);
		const configurationWaitMs = Math.min(waitMs, Math.round((bounds.revocationMs ?? Number.POSITIVE_INFINITY) * configurationWaitShare));
		const defaults = {
			minIntervalMs: minWatchIntervalMs, maxBackoffMs: otherBackoffMs, isProbe: false, isTimely: false, listsEntries: false,
		};
		return [
			{
				...defaults, name: watchNames.configuration, prefix: codec.configurationKey, waitMs: configurationWaitMs, maxBackoffMs: probeBackoffMs, isProbe: true, isTimely: true,
			},
			{
				...defaults, name: watchNames.servers, prefix: codec.serverPrefix, waitMs, isTimely: true,
			},
			{
				...defaults, name: watchNames.outages, prefix: codec.outagePrefix, waitMs: Math.round(bounds.leaveDomainMs * outageWaitShare), isTimely: true,
			},
			{
				...defaults, name: watchNames.entries, prefix: codec.entryPrefix, waitMs: entryWaitMs, listsEntries: true,
			},
			{
				...defaults, name: watchNames.quarantine, prefix: codec.quarantinePrefix, waitMs: quarantineWaitMs,
			},
		];
	}

	#applyState(name: string, state: WatchedState): void {
		this.#latestStates.set(name, state);
		if (state.isRestored && watchesWithOtherWriters.has(name)) {
			this.#handleRestore(name);
		}

		this.#handlers[name]?.(state);
	}

	#applyConfiguration({objects, sentAt, sentAtWall}: WatchedState): void {
		const {codec, log} = this.#options;
		const stored = objects.get(codec.configurationKey);
		if (stored === undefined) {
			return;
		}

		const configuration = this.#decodeConfiguration(stored);
		if (configuration === undefined) {
			return;
		}

		// An older version is never applied: it can be the late answer to a query that was sent before a newer version was read.
		const current = this.#table?.configuration.version ?? Number.NEGATIVE_INFINITY;
		if (configuration.version < current) {
			log.write('configuration.older', {version: configuration.version, inForce: current});
			return;
		}

		if (configuration.version > current) {
			this.#table = new RouteTable(configuration);
			this.#options.notifyConfiguration(this.#table);
			log.write('configuration.applied', {
				version: configuration.version, revision: stored.version, routes: configuration.routes.length, workspaces: configuration.workspaces?.length,
				unreadParts: configuration.unreadParts.length,
			});
			for (const part of configuration.unreadParts) {
				log.write('configuration.part_unread', {version: configuration.version, part});
			}
		}

		this.#credentials.confirm({monotonic: sentAt, wall: sentAtWall});
	}

	#decodeConfiguration(stored: {version: number; value: unknown}): TrafficConfiguration | undefined {
		const {codec} = this.#options;
		if (this.#reportedVersions.get(codec.configurationKey) === stored.version) {
			return undefined;
		}

		const configuration = this.#decodeStoredConfiguration(codec.configurationKey, stored.value);
		if (configuration === undefined) {
			this.#reportUnusableRecord(codec.configurationKey, stored.version);
		}

		return configuration;
	}

	/**
	 * After the store has lost changes, what is known and no longer listed counts for a while, until its writers have written it again;
	 * then the listed objects apply.
	 */
	#handleRestore(name: string): void {
		const {timer, log} = this.#options;
		log.write('store.restored', {watch: name});
		this.#restoredAt.set(name, timer.now());
		if (name === watchNames.servers) {
			this.#serversRegainedAt = timer.now();
		}

		timer.schedule(relistingGraceMs + 1, () => {
			this.#handlers[name]?.({...this.#latestStates.get(name)!, isRestored: false});
		});
	}

	#isRestoring(name: string): boolean {
		return this.#options.timer.now() - (this.#restoredAt.get(name) ?? Number.NEGATIVE_INFINITY) <= relistingGraceMs;
	}

	#applyServers({objects, isRestored}: WatchedState): void {
		const {codec, timer, notifyServers} = this.#options;
		const now = timer.now();
		const servers = new Map<string, KnownServer>();
		for (const [key, {version, value}] of objects) {
			const id = key.slice(codec.serverPrefix.length);
			const listed = this.#decodeServer(id, value);
			if (listed === undefined) {
				this.#reportUnusableRecord(key, version);
				continue;
			}

			const server = this.#outdated.apply(listed, {version, isRestored, known: this.#servers.get(id)});
			if (server === undefined) {
				continue;
			}

			const known = this.#servers.get(id);
			const coldUntil = now + server.coldForMs;
			servers.set(id, {
				...server, usableUntil: undefined, coldUntil: known?.coldForMs === server.coldForMs ? known.coldUntil : coldUntil,
			});
		}

		this.#reportServerChanges(servers);
		const usableUntil = this.#serversRegainedAt + relistingGraceMs;
		for (const [id, server] of this.#servers) {
			if (!servers.has(id) && now < usableUntil) {
				servers.set(id, {...server, usableUntil});
			}
		}

		this.#servers = servers;
		this.#serversByService = new Map();
		for (const server of servers.values()) {
			this.#serversByService.set(server.service, [...this.#serversByService.get(server.service) ?? [], server]);
		}

		notifyServers(this.serverIds);
	}

	#reportServerChanges(servers: ReadonlyMap<string, KnownServer>): void {
		const {log} = this.#options;
		for (const [id, server] of servers) {
			const known = this.#servers.get(id);
			if (known === undefined || known.usableUntil !== undefined || known.isDraining !== server.isDraining || known.service !== server.service || known.address !== server.address) {
				log.write('server.listed', {
					server: id, service: server.service, address: server.address, failureDomain: server.failureDomain, isDraining: server.isDraining, coldMs: server.coldForMs,
				});
			}
		}

		for (const [id, known] of this.#servers) {
			if (!servers.has(id) && known.usableUntil === undefined) {
				this.#outdated.recordGone(id, this.#options.timer.now());
				log.write('server.gone', {server: id, service: known.service});
			}
		}
	}

	#applyOutages({objects}: WatchedState): void {
		const {codec, log} = this.#options;
		const listed = [...objects.keys()].map(key => key.slice(codec.outagePrefix.length));
		const outages = new Set([...listed, ...(this.#isRestoring(watchNames.outages) ? this.#outages : [])]);
		for (const failureDomain of outages) {
			if (!this.#outages.has(failureDomain)) {
				log.write('failure_domain.out_of_service', {failureDomain});
			}
		}

		for (const failureDomain of this.#outages) {
			if (!outages.has(failureDomain)) {
				log.write('failure_domain.back', {failureDomain});
			}
		}

		this.#outages = outages;
	}

	#applyEntries({objects, revision, isRestored}: WatchedState): void {
		const {codec, notifyEntries} = this.#options;
		const entries = new Map<string, RegisteredEntry>();
		for (const [key, {version, value}] of objects) {
			const id = key.slice(codec.entryPrefix.length);
			const entry = this.#decodeEntry(id, value);
			if (entry === undefined) {
				this.#reportUnusableRecord(key, version);
				continue;
			}

			entries.set(id, entry);
		}

		if (this.#isRestoring(watchNames.entries)) {
			for (const [id, entry] of this.#entries) {
				// This entry must see that its own record is missing.
				if (id !== this.#options.entryId) {
					entries.set(id, entries.get(id) ?? entry);
				}
			}
		}

		this.#entries = entries;
		this.#entryIds = [...entries.keys()];
		notifyEntries(entries, {revision, isRestored});
	}

	#applyQuarantine({objects}: WatchedState): void {
		const {codec, notifyQuarantine} = this.#options;
		const stored: StoredQuarantine[] = [];
		for (const [key, {version, value}] of objects) {
			const quarantine = codec.decodeQuarantine(value);
			if (quarantine === undefined) {
				this.#reportUnusableRecord(key, version);
			} else {
				stored.push(quarantine);
			}
		}

		notifyQuarantine(stored);
	}

	/** Logs an invalid record once for each of its versions. */
	#reportUnusableRecord(key: string, version: number): void {
		if (this.#reportedVersions.get(key) !== version) {
			this.#reportedVersions.set(key, version);
			this.#options.log.write('record.unusable', {key, version});
		}
	}
}
