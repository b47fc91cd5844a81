import {randomUUID} from 'node:crypto';
import {createError, createOk, type Result} from '@knapweedrack/core';
import {
	openDirectConnection, type OpenedConnection, type OpeningOptions, type SocketOpener,
} from '../exchange/connection-opener.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import {confirmTunnelEnd, openTunnel, TunnelError} from './open-tunnel.js';
import type {ReachabilityTask} from './reachability-task.js';

/** Most entries that are asked for a tunnel before a connection fails. */
const tunnelAttempts = 3;
/** Time for a tunnel as a multiple of the connect timeout: the connection to the other entry, and its connection to the server. */
const tunnelTimeoutFactor = 2;
/** The same for the last entry that is asked: there is no other to give its tunnel up for. */
const lastTunnelTimeoutFactor = 6;

/** Errors of a tunnel to a backend server that has ended, unless the links of all entries are cut. */
const endCodes = new Set<string | undefined>(['ECONNREFUSED', 'NO_SERVER_REACHED']);

/** Another entry that can pass connections on. */
export type TunnelPeer = {id: string; peerAddress: string};

/** Dependencies of the server connector. */
export type ServerConnectorOptions = {
	entryId: string;
	metrics: RelayMetrics;
	openSocket: SocketOpener;
	reachability: ReachabilityTask;
	/** Entries that serve and reach backend servers by connections of their own. */
	listTunnelPeers: () => TunnelPeer[];
	/** Returns a random number in [0, 1). */
	random: () => number;
};

/** Opens connections to backend servers: directly, or through another entry while this one reaches none. */
export class ServerConnector {
	readonly #options: ServerConnectorOptions;

	constructor(options: ServerConnectorOptions) {
		this.#options = options;
	}

	/** Opens a connection within `timeoutMs`, or within a multiple of it through another entry. */
	async open(server: {id: string; address: string}, options: OpeningOptions): Promise<Result<OpenedConnection, Error>> {
		const {openSocket, reachability} = this.#options;
		const tunnel = reachability.isReaching ? undefined : await this.#openThroughPeers(server, options);
		if (tunnel !== undefined) {
			return tunnel;
		}

		const opened = await openDirectConnection(openSocket, server.address, options.timeoutMs);
		if (opened.ok) {
			reachability.recordConnected(server.id);
			return opened;
		}

		if (await reachability.checkAfterFailure(server.id)) {
			return opened;
		}

		// The code of the failed connection would tell something about the server.
		return await this.#openThroughPeers(server, options) ?? createError(new TunnelError('NO_SERVER_REACHED', 'neither this entry nor another one reaches a backend server'));
	}

	/**
	 * Resolves to true when a backend server that refused a connection has ended: this entry reaches others, or another entry gets no
	 * connection to it either. When no entry reaches any server, their links are not the cause.
	 */
	async confirmEnd(server: {id: string; address: string}, timeoutMs: number): Promise<boolean> {
		if (await this.#options.reachability.checkAfterFailure(server.id)) {
			return true;
		}

		const tunnel = await this.#openThroughPeers(server, {timeoutMs, ignoresRefusal: false}, tunnelTimeoutFactor);
		if (tunnel?.ok) {
			tunnel.value.socket.destroy();
			return false;
		}

		return tunnel === undefined || endCodes.has((tunnel.error as NodeJS.ErrnoException).code);
	}

	/** True while requests may use an open connection: direct ones while servers are reached, others while their entry passes them on. */
	isUsable(tunnelPeerId: string | undefined): boolean {
		const {reachability, listTunnelPeers} = this.#options;
		if (reachability.isReaching) {
			return tunnelPeerId === undefined;
		}

		const peers = listTunnelPeers();
		return tunnelPeerId === undefined ? peers.length === 0 : peers.some(({id}) => id === tunnelPeerId);
	}

	/** Returns undefined when there is no entry to ask; `lastFactor` is the timeout of the last tunnel as a multiple of the connect timeout. */
	async #openThroughPeers({address}: {address: string}, {timeoutMs, ignoresRefusal}: OpeningOptions, lastFactor = lastTunnelTimeoutFactor): Promise<Result<OpenedConnection, Error> | undefined> {
		const {entryId, metrics, listTunnelPeers, random} = this.#options;
		const peers = listTunnelPeers().map(peer => ({...peer, rank: random()})).toSorted((a, b) => a.rank - b.rank);
		let failure: Result<OpenedConnection, Error> | undefined;
		const asked = peers.slice(0, tunnelAttempts);
		for (const [index, {id, peerAddress}] of asked.entries()) {
			const factor = index === asked.length - 1 ? lastFactor : tunnelTimeoutFactor;
			const tunnelId = randomUUID();
			const tunnel = await openTunnel({
				peerAddress, entryId, tunnelId, address, timeoutMs: timeoutMs * factor, ignoresRefusal,
			});
			if (tunnel.ok) {
				metrics.countEvent('tunnel.used');
				return createOk({
					socket: tunnel.value, tunnelPeerId: id, confirmClose: async () => confirmTunnelEnd({peerAddress, tunnelId, timeoutMs: timeoutMs * tunnelTimeoutFactor}),
				});
			}

			metrics.countEvent('tunnel.failed');
			failure = createError(tunnel.error);
			if ((tunnel.error as NodeJS.ErrnoException).code === 'ECONNREFUSED') {
				break;
			}
		}

		return failure;
	}
}
