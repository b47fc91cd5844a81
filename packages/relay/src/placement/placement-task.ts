import {
	BalanceWindow, ColdArrivalGate, ColdShareTable, computePromptValue, computeRequestShare, healthSignals, LoadTable, selectPlacement, ServerHealth, spreadCandidates,
	type EngineProfile, type ListedCandidate, type PlacementCandidate, type PlacementDecision, type PromptDemand, type HealthSignal, type ServerWork, type Service,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {ReservedPart} from '../exchange/memory-reservation.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {ServerLimitTask} from '../server-limits/server-limit-task.js';
import type {ServerNoticeTask} from '../server-notices/server-notice-task.js';
import type {StoreStateTask, KnownServer} from '../store-state/store-state-task.js';

/**
 * Penalty of a backend server in another failure domain, in ms: about one round trip, so that it decides only between
 * otherwise equal servers.
 */
const otherDomainPenaltyMs = 3;
/** Penalty of a backend server that fails all requests, in ms; scaled by the share of failed requests. */
const failurePenaltyMs = 1500;
/** Penalty of a backend server that is paused after a loss, in ms; large enough that the server is used only when there is no other. */
const pausePenaltyMs = 5000;
/** Penalty of a cold backend server, in ms: the extra time that a cold engine needs for its first requests. */
const coldPenaltyMs = 300;
/** Time for which the share of this failure domain in the known requests is used, in ms; the interval of the summaries it is computed from. */
const requestShareLifetimeMs = 200;
/** Assumed duration of a request on a service without engines, in ms; only used to rank backend servers by load. */
const plainWorkMs = 20;

/** Backend servers selected for a request, whose load is counted until `release`. */
export type PlacedRequest = {
	server: KnownServer;
	helpers: KnownServer[];
	/** Memory to reserve on helpers before the request is sent. */
	reservations: ReservedPart[];
	predictedFirstTokenMs: number;
	/**
	 * Load that the decision was based on, by backend server: requests, requests in decode, prefill time and predicted end of the
	 * prefill, both in ms.
	 */
	inputs: Array<[serverId: string, requests: number, decodingRequests: number, prefillMs: number, endMs: number]>;
	/** Removes the load that the request added. */
	release: () => void;
	/** Records the first token: the request now decodes, and helpers without reserved memory are done. */
	setDecoding: () => void;
};

/** Demand of a request, including its latency targets. */
export type PlacementDemand = PromptDemand & {
	/** Target for the inter-token latency, in ms; undefined for none. */
	pauseTargetMs: number | undefined;
};

/** Dependencies of the placement task. */
export type PlacementOptions = {
	serverLimits: Pick<ServerLimitTask, 'hasRoom' | 'isLimited' | 'consume'>;
	serverNotices: Pick<ServerNoticeTask, 'getHold' | 'isUnconfirmed' | 'recordSent'>;
	storeState: StoreStateTask;
	timer: TimerService;
	failureDomain: string;
	/** Returns a random number in [0, 1). */
	random: () => number;
	entryId: string;
	/** Ids of the entries that may be running, including this one once it is registered; the same array until the entries change. */
	listEntryIds: () => readonly string[];
	metrics: Pick<RelayMetrics, 'addLabelledGauge' | 'countCollision' | 'recordLoadAge'>;
	/** Sorted failure domains with running entries while their loads come in summaries; empty while reports are direct. */
	listSummaryDomains: () => readonly string[];
	/** Called when the load that this entry puts on a backend server has changed. */
	notifyLoad: (serverId: string) => void;
};

/** Selects backend servers for requests, and tracks their load and health. */
export class PlacementTask {
	readonly loads = new LoadTable();
	readonly #options: PlacementOptions;
	readonly #health = new ServerHealth();
	readonly #coldArrivals = new ColdArrivalGate();
	readonly #coldShares = new ColdShareTable();
	/** By service, the share of the known requests that this failure domain has sent. */
	readonly #requestShares = new Map<string, {value: number; computedAt: number}>();
	/** Samples of the load of all entries, by service. */
	readonly #windows = new Map<string, BalanceWindow>();

	constructor(options: PlacementOptions) {
		this.#options = options;
		options.metrics.addLabelledGauge('busiest_to_mean', ['service'], () => this.#listBusiestToMean());
	}

	/** Selects backend servers for a request; returns `wait` when one may accept it soon, undefined when none can. */
	place(service: Service, demand: PlacementDemand, excluded: ReadonlySet<string>): PlacedRequest | 'wait' | undefined {
		const {storeState, timer, serverLimits, serverNotices} = this.#options;
		const now = timer.now();
		const isAged = this.#options.listSummaryDomains().length > 0;
		const listed = storeState.listUsableServers(service.name);
		const usable = isAged ? sortServers(listed) : listed;
		const open = usable.filter(server => !excluded.has(server.id) && this.#isColdRequestAllowed(service, server, now)
			&& serverLimits.hasRoom(server) && serverNotices.getHold(server) === undefined);
		// A request that one server has turned away does not try another one that may do so, too.
		const confirmed = excluded.size === 0 ? open : open.filter(server => !serverNotices.isUnconfirmed(server));
		const servers = confirmed.length === 0 ? open : confirmed;
		const placed = service.engine === undefined
			? this.#placePlain(servers, now, isAged)
			: this.#placePrompt({service: service.name, profile: service.engine}, {listed: isAged ? usable : [], servers}, demand, now);
		if (placed !== undefined && placed !== 'wait' && isCold(service, placed.server, now)) {
			this.#coldArrivals.tryConsume(placed.server.id, now, this.#computeColdShare(service, placed.server));
		}

		if (placed !== undefined && placed !== 'wait') {
			serverLimits.consume(placed.server);
			serverNotices.recordSent(placed.server);
			this.#recordChoice(service.name, placed.server.id, now);
		}

		return placed;
	}

	/**
	 * True when a request that no backend server takes now could be placed before its deadline: on servers that have become idle and
	 * accept requests by then.
	 */
	canBePlacedLater(service: Service, demand: PlacementDemand, excluded: ReadonlySet<string>): boolean {
		const {storeState, serverNotices} = this.#options;
		const servers = storeState.listUsableServers(service.name).filter(server => !excluded.has(server.id) && (serverNotices.getHold(server)?.leftMs ?? 0) < demand.deadlineMs);
		if (service.engine === undefined) {
			return servers.length > 0;
		}

		const candidates = sortServers(servers).map((server): PlacementCandidate => ({
			id: server.id, load: idleLoads.computeLoad(server.id, 0), penaltyMs: 0, orderShift: 0,
		}));
		// A prompt whose wait is over is placed wherever it can finish in time.
		return selectPlacement(service.engine, candidates, {...demand, waitedMs: Number.MAX_SAFE_INTEGER}).type === 'place';
	}

	/** Records the outcome of an attempt for the health of its backend server. */
	recordSignal(serverId: string, signal: HealthSignal): void {
		this.#health.record(serverId, signal, this.#options.timer.now());
		if (signal === healthSignals.busy) {
			this.#countCollision(serverId);
		}
	}

	/** Records that a backend server is silent now; called repeatedly, it keeps the server paused while the silence lasts. */
	recordSilence(serverId: string): void {
		if (!this.#health.isPaused(serverId, this.#options.timer.now())) {
			this.recordSignal(serverId, healthSignals.lost);
		}
	}

	/** Forgets the health of all backend servers, after signals that had another cause. */
	resetHealth(): void {
		this.#health.retain(new Set());
	}

	/** Removes the state of all other backend servers. */
	retain(serverIds: ReadonlySet<string>): void {
		this.#health.retain(serverIds);
		this.#coldArrivals.retain(serverIds);
		this.#coldShares.retain(serverIds);
	}

	#recordChoice(service: string, serverId: string, now: number): void {
		const window = this.#windows.get(service) ?? new BalanceWindow();
		this.#windows.set(service, window);
		if (window.isDue(now)) {
			const servers = this.#options.storeState.listUsableServers(service);
			window.record(new Map(servers.map(({id}) => [id, this.loads.computeLoad(id, now).requests])), now);
		}

		const {ageMs} = this.loads.computeDomainRequests(serverId, now);
		if (ageMs !== undefined) {
			this.#options.metrics.recordLoadAge(service, ageMs);
		}
	}

	#listBusiestToMean(): Array<{labels: {service: string}; value: number}> {
		const now = this.#options.timer.now();
		return [...this.#windows].map(([service, window]) => ({labels: {service}, value: window.computeBusiestToMean(now)}));
	}

	#countCollision(serverId: string): void {
		const {storeState, timer, metrics} = this.#options;
		const service = storeState.findServer(serverId)?.service;
		const others = service === undefined ? [] : storeState.listUsableServers(service).filter(({id}) => id !== serverId);
		if (others.some(({id, slots}) => this.loads.computeLoad(id, timer.now()).requests < slots)) {
			metrics.countCollision(service!);
		}
	}

	/** Selects the least loaded server. Where figures are aged, servers that differ by less than one request are used alternately. */
	#placePlain(servers: readonly KnownServer[], now: number, isAged: boolean): PlacedRequest | undefined {
		const [best] = servers
			.map(server => {
				const {requests} = this.loads.computeLoad(server.id, now);
				const costMs = ((requests + 1) / server.slots * plainWorkMs) + this.#computePenaltyMs(server, now);
				return {server, costMs, rankMs: costMs + (isAged ? this.#options.random() * plainWorkMs / server.slots : 0)};
			})
			.toSorted((a, b) => a.rankMs - b.rankMs);
		if (best === undefined) {
			return undefined;
		}

		const work: ServerWork = {
			prefillTokens: 0, prefillMs: 0, memoryTokens: 0, contextTokens: 0, sentAt: now, firstTokenAt: now + plainWorkMs, isDecoding: false, isHelperPart: false,
			pauseTargetMs: undefined, targetMs: plainWorkMs, value: 0,
		};
		return this.#addWork({
			server: best.server, helpers: [], reservations: [], predictedFirstTokenMs: best.costMs, inputs: [],
		}, [[best.server.id, work]]);
	}

	#placePrompt(
		{service, profile}: {service: string; profile: EngineProfile},
		{listed, servers}: {listed: readonly KnownServer[]; servers: readonly KnownServer[]},
		demand: PlacementDemand,
		now: number,
	): PlacedRequest | 'wait' | undefined {
		const byId = new Map(servers.map(server => [server.id, server]));
		const listIndexes = new Map(listed.map(({id}, index) => [id, index]));
		const candidates = this.#spread({service, profile, listed}, sortServers(servers).map((server): ListedCandidate => ({
			id: server.id,
			load: this.loads.computeLoad(server.id, now),
			penaltyMs: this.#computePenaltyMs(server, now),
			orderShift: this.#options.random(),
			listIndex: listIndexes.get(server.id) ?? 0,
		})), now);
		const decision = this.#selectPlacement(profile, candidates, {servers: byId, demand});
		if (decision.type !== 'place') {
			return decision.type === 'wait' ? 'wait' : undefined;
		}

		const {placement} = decision;

		const reserved = new Map(placement.reservations.map(({serverId, tokens}) => [serverId, tokens]));
		const reservedTokens = placement.reservations.reduce((sum, {tokens}) => sum + tokens, 0);
		const work: ServerWork = {
			prefillTokens: placement.part.tokens,
			prefillMs: placement.part.prefillMs,
			memoryTokens: Math.max(0, demand.promptTokens + demand.outputTokens - reservedTokens),
			contextTokens: demand.promptTokens - reservedTokens,
			sentAt: now,
			firstTokenAt: now + placement.firstTokenMs,
			isDecoding: false,
			isHelperPart: false,
			pauseTargetMs: demand.pauseTargetMs,
			targetMs: demand.targetMs,
			value: computePromptValue(demand),
		};
		// A delay of one part delays the whole request, so each part has more than an equal share of the value. It has less than the full
		// value, because a new prompt often delays several parts at once.
		const partValue = work.value / Math.sqrt(placement.helperIds.length + 1);
		const helperWorks = placement.helperIds.map((id): [string, ServerWork] => [id, {
			...work, memoryTokens: reserved.get(id) ?? 0, contextTokens: 0, isHelperPart: true, value: partValue,
		}]);
		return this.#addWork(
			{
				server: byId.get(placement.serverId)!,
				helpers: placement.helperIds.map(id => byId.get(id)!),
				reservations: placement.reservations.map(({serverId, tokens}) => ({server: byId.get(serverId)!, tokens})),
				predictedFirstTokenMs: placement.firstTokenMs,
				inputs: [placement.serverId, ...placement.helperIds].map((id, index) => {
					const {requests, decodingRequests, prefillMs} = candidates.find(candidate => candidate.id === id)!.load;
					return [id, requests, decodingRequests, Math.round(prefillMs), Math.round(placement.endsMs[index]!)];
				}),
			},
			[[placement.serverId, work], ...helperWorks],
		);
	}

	/** Prepares candidates for figures that are aged; returns them unchanged while reports are direct. */
	#spread(
		{service, profile, listed}: {service: string; profile: EngineProfile; listed: readonly KnownServer[]},
		candidates: readonly ListedCandidate[],
		now: number,
	): readonly PlacementCandidate[] {
		const {listSummaryDomains, failureDomain, random} = this.#options;
		const domains = listSummaryDomains();
		if (domains.length === 0) {
			return candidates;
		}

		const known = this.#requestShares.get(service);
		const share = known !== undefined && now - known.computedAt < requestShareLifetimeMs
			? known
			: {value: this.#computeRequestShare(candidates, domains.length, now), computedAt: now};
		this.#requestShares.set(service, share);
		const place = {
			index: domains.indexOf(failureDomain), count: domains.length, requestShare: share.value, servers: listed.length,
		};
		return spreadCandidates(profile, candidates, {place, random});
	}

	#computeRequestShare(candidates: readonly PlacementCandidate[], domains: number, now: number): number {
		let requests = 0;
		let agedRequests = 0;
		for (const {id, load} of candidates) {
			requests += load.requests;
			agedRequests += this.loads.computeDomainRequests(id, now).requests;
		}

		return computeRequestShare(domains, {requests, agedRequests});
	}

	/** Selects a placement whose helpers name no limit: a part of a prompt loads a server like a request, but is not counted by it as one. */
	#selectPlacement(profile: EngineProfile, candidates: readonly PlacementCandidate[], {servers, demand}: {servers: ReadonlyMap<string, KnownServer>; demand: PlacementDemand}): PlacementDecision {
		const isLimited = (id: string): boolean => this.#options.serverLimits.isLimited(servers.get(id)!);
		const decision = selectPlacement(profile, candidates, demand);
		return decision.type === 'place' && decision.placement.helperIds.some(id => isLimited(id))
			? selectPlacement(profile, candidates.filter(({id}) => !isLimited(id)), demand)
			: decision;
	}

	#addWork(placed: Omit<PlacedRequest, 'release' | 'setDecoding'>, works: Array<[string, ServerWork]>): PlacedRequest {
		const {notifyLoad} = this.#options;
		let open = works.map(([serverId, work]) => ({serverId, key: this.loads.add(serverId, work), isOver: work.isHelperPart && work.memoryTokens === 0}));
		const remove = (entries: typeof open): void => {
			for (const {serverId, key} of entries) {
				this.loads.remove(serverId, key);
				notifyLoad(serverId);
			}
		};

		for (const {serverId} of open) {
			notifyLoad(serverId);
		}

		return {
			...placed,
			setDecoding: () => {
				remove(open.filter(({isOver}) => isOver));
				open = open.filter(({isOver}) => !isOver);
				for (const {serverId, key} of open) {
					this.loads.setDecoding(serverId, key);
					notifyLoad(serverId);
				}
			},
			release() {
				remove(open);
				open = [];
			},
		};
	}

	#computePenaltyMs(server: KnownServer, now: number): number {
		return (server.failureDomain === this.#options.failureDomain ? 0 : otherDomainPenaltyMs)
			+ (this.#health.isPaused(server.id, now) ? pausePenaltyMs : 0)
			+ (this.#health.getFailureShare(server.id, now) * failurePenaltyMs)
			+ (server.coldUntil > now ? coldPenaltyMs : 0);
	}

	#isColdRequestAllowed(service: Service, server: KnownServer, now: number): boolean {
		return !isCold(service, server, now) || this.#coldArrivals.hasRoom(server.id, now, this.#computeColdShare(service, server));
	}

	#computeColdShare(service: Service, server: KnownServer): number {
		const {entryId, listEntryIds} = this.#options;
		return this.#coldShares.computeShare(server.id, {requestsPerSecond: service.coldRequestsPerSecond, entryId, entryIds: listEntryIds()});
	}
}

/** Loads of engines without requests. */
const idleLoads = new LoadTable();

/** Sorts by id, which gives the same order on all entries. Ids are random, so neighbours are usually in different failure domains. */
const sortServers = (servers: readonly KnownServer[]): KnownServer[] => servers.toSorted((a, b) => a.id < b.id ? -1 : 1);

const isCold = (service: Service, server: KnownServer, now: number): boolean =>
	service.coldRequestsPerSecond > 0 && server.coldUntil > now;

