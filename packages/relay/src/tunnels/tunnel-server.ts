import type {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {MemoryHold} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {refusingServerCode} from '../exchange/backend-connections.js';
import {configureSocket, openDirectConnection, type SocketOpener} from '../exchange/connection-opener.js';
import {watchReset} from '../exchange/reset-watch.js';
import {
	buildServerOptions, defaultListenerLimits, limitConnections, type ListenerLimits,
} from '../listeners/bounded-server.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import {
	ignoresRefusalHeader, tunnelEndPath, tunnelErrorHeader, tunnelIdHeader, tunnelSenderHeader,
} from './open-tunnel.js';
import type {ReachabilityTask} from './reachability-task.js';

/** Most tunnels that an entry passes on at a time; each has two sockets. */
const tunnelLimit = 500;
/** Most connections of entries that follow the state of this one, or ask for another protocol. */
const upgradeLimit = 500;
/** Interval at which a stopping process checks whether all tunnels have ended, in ms. */
const drainCheckMs = 25;
/** Time for which the end of a tunnel is remembered once both sides have closed it, in ms; the asking entry wants to know it within this time. */
const endMemoryMs = 5000;

/** Shortest time between two log lines of one kind that a crowd of connections causes, in ms. */
const logPeriodMs = 1000;

/** Dependencies of the tunnel server. */
export type TunnelServerOptions = {
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	openSocket: SocketOpener;
	reachability: Pick<ReachabilityTask, 'isReaching' | 'checkAfterFailure'>;
	/** Finds a backend server by `host:port`; tunnels lead to nothing else. */
	findServerByAddress: (address: string) => {id: string} | undefined;
	/** True when no request from this entry may reach a backend server now. */
	isRefusingRequests: (serverId: string) => boolean;
	/** Timeout of a connection to a backend server, in ms. */
	getConnectTimeoutMs: () => number;
	/** Accepts a connection of another entry that asks for another protocol. */
	acceptUpgrade: (request: IncomingMessage, socket: Duplex) => void;
	/** Opens a hold for the bytes of a tunnel that its slower side has not taken. */
	openHold: () => MemoryHold;
	/** Limits of connections that have asked for nothing yet, or for the end of a tunnel. */
	limits?: ListenerLimits;
};

/**
 * Passes connections of other entries on to backend servers, for entries whose own links are cut. The entry that asks decides and
 * answers for its requests as over a connection of its own; a tunnel always continues with a direct connection.
 */
export class TunnelServer {
	readonly #options: TunnelServerOptions;
	readonly #server: Server;
	readonly #limits: ListenerLimits;
	/** Open tunnels, with the entry that uses each and the backend server that it leads to. */
	readonly #tunnels = new Map<Duplex, {sender: string | undefined; serverId: string}>();
	/** Ids of the tunnels whose backend server has closed its connection after its last byte was passed on. */
	readonly #endedIds = new Set<string>();
	/** Times of the latest log lines of events that a crowd may cause, by kind. */
	readonly #loggedAt = new Map<string, number>();
	/** Number of connections that were passed to `acceptUpgrade` and are open. */
	#upgrades = 0;

	constructor(options: TunnelServerOptions) {
		this.#options = options;
		this.#limits = options.limits ?? defaultListenerLimits;
		const limits = this.#limits;
		this.#server = createServer(buildServerOptions(limits), (request, response) => {
			response.writeHead(this.#findStatus(request), {'content-length': 0, ...(request.method !== 'GET' && {connection: 'close'})}).end();
		});
		this.#server.setTimeout(limits.timeoutMs);
		const exempt = limitConnections(this.#server, limits.connections);
		this.#server.on('connect', (request: IncomingMessage, socket: Socket) => {
			exempt(socket);
			void this.#open(request, socket);
		});
		this.#server.on('upgrade', (request: IncomingMessage, socket: Socket, head) => {
			exempt(socket);
			this.#upgrade(request, socket, head);
		});
	}

	/** Number of open tunnels. */
	get size(): number {
		return this.#tunnels.size;
	}

	/** Ids of the entries that use tunnels to a backend server. */
	listSenders(serverId: string): string[] {
		const senders = [...this.#tunnels.values()].filter(tunnel => tunnel.serverId === serverId).map(({sender}) => sender);
		return [...new Set(senders)].filter(sender => sender !== undefined);
	}

	/** Opens the listener; rejects when it cannot be opened. */
	async startListening(host: string, port: number): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
	}

	/** Waits until all tunnels have been closed by the entries that use them, at most until `deadline` (a time of the timer service, in ms). */
	async waitUntilClosed(deadline: number): Promise<void> {
		return new Promise(resolve => {
			const unsubscribe = this.#options.timer.subscribe(drainCheckMs, now => {
				if (this.size === 0 || now >= deadline) {
					unsubscribe();
					resolve();
				}
			});
		});
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
		for (const tunnel of this.#tunnels.keys()) {
			// A regular close would be the end mark of an answer without a length.
			(tunnel as Socket).resetAndDestroy();
		}
	}

	/** Status of the answer to the question whether a tunnel was ended by its backend server. */
	#findStatus({method, url = ''}: IncomingMessage): number {
		if (method !== 'GET' || !url.startsWith(tunnelEndPath)) {
			return 405;
		}

		return this.#endedIds.has(url.slice(tunnelEndPath.length)) ? 200 : 404;
	}

	#upgrade(request: IncomingMessage, socket: Socket, head: Buffer): void {
		const {acceptUpgrade, metrics} = this.#options;
		socket.on('error', () => undefined);
		if (this.#upgrades >= upgradeLimit) {
			metrics.countEvent('upgrade.refused');
			this.#writeLimited('upgrade.refused', {open: this.#upgrades});
			socket.destroy();
			return;
		}

		this.#upgrades++;
		socket.once('close', () => {
			this.#upgrades--;
		});
		socket.setTimeout(0);
		closeAfterFinish(socket, this.#limits.timeoutMs);
		socket.unshift(head);
		acceptUpgrade(request, socket);
	}

	async #open(request: IncomingMessage, tunnel: Socket): Promise<void> {
		const {openSocket, reachability, findServerByAddress, getConnectTimeoutMs, log, metrics} = this.#options;
		const address = request.url ?? '';
		const sender = request.headers[tunnelSenderHeader];
		const server = findServerByAddress(address);
		tunnel.on('error', () => undefined);
		tunnel.setTimeout(0);
		const ignoresRefusal = request.headers[ignoresRefusalHeader] === '1';
		const refusal = this.#findRefusal(server, ignoresRefusal);
		if (server === undefined || refusal !== undefined) {
			this.#refuse(tunnel, {sender, address, code: refusal ?? 'UNKNOWN_SERVER'});
			return;
		}

		this.#tunnels.set(tunnel, {sender: typeof sender === 'string' ? sender : undefined, serverId: server.id});
		tunnel.on('close', () => {
			this.#tunnels.delete(tunnel);
		});
		const opened = await openDirectConnection(openSocket, address, getConnectTimeoutMs());
		if (!opened.ok) {
			// A refused connection tells something about the server only while this entry reaches others.
			const isReaching = await reachability.checkAfterFailure(server.id);
			this.#refuse(tunnel, {sender, address, code: isReaching ? (opened.error as NodeJS.ErrnoException).code ?? opened.error.message : 'NO_SERVER_REACHED'});
			return;
		}

		if (!ignoresRefusal && this.#options.isRefusingRequests(server.id)) {
			opened.value.socket.destroy();
			this.#refuse(tunnel, {sender, address, code: refusingServerCode});
			return;
		}

		if (tunnel.destroyed) {
			opened.value.socket.destroy();
			return;
		}

		metrics.countEvent('tunnel.opened');
		log.write('tunnel.opened', {sender, server: server.id, open: this.size});
		passBytes(tunnel, opened.value.socket);
		this.#holdBytes(tunnel, opened.value.socket);
		const id = request.headers[tunnelIdHeader];
		if (typeof id === 'string') {
			this.#recordEnd(id, tunnel, opened.value.socket);
		}
	}

	/** Holds the bytes that a side has not taken; without memory for them, both connections are reset. */
	#holdBytes(tunnel: Socket, server: Socket): void {
		const {openHold, metrics} = this.#options;
		const holds = [[server, tunnel], [tunnel, server]].map(([from, to]) => {
			const hold = openHold();
			holdUntaken(from!, to!, hold, () => {
				metrics.countEvent('tunnel.no_memory');
				this.#writeLimited('tunnel.no_memory', {open: this.size});
				tunnel.resetAndDestroy();
				server.resetAndDestroy();
			});
			return hold;
		});
		tunnel.on('close', () => {
			for (const hold of holds) {
				hold.release();
			}
		});
	}

	/** Logs an event that a crowd of connections may cause, at most once in `logPeriodMs` for each kind. */
	#writeLimited(event: string, fields: Record<string, unknown>, kind = event): void {
		const {timer, log} = this.#options;
		const now = timer.now();
		if (now - (this.#loggedAt.get(kind) ?? Number.NEGATIVE_INFINITY) >= logPeriodMs) {
			this.#loggedAt.set(kind, now);
			log.write(event, fields);
		}
	}

	/** Remembers that the backend server has ended a tunnel, from the moment at which its last byte was passed on. */
	#recordEnd(id: string, tunnel: Socket, server: Socket): void {
		const {timer} = this.#options;
		let hasServerEnded = false;
		server.on('end', () => {
			hasServerEnded = !tunnel.destroyed;
		});
		tunnel.on('finish', () => {
			if (hasServerEnded) {
				this.#endedIds.add(id);
			}
		});
		tunnel.on('close', () => {
			timer.schedule(endMemoryMs, () => {
				this.#endedIds.delete(id);
			});
		});
	}

	#findRefusal(server: {id: string} | undefined, ignoresRefusal: boolean): string | undefined {
		if (server === undefined) {
			return 'UNKNOWN_SERVER';
		}

		if (!ignoresRefusal && this.#options.isRefusingRequests(server.id)) {
			return refusingServerCode;
		}

		if (!this.#options.reachability.isReaching) {
			return 'NO_SERVER_REACHED';
		}

		return this.size >= tunnelLimit ? 'TUNNEL_LIMIT' : undefined;
	}

	#refuse(tunnel: Socket, {sender, address, code}: {sender: unknown; address: string; code: string}): void {
		this.#options.metrics.countEvent('tunnel.refused');
		this.#writeLimited('tunnel.refused', {sender, address, code}, `tunnel.refused ${code}`);
		closeAfterFinish(tunnel, this.#limits.timeoutMs);
		tunnel.end(`HTTP/1.1 502 Bad Gateway\r\n${tunnelErrorHeader}: ${code}\r\n\r\n`);
	}
}

/** Passes bytes in both directions until one side ends; a reset by the backend server stays a reset. */
const passBytes = (tunnel: Socket, server: Socket): void => {
	configureSocket(tunnel);
	tunnel.write('HTTP/1.1 200 Connection Established\r\n\r\n');
	watchReset(server, () => {
		tunnel.resetAndDestroy();
	});
	server.on('close', () => {
		tunnel.end();
	});
	for (const event of ['end', 'close']) {
		tunnel.on(event, () => {
			server.destroy();
		});
	}

	server.pipe(tunnel);
	tunnel.pipe(server);
};

/** Holds what one side of a tunnel has not taken, which the pipe bounds by pausing the other side. */
const holdUntaken = (from: Socket, to: Socket, hold: MemoryHold, notifyNoRoom: () => void): void => {
	from.on('data', () => {
		const added = to.writableNeedDrain && !to.destroyed ? to.writableLength - hold.bytes : 0;
		if (added > 0 && !hold.tryAdd(added)) {
			notifyNoRoom();
		}
	});
	to.on('drain', () => {
		hold.remove(hold.bytes);
	});
};

/** Closes a connection whose other side stays open after this one has ended it. */
const closeAfterFinish = (socket: Socket, timeoutMs: number): void => {
	socket.once('finish', () => {
		socket.setTimeout(timeoutMs, () => {
			socket.destroy();
		});
	});
};
