import {
	ColdArrivalGate, computePromptValue, LoadTable, selectPlacement, ServerHealth,
	type EngineProfile, type PlacementCandidate, type PromptDemand, type ServerSign, type ServerWork, type Service,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {ReservedPart} from '../exchange/memory-reservation.js';
import type {StoreStateTask, KnownServer} from '../store-state/store-state-task.js';

/** Preference for the own failure domain where backend servers are otherwise equal, in ms; about one round trip. */
const otherDomainPenaltyMs = 3;
/** Penalty of a backend server that fails all requests, in ms. */
const failurePenaltyMs = 1500;
/** Penalty of a backend server in a pause after a loss; it is used when there is no other. */
const pausePenaltyMs = 5000;
/** Extra time of a cold engine for its first requests, in ms. */
const coldPenaltyMs = 300;
/** Duration of a request on a plain service that orders backend servers by load, in ms. */
const plainWorkMs = 20;

/** Where a request is sent, with what it adds to the load there. */
export type PlacedRequest = {
	server: KnownServer;
	helpers: KnownServer[];
	/** Memory to reserve on helpers before the request is sent. */
	reservations: ReservedPart[];
	predictedFirstTokenMs: number;
	/** Load that decided, by backend server: requests, of these writing, ms to read, predicted end of reading in ms. */
	inputs: Array<[serverId: string, requests: number, writers: number, readMs: number, endMs: number]>;
	/** Releases the load that the request added. */
	release: () => void;
	/** Notes the first token. */
	setWriting: () => void;
};

/** What a request asks of a backend server. */
export type PlacementDemand = PromptDemand & {
	/** Longest pause of the stream that is still on time, in ms. */
	pauseTargetMs: number | undefined;
};

/** What the task needs. */
export type PlacementOptions = {
	storeState: StoreStateTask;
	timer: TimerService;
	failureDomain: string;
	/** In [0, 1). */
	random: () => number;
	/** Entries that may be alive, this one included. */
	countEntries: () => number;
	/** Called when the own load of a backend server has changed. */
	notifyLoad: (serverId: string) => void;
};

/** Selects backend servers and keeps what is known about their load and health. */
export class PlacementTask {
	readonly loads = new LoadTable();
	readonly #options: PlacementOptions;
	readonly #health = new ServerHealth();
	readonly #coldArrivals = new ColdArrivalGate();

	constructor(options: PlacementOptions) {
		this.#options = options;
	}

	/** Selects backend servers for a request; undefined when none may take it, `wait` when one may soon. */
	place(service: Service, demand: PlacementDemand, excluded: ReadonlySet<string>): PlacedRequest | 'wait' | undefined {
		const {storeState, timer} = this.#options;
		const now = timer.now();
		const usable = storeState.listUsableServers(service.name);
		const servers = usable.filter(server => !excluded.has(server.id) && this.#isColdRequestAllowed(service, server, now));
		const placed = service.engine === undefined
			? this.#placePlain(servers, now)
			: this.#placePrompt(service.engine, servers, demand, now);
		if (placed !== undefined && placed !== 'wait' && isCold(service, placed.server, now)) {
			this.#coldArrivals.tryConsume(placed.server.id, now, this.#getColdBound(service));
		}

		return placed;
	}

	/** Records what an attempt showed about a backend server. */
	recordSign(serverId: string, sign: ServerSign): void {
		this.#health.record(serverId, sign, this.#options.timer.now());
	}

	/** Forgets backend servers that no longer exist. */
	retain(serverIds: ReadonlySet<string>): void {
		this.#health.retain(serverIds);
		this.#coldArrivals.retain(serverIds);
	}

	#placePlain(servers: readonly KnownServer[], now: number): PlacedRequest | undefined {
		const [best] = servers
			.map(server => {
				const {requests} = this.loads.computeLoad(server.id, now);
				return {server, costMs: ((requests + 1) / server.slots * plainWorkMs) + this.#computePenaltyMs(server, now)};
			})
			.toSorted((a, b) => a.costMs - b.costMs);
		if (best === undefined) {
			return undefined;
		}

		const work: ServerWork = {
			readTokens: 0, readMs: 0, memoryTokens: 0, contextTokens: 0, sentAt: now, firstTokenAt: now + plainWorkMs, isWriting: false, isHelp: false,
			pauseTargetMs: undefined, targetMs: plainWorkMs, value: 0,
		};
		return this.#addWork({
			server: best.server, helpers: [], reservations: [], predictedFirstTokenMs: best.costMs, inputs: [],
		}, [[best.server.id, work]]);
	}

	#placePrompt(profile: EngineProfile, servers: readonly KnownServer[], demand: PlacementDemand, now: number): PlacedRequest | 'wait' | undefined {
		const byId = new Map(servers.map(server => [server.id, server]));
		const candidates = sortServers(servers).map((server): PlacementCandidate => ({
			id: server.id,
			load: this.loads.computeLoad(server.id, now),
			penaltyMs: this.#computePenaltyMs(server, now),
			orderShift: this.#options.random(),
		}));
		const decision = selectPlacement(profile, candidates, demand);
		if (decision.type !== 'place') {
			return decision.type === 'wait' ? 'wait' : undefined;
		}

		const {placement} = decision;

		const reserved = new Map(placement.reservations.map(({serverId, tokens}) => [serverId, tokens]));
		const reservedTokens = placement.reservations.reduce((sum, {tokens}) => sum + tokens, 0);
		const work: ServerWork = {
			readTokens: placement.part.tokens,
			readMs: placement.part.readMs,
			memoryTokens: Math.max(0, demand.promptTokens + demand.outputTokens - reservedTokens),
			contextTokens: demand.promptTokens - reservedTokens,
			sentAt: now,
			firstTokenAt: now + placement.firstTokenMs,
			isWriting: false,
			isHelp: false,
			pauseTargetMs: demand.pauseTargetMs,
			targetMs: demand.targetMs,
			value: computePromptValue(demand),
		};
		// A delay of any part delays the whole request; a new prompt often delays several parts of it at once.
		const partValue = work.value / Math.sqrt(placement.helperIds.length + 1);
		const helps = placement.helperIds.map((id): [string, ServerWork] => [id, {
			...work, memoryTokens: reserved.get(id) ?? 0, contextTokens: 0, isHelp: true, value: partValue,
		}]);
		return this.#addWork(
			{
				server: byId.get(placement.serverId)!,
				helpers: placement.helperIds.map(id => byId.get(id)!),
				reservations: placement.reservations.map(({serverId, tokens}) => ({server: byId.get(serverId)!, tokens})),
				predictedFirstTokenMs: placement.firstTokenMs,
				inputs: [placement.serverId, ...placement.helperIds].map((id, index) => {
					const {requests, writers, readMs} = candidates.find(candidate => candidate.id === id)!.load;
					return [id, requests, writers, Math.round(readMs), Math.round(placement.endsMs[index]!)];
				}),
			},
			[[placement.serverId, work], ...helps],
		);
	}

	#addWork(placed: Omit<PlacedRequest, 'release' | 'setWriting'>, works: Array<[string, ServerWork]>): PlacedRequest {
		const {notifyLoad} = this.#options;
		let open = works.map(([serverId, work]) => ({serverId, key: this.loads.add(serverId, work), isOver: work.isHelp && work.memoryTokens === 0}));
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
			setWriting: () => {
				remove(open.filter(({isOver}) => isOver));
				open = open.filter(({isOver}) => !isOver);
				for (const {serverId, key} of open) {
					this.loads.setWriting(serverId, key);
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
			+ (this.#health.getFailureShare(server.id) * failurePenaltyMs)
			+ (server.coldUntil > now ? coldPenaltyMs : 0);
	}

	#isColdRequestAllowed(service: Service, server: KnownServer, now: number): boolean {
		return !isCold(service, server, now) || this.#coldArrivals.hasRoom(server.id, now, this.#getColdBound(service));
	}

	#getColdBound(service: Service): {requestsPerSecond: number; entries: number} {
		return {requestsPerSecond: service.coldRequestsPerSecond, entries: this.#options.countEntries()};
	}
}

/** The same order at all entries; ids are random, so neighbours are in different failure domains. */
const sortServers = (servers: readonly KnownServer[]): KnownServer[] => servers.toSorted((a, b) => a.id < b.id ? -1 : 1);

const isCold = (service: Service, server: KnownServer, now: number): boolean =>
	service.coldRequestsPerSecond > 0 && server.coldUntil > now;

