import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {createError, createOk, type Result} from '@knapweedrack/core';
import {runAfterInput} from './run-after-input.js';

/** Idle time before TCP keep-alive probes begin, in ms. */
const keepAliveProbeMs = 1000;

/** Begins to open a TCP connection to a backend server; tests replace it to cut an entry off. */
export type SocketOpener = (target: {host: string; port: number}) => Socket;

/** An open connection to a backend server. */
export type OpenedConnection = {
	socket: Socket;
	/** Id of the entry that passes the connection on; undefined for a direct connection. */
	tunnelPeerId?: string;
	/** Resolves to true when it was the backend server that closed the connection; undefined for a direct connection. */
	confirmClose?: () => Promise<boolean>;
};

/** Conditions under which a connection to a backend server is opened. */
export type OpeningOptions = {
	/** Time until the connection must be open, in ms. */
	timeoutMs: number;
	/** True when the connection is opened although no request may reach the server now. */
	ignoresRefusal: boolean;
};

/** Opens a connection to a backend server; an error has the code of the operating system. */
export type ConnectionOpener = (server: {id: string; address: string}, options: OpeningOptions) => Promise<Result<OpenedConnection, Error>>;

/** Opens TCP connections without delay for small writes. */
export const openTcpSocket: SocketOpener = target => {
	const socket = connect(target);
	configureSocket(socket);
	return socket;
};

/** Sends small writes without delay, and lets the operating system probe an idle connection. */
export const configureSocket = (socket: Socket): void => {
	socket.setNoDelay(true);
	socket.setKeepAlive(true, keepAliveProbeMs);
};

/** Opens a connection to `host:port` from this entry; an address that cannot be used is an error like a refused connection. */
export const openDirectConnection = async (openSocket: SocketOpener, address: string, timeoutMs: number): Promise<Result<OpenedConnection, Error>> => {
	const [host = '', port = '0'] = address.split(':');
	const timeout = startTimeout(timeoutMs);
	let socket: Socket | undefined;
	try {
		socket = openSocket({host, port: Number(port)});
		// Without a listener, an error outside of a request would end the process.
		socket.on('error', () => undefined);
		await once(socket, 'connect', {signal: timeout.signal});
		return createOk({socket});
	} catch (error) {
		socket?.destroy();
		return createError(isTimeout(error) ? new ConnectTimeoutError(address, timeoutMs) : error as Error);
	} finally {
		timeout.cancel();
	}
};

/**
 * Starts a timeout whose signal aborts only after the events that already wait at the sockets were handled: when the process was busy,
 * the timer is late, and what it waits for may have happened in time.
 */
export const startTimeout = (timeoutMs: number): {signal: AbortSignal; cancel: () => void} => {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		runAfterInput(() => {
			controller.abort();
		});
	}, timeoutMs);
	return {
		signal: controller.signal,
		cancel() {
			clearTimeout(timer);
		},
	};
};

/** Creates an opener whose connections all start at this entry. */
export const createDirectOpener = (openSocket: SocketOpener): ConnectionOpener =>
	async ({address}, {timeoutMs}) => openDirectConnection(openSocket, address, timeoutMs);

const isTimeout = (error: unknown): boolean => (error as Error).name === 'AbortError';

/** No connection was opened in time. */
class ConnectTimeoutError extends Error {
	readonly code: string;

	constructor(address: string, timeoutMs: number) {
		super(`no connection to ${address} within ${timeoutMs} ms`);
		this.code = 'ETIMEDOUT';
	}
}
