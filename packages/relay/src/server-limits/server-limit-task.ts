import {
	computeRateShare, hashRendezvous, ServerLimitTable, TokenBucket, type LimitObservation,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {LimitReport} from './limit-report.js';

/** Interval at which limits that this entry has observed are sent again, in ms. */
const resendMs = 500;
/** Time for which the order of the entries is kept, in ms. */
const rankLifetimeMs = 250;
/** Most requests that one entry sends to a limited server at once. */
const burstRequests = 2;

/** Dependencies of the server limit task. */
export type ServerLimitOptions = {
	entryId: string;
	failureDomain: string;
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	/** Ids of the other entries that serve callers. */
	listServingPeers: () => string[];
	/** Sends a limit report to one entry, or to all that this entry reports to. */
	sendLimitReport: (report: LimitReport, recipientId?: string) => void;
	/** True when this entry passes the reports of a failure domain on to other entries. */
	isForwarder: (failureDomain: string) => boolean;
};

/** A backend server that may have a limit. */
export type LimitedServer = {id: string; bootId: string | undefined};

type Share = {bucket: TokenBucket; rank: number; rankedAt: number};

/** Keeps the requests of all entries to a backend server within the limit that its answers name. */
export class ServerLimitTask {
	readonly #options: ServerLimitOptions;
	readonly #table = new ServerLimitTable();
	readonly #shares = new Map<string, Share>();
	/** Servers whose answers this entry has seen since it last sent their limits. */
	readonly #observed = new Set<string>();
	readonly #unsubscribes: Array<() => void> = [];

	constructor(options: ServerLimitOptions) {
		this.#options = options;
	}

	start(): void {
		this.#unsubscribes.push(this.#options.timer.subscribe(resendMs, () => {
			this.#send(this.#table.list().filter(({serverId}) => this.#observed.has(serverId)));
			this.#observed.clear();
		}));
	}

	stop(): void {
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}
	}

	/** True while the server names a limit. */
	isLimited({id, bootId}: LimitedServer): boolean {
		return this.#table.getLimit(id, bootId) !== undefined;
	}

	/** True when this entry may send one more request to the server now. */
	hasRoom(server: LimitedServer): boolean {
		const share = this.#updateShare(server);
		return share === undefined || share.bucket.computeWaitMs(1, this.#options.timer.now()) === 0;
	}

	/** Counts a request that is sent to the server; attempts of one request count each. */
	consume(server: LimitedServer): void {
		this.#updateShare(server)?.bucket.consume(1, this.#options.timer.now());
	}

	/** Records what an answer of a server said of its limit. */
	recordAnswer({id, bootId}: LimitedServer, requestsPerSecond: number | undefined): void {
		const observation: LimitObservation = {
			serverId: id, bootId, requestsPerSecond, observedAt: this.#options.timer.now(),
		};
		const isChanged = this.#table.record(observation);
		if (requestsPerSecond !== undefined || isChanged) {
			this.#observed.add(id);
		}

		if (isChanged) {
			this.#logChange(observation, 'observed');
			this.#send([observation]);
		}
	}

	/** Merges the limit report of another entry. */
	acceptLimitReport({entryId, failureDomain, limits}: LimitReport): void {
		const changed = limits.filter(limit => this.#table.record(limit));
		for (const limit of changed) {
			this.#logChange(limit, entryId);
		}

		if (this.#options.isForwarder(failureDomain)) {
			this.#send(changed);
		}
	}

	/** Sends all limits to an entry that has just started. */
	handleEntryStarted(entryId: string): void {
		this.#send(this.#table.list(), entryId);
	}

	/** Removes the state of all other backend servers. */
	retain(serverIds: ReadonlySet<string>): void {
		this.#table.retain(serverIds);
		for (const serverId of this.#shares.keys()) {
			if (!serverIds.has(serverId)) {
				this.#shares.delete(serverId);
			}
		}
	}

	/** Share of this entry in the limit of a server; undefined without a limit. */
	#updateShare({id, bootId}: LimitedServer): Share | undefined {
		const limit = this.#table.getLimit(id, bootId);
		if (limit === undefined) {
			this.#shares.delete(id);
			return undefined;
		}

		const now = this.#options.timer.now();
		const peers = this.#options.listServingPeers();
		const share = this.#shares.get(id) ?? {bucket: new TokenBucket(now), rank: 0, rankedAt: Number.NEGATIVE_INFINITY};
		if (now - share.rankedAt > rankLifetimeMs) {
			share.rank = this.#computeRank(id, peers);
			share.rankedAt = now;
		}

		const rate = computeRateShare({
			requestsPerSecond: limit.requestsPerSecond, entries: peers.length + 1, rank: share.rank, answerAgeMs: now - limit.observedAt,
		});
		share.bucket.setRate(rate, burstRequests, now);
		this.#shares.set(id, share);
		return share;
	}

	/** Position of this entry in the order in which entries get a share of the limit of a server. */
	#computeRank(serverId: string, peers: readonly string[]): number {
		const own = hashRendezvous(serverId, this.#options.entryId);
		return peers.filter(peer => hashRendezvous(serverId, peer) > own).length;
	}

	#logChange({serverId, bootId, requestsPerSecond, observedAt}: LimitObservation, source: string): void {
		const {log, metrics, timer} = this.#options;
		metrics.countEvent(requestsPerSecond === undefined ? 'server.limit_ended' : 'server.limit_named');
		log.write('server.limit', {
			server: serverId, bootId, limit: requestsPerSecond, source, ageMs: Math.round(timer.now() - observedAt),
		});
	}

	#send(limits: LimitObservation[], recipientId?: string): void {
		const {entryId, failureDomain, sendLimitReport} = this.#options;
		if (limits.length > 0) {
			sendLimitReport({entryId, failureDomain, limits}, recipientId);
		}
	}
}
