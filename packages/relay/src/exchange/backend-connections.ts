import {buildConnector, Client, type Dispatcher} from 'undici';
import {watchReset} from './reset-watch.js';

/** Least time to open a connection, in ms; short enough to be on time at another backend server. */
const minConnectTimeoutMs = 150;
/** Multiple of the longest one-way delay between failure domains in which a connection must open: three round trips. */
const connectTimeoutDelayFactor = 6;
/** Idle time after which a connection is closed when the backend server does not state its own, in ms. */
const keepAliveMs = 4000;
/** Part of the idle time stated by a backend server that is left unused, so that a request does not cross its close. */
const keepAliveMarginMs = 1000;
/** Idle time after which the system asks the peer whether a connection is alive, in ms. */
const keepAliveProbeMs = 1000;

/** A connection to a backend server that runs one request at a time. */
export type BackendConnection = {
	dispatcher: Dispatcher;
	/** True when the connection that carried the last answer was reset rather than closed. */
	wasReset: () => boolean;
	/** Returns the connection for further requests. */
	release: () => void;
};

/** Connections to one backend server. */
class ServerConnections {
	readonly #idle: SingleConnectionClient[] = [];
	readonly #all = new Set<SingleConnectionClient>();

	constructor(readonly address: string, private readonly connectTimeoutMs: number) {}

	/** Takes the connection that was used last, since the others may be about to close. */
	acquire(): BackendConnection {
		const client = this.#idle.pop() ?? this.#open();
		let isReleased = false;
		return {
			dispatcher: client.client,
			wasReset: () => client.wasReset,
			release: () => {
				if (!isReleased) {
					isReleased = true;
					this.#idle.push(client);
				}
			},
		};
	}

	get size(): number {
		return this.#all.size;
	}

	get idle(): number {
		return this.#idle.length;
	}

	async close(): Promise<void> {
		await Promise.all([...this.#all].map(async ({client}) => client.close()));
	}

	async destroy(): Promise<void> {
		await Promise.all([...this.#all].map(async ({client}) => client.destroy()));
	}

	#open(): SingleConnectionClient {
		const client = new SingleConnectionClient(this.address, this.connectTimeoutMs);
		this.#all.add(client);
		return client;
	}
}

/** A client with one connection, which notes how the connection ended. */
class SingleConnectionClient {
	readonly client: Client;
	wasReset = false;

	constructor(address: string, connectTimeoutMs: number) {
		const connect = buildConnector({timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: keepAliveProbeMs});
		this.client = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
			connect: (options, callback) => {
				this.wasReset = false;
				connect(options, (...result) => {
					const [, socket] = result;
					// The connector passes no socket at all when it could not connect.
					if (socket) {
						// Registered before the client's own listeners, which take a reset answer without a length for complete.
						watchReset(socket, () => {
							this.wasReset = true;
						});
					}

					callback(...result);
				});
			},
		});
		// Without a listener, an error that belongs to no request would end the process; the attempts report their own.
		this.client.on('connectionError', () => undefined);
	}
}

/** Connections to the backend servers, by id: a restarted server at the same address gets new connections. */
export class BackendConnections {
	readonly #servers = new Map<string, ServerConnections>();
	#connectTimeoutMs = minConnectTimeoutMs;

	/** Sets the longest one-way delay between failure domains, in ms, for connections to backend servers that are new. */
	setLongestDelay(delayMs: number): void {
		this.#connectTimeoutMs = Math.max(minConnectTimeoutMs, delayMs * connectTimeoutDelayFactor);
	}

	/** Takes a connection to a backend server; undefined when as many as `limit` are in use. */
	acquire(server: {id: string; address: string}, limit: number): BackendConnection | undefined {
		const known = this.#servers.get(server.id);
		const connections = known?.address === server.address ? known : new ServerConnections(server.address, this.#connectTimeoutMs);
		if (known !== undefined && known !== connections) {
			void known.close();
		}

		this.#servers.set(server.id, connections);
		return connections.idle === 0 && connections.size >= limit ? undefined : connections.acquire();
	}

	/** Closes connections to backend servers that are gone, after their open requests. */
	retain(serverIds: ReadonlySet<string>): void {
		for (const [serverId, connections] of this.#servers) {
			if (!serverIds.has(serverId)) {
				this.#servers.delete(serverId);
				void connections.close();
			}
		}
	}

	async close(): Promise<void> {
		const all = [...this.#servers.values()];
		this.#servers.clear();
		await Promise.all(all.map(async connections => connections.destroy()));
	}
}
