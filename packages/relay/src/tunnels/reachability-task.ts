import {ServerReachability} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {RelayBounds} from '../contracts.js';
import {openDirectConnection, type SocketOpener} from '../exchange/connection-opener.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';

/** Interval between checks whether a probe is due, in ms. */
const checkMs = 100;
/** Silence of all backend servers after which they are probed, as a share of the settle time. */
const silenceShare = 0.2;
/** Number of backend servers that one probe opens connections to. */
const probedServerCount = 3;

/** Dependencies of the reachability task. */
export type ReachabilityOptions = {
	timer: TimerService;
	bounds: Pick<RelayBounds, 'settleMs'>;
	log: DecisionLog;
	metrics: RelayMetrics;
	openSocket: SocketOpener;
	listServers: () => Array<{id: string; address: string}>;
	/** Timeout of a connection, in ms. */
	getConnectTimeoutMs: () => number;
	/** Returns a random number in [0, 1). */
	random: () => number;
	/** Called when this entry has lost or regained its own links to the backend servers. */
	notifyChange: (isReaching: boolean) => void;
};

/** Finds out whether this entry reaches backend servers by connections of its own. */
export class ReachabilityTask {
	readonly #options: ReachabilityOptions;
	readonly #reachability: ServerReachability;
	/** Servers whose last connection failed; a probe prefers others. */
	readonly #failedIds = new Set<string>();
	#probe: Promise<boolean> | undefined;

	constructor(options: ReachabilityOptions) {
		this.#options = options;
		this.#reachability = new ServerReachability(() => options.bounds.settleMs * silenceShare);
		options.timer.subscribe(checkMs, now => {
			if (this.#reachability.isProbeDue(now)) {
				void this.#runProbe();
			}
		});
	}

	/** False while no backend server can be reached. */
	get isReaching(): boolean {
		return this.#reachability.isReaching;
	}

	recordSent(): void {
		this.#reachability.recordSent(this.#options.timer.now());
	}

	recordReceived(): void {
		this.#reachability.recordReceived();
	}

	/** Records that a connection to a backend server was opened. */
	recordConnected(serverId: string): void {
		this.#failedIds.delete(serverId);
	}

	/** Records that a connection to a backend server failed; resolves to false when no other server is reached either. */
	async checkAfterFailure(serverId: string): Promise<boolean> {
		this.#failedIds.add(serverId);
		// An earlier probe says nothing: the links may have been cut since.
		return this.isReaching && this.#runProbe();
	}

	/** Runs a probe, or joins the one that runs; resolves to the decision. */
	async #runProbe(): Promise<boolean> {
		this.#probe ??= this.#probeOnce();
		return this.#probe;
	}

	async #probeOnce(): Promise<boolean> {
		try {
			return await this.#probeServers();
		} finally {
			this.#probe = undefined;
		}
	}

	async #probeServers(): Promise<boolean> {
		const {timer, log, metrics, notifyChange} = this.#options;
		const servers = this.#selectServers();
		const results = await Promise.all(servers.map(async server => this.#tryServer(server)));
		const reached = results.filter(Boolean).length;
		const wasReaching = this.isReaching;
		this.#reachability.applyProbe({tried: servers.length, reached}, timer.now());
		metrics.countEvent(`servers.probe_${reached > 0 ? 'reached' : 'failed'}`);
		if (this.isReaching !== wasReaching) {
			log.write(this.isReaching ? 'servers.reached' : 'servers.unreachable', {probed: servers.map(({id}) => id), reached});
			notifyChange(this.isReaching);
		}

		return this.isReaching;
	}

	#selectServers(): Array<{id: string; address: string}> {
		const {listServers, random} = this.#options;
		return listServers()
			.map(server => ({server, rank: random() + (this.#failedIds.has(server.id) ? 1 : 0)}))
			.toSorted((a, b) => a.rank - b.rank)
			.slice(0, probedServerCount)
			.map(({server}) => server);
	}

	async #tryServer({id, address}: {id: string; address: string}): Promise<boolean> {
		const {openSocket, getConnectTimeoutMs} = this.#options;
		const opened = await openDirectConnection(openSocket, address, getConnectTimeoutMs());
		if (!opened.ok) {
			this.#failedIds.add(id);
			return false;
		}

		this.#failedIds.delete(id);
		opened.value.socket.destroy();
		return true;
	}
}
