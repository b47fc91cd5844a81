import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {Client, type buildConnector, type Dispatcher} from 'undici';
import {watchReset} from './reset-watch.js';
import {StaleAnswerFilter, type ExpectedAnswer} from './stale-answer-filter.js';
import type {ConnectionOpener} from './connection-opener.js';

/** Minimum connect timeout, in ms; short enough that another backend server can still answer on time. */
const minConnectTimeoutMs = 150;
/** Connect timeout as a multiple of the longest one-way delay between failure domains: three round trips. */
const connectTimeoutDelayFactor = 6;
/** Idle time after which a connection is closed when the backend server states no keep-alive timeout, in ms. */
const keepAliveMs = 4000;
/**
 * Margin by which a connection is closed before the keep-alive timeout of the backend server, so that no request is sent while
 * the server closes it, in ms.
 */
const keepAliveMarginMs = 1000;

/** Code of the error when a backend server has meanwhile asked for no requests. */
export const refusingServerCode = 'SERVER_REFUSES_REQUESTS';

/** Error code of a connection that was reset, in place of that of the operating system. */
export const resetCode = 'CONNECTION_RESET';

/** A connection to a backend server that runs one request at a time. */
export type BackendConnection = {
	/** Id of the entry that passes the connection on; undefined while it is not open, and for a direct connection. */
	readonly tunnelPeerId: string | undefined;
	dispatcher: Dispatcher;
	/** True when the connection that carried the last answer was reset rather than closed. */
	wasReset: () => boolean;
	/** Resolves to true when a backend server that still runs has closed the connection which carried the last answer. */
	confirmClose: () => Promise<boolean>;
	/** Names the request that is sent next, so that late answers to earlier ones are removed. */
	expectAnswer: (expected: ExpectedAnswer) => void;
	/** Calls the subscriber with the number of bytes received since this call, before they are parsed, until `release`. */
	subscribeToBytes: (subscriber: (receivedBytes: number) => void) => void;
	/** Calls the subscriber when the connection ends, before its last answer is ended, until `release`. */
	subscribeToEnd: (subscriber: () => void) => void;
	/** Makes the connection available to other requests. */
	release: () => void;
};

type ServerAddress = {id: string; address: string};
type ConnectionOptions = BackendConnectionOptions & {connectTimeoutMs: number};

/** Dependencies of the connections to backend servers. */
export type BackendConnectionOptions = {
	openConnection: ConnectionOpener;
	/** True while requests may use an open connection, by the entry that passes it on. */
	isUsable: (tunnelPeerId: string | undefined) => boolean;
	/** True when no request may reach a backend server now, which may change while a connection is opened. */
	isRefusingRequests: (serverId: string) => boolean;
	/** Resolves to true unless a backend server that has closed a connection has ended. */
	confirmRunning: (server: ServerAddress) => Promise<boolean>;
	/** Called when bytes arrive on any connection. */
	notifyReceived: () => void;
	/** Called when a late answer to an earlier request was removed. */
	notifyStaleAnswer: (serverId: string, requestId: string) => void;
};

/** Connections to one backend server. */
class ServerConnections {
	readonly #idle: SingleConnectionClient[] = [];
	readonly #all = new Set<SingleConnectionClient>();

	constructor(private readonly server: ServerAddress, private readonly options: ConnectionOptions) {}

	get address(): string {
		return this.server.address;
	}

	/**
	 * Acquires the most recently used idle connection, because the others may be about to close, or opens a new one; returns undefined
	 * when none is idle and `limit` connections exist.
	 */
	acquire(limit: number, ignoresRefusal: boolean): BackendConnection | undefined {
		const index = this.#idle.findLastIndex(({isForAcceptedWork}) => ignoresRefusal || !isForAcceptedWork);
		const [idle] = index === -1 ? [] : this.#idle.splice(index, 1);
		if (idle === undefined && this.#all.size >= limit && !this.#closeIdle()) {
			return undefined;
		}

		const client = idle ?? this.#open();
		client.ignoresRefusal = ignoresRefusal;
		let isReleased = false;
		return {
			get tunnelPeerId() {
				return client.tunnelPeerId;
			},
			dispatcher: client.client,
			wasReset: () => client.wasReset,
			confirmClose: async () => (await client.confirmTunnelClose?.() ?? true) && this.options.confirmRunning(this.server),
			expectAnswer(expected) {
				client.expectAnswer(expected);
			},
			subscribeToBytes(subscriber) {
				client.subscribeToBytes(subscriber);
			},
			subscribeToEnd(subscriber) {
				client.notifyEnd = subscriber;
			},
			release: () => {
				if (!isReleased) {
					isReleased = true;
					client.subscribeToBytes(undefined);
					client.notifyEnd = undefined;
					this.#idle.push(client);
				}
			},
		};
	}

	/** Number of connections that are open. */
	get open(): number {
		return [...this.#all].filter(({isOpen}) => isOpen).length;
	}

	async close(): Promise<void> {
		await Promise.all([...this.#all].map(async ({client}) => client.close()));
	}

	async destroy(): Promise<void> {
		await Promise.all([...this.#all].map(async ({client}) => client.destroy()));
	}

	/** Closes the idle connections that requests may no longer use. */
	closeUnusable(): void {
		for (const client of this.#idle.splice(0)) {
			if (this.options.isUsable(client.tunnelPeerId)) {
				this.#idle.push(client);
			} else {
				this.#all.delete(client);
				void client.client.close();
			}
		}
	}

	/** Closes the connection that has been idle for longest; returns false when none is idle. */
	#closeIdle(): boolean {
		const client = this.#idle.shift();
		if (client === undefined) {
			return false;
		}

		this.#all.delete(client);
		void client.client.close();
		return true;
	}

	#open(): SingleConnectionClient {
		const client = new SingleConnectionClient(this.server, this.options);
		this.#all.add(client);
		return client;
	}
}

/** An HTTP client with one connection, which records whether that connection was reset. */
class SingleConnectionClient {
	readonly client: Client;
	wasReset = false;
	isOpen = false;
	/** True when a connection may be opened although no request may reach the backend server. */
	ignoresRefusal = false;
	/**
	 * True while the open connection may carry only what keeps or ends accepted work: another entry has opened it although the
	 * backend server may turn that entry away, which this one need not know.
	 */
	isForAcceptedWork = false;
	tunnelPeerId: string | undefined;
	confirmTunnelClose: (() => Promise<boolean>) | undefined;
	notifyEnd: (() => void) | undefined;
	#staleAnswers = this.#createFilter();
	#receivedBytes = 0;
	#notifyBytes: ((receivedBytes: number) => void) | undefined;

	constructor(private readonly server: ServerAddress, private readonly options: ConnectionOptions) {
		const {openConnection, connectTimeoutMs} = options;
		this.client = new Client(`http://${server.address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
			connect: (_options, callback) => {
				this.wasReset = false;
				void this.#connect(openConnection(server, {timeoutMs: connectTimeoutMs, ignoresRefusal: this.ignoresRefusal}), callback);
			},
		});
		this.client.on('connect', () => {
			this.isOpen = true;
		});
		this.client.on('disconnect', () => {
			this.#staleAnswers = this.#createFilter();
			this.isOpen = false;
			this.isForAcceptedWork = false;
		});
		// Without a listener, an error outside of a request would end the process. Attempts report their own errors.
		this.client.on('connectionError', () => undefined);
	}

	/** Sets the subscriber to the number of bytes received from now on. */
	subscribeToBytes(subscriber: ((receivedBytes: number) => void) | undefined): void {
		this.#receivedBytes = 0;
		this.#notifyBytes = subscriber;
	}

	/** Names the request that is sent next. */
	expectAnswer(expected: ExpectedAnswer): void {
		this.#staleAnswers.expect(expected);
	}

	#createFilter(): StaleAnswerFilter {
		return new StaleAnswerFilter(requestId => {
			this.options.notifyStaleAnswer(this.server.id, requestId);
		});
	}

	async #connect(opening: ReturnType<ConnectionOpener>, callback: buildConnector.Callback): Promise<void> {
		const result = await opening;
		if (!result.ok) {
			callback(result.error, null);
			return;
		}

		if (!this.ignoresRefusal && this.options.isRefusingRequests(this.server.id)) {
			result.value.socket.destroy();
			callback(new RefusingServerError(), null);
			return;
		}

		this.tunnelPeerId = result.value.tunnelPeerId;
		this.confirmTunnelClose = result.value.confirmClose;
		this.isForAcceptedWork = this.ignoresRefusal && this.tunnelPeerId !== undefined;
		this.#watch(result.value.socket);
		callback(null, result.value.socket);
	}

	/** Must be called before the client registers its own listeners: it handles the end of a connection and its bytes first. */
	#watch(socket: Socket): void {
		let socketBytes = 0;
		filterReads(socket, bytes => this.#staleAnswers.removeStale(bytes));
		// The client treats an answer without a length as complete also after a reset.
		watchReset(socket, () => {
			this.wasReset = true;
		});
		socket.on('end', () => this.notifyEnd?.());
		socket.on('error', (error: NodeJS.ErrnoException) => {
			hideResetCode(error);
		});
		socket.on('readable', () => {
			this.#receivedBytes += socket.bytesRead - socketBytes;
			socketBytes = socket.bytesRead;
			this.options.notifyReceived();
			this.#notifyBytes?.(this.#receivedBytes);
		});
	}
}

/** Passes all that the client reads from a socket through a filter; a read whose bytes are all removed goes on with the next ones. */
const filterReads = (socket: Socket, select: (bytes: Buffer) => Buffer): void => {
	const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
	socket.read = (size?: number) => {
		for (let bytes = read(size); bytes !== null; bytes = read(size)) {
			const rest = select(bytes);
			if (rest.length > 0) {
				return rest;
			}
		}

		return null;
	};
};

/**
 * Replaces the code of a reset. On this code, the client ends an answer without a length as complete, and throws when that answer
 * is paused; on any other code it reports the error.
 */
const hideResetCode = (error: NodeJS.ErrnoException): void => {
	if (error.code === 'ECONNRESET') {
		error.code = resetCode;
	}
};

/** No request may reach the backend server any more. */
class RefusingServerError extends Error {
	readonly code = refusingServerCode;

	constructor() {
		super('the backend server wants no requests now');
	}
}

/** Connection pools by backend server id, so that a restarted server with a new id gets new connections at the same address. */
export class BackendConnections {
	readonly #servers = new Map<string, ServerConnections>();
	#connectTimeoutMs = minConnectTimeoutMs;

	constructor(private readonly options: BackendConnectionOptions) {}

	/** Connect timeout in ms. */
	get connectTimeoutMs(): number {
		return this.#connectTimeoutMs;
	}

	/** Number of open connections to a backend server. */
	countOpen(serverId: string): number {
		return this.#servers.get(serverId)?.open ?? 0;
	}

	/** Sets the longest one-way delay between failure domains, in ms; applies to backend servers that have no connections yet. */
	setLongestDelay(delayMs: number): void {
		this.#connectTimeoutMs = Math.max(minConnectTimeoutMs, delayMs * connectTimeoutDelayFactor);
	}

	/** Closes the idle connections that requests may no longer use. */
	closeUnusable(): void {
		for (const connections of this.#servers.values()) {
			connections.closeUnusable();
		}
	}

	/**
	 * Acquires a connection to a backend server; returns undefined when none is idle and `limit` connections exist. With `ignoresRefusal`
	 * it is also opened while the server wants no requests, for what keeps or ends work that the server has accepted before.
	 */
	acquire(server: {id: string; address: string}, limit: number, {ignoresRefusal = false} = {}): BackendConnection | undefined {
		const known = this.#servers.get(server.id);
		const connections = known?.address === server.address ? known : new ServerConnections(server, {...this.options, connectTimeoutMs: this.#connectTimeoutMs});
		if (known !== undefined && known !== connections) {
			void known.close();
		}

		this.#servers.set(server.id, connections);
		connections.closeUnusable();
		return connections.acquire(limit, ignoresRefusal);
	}

	/** Closes the connections to all other backend servers, once their open requests have ended. */
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
