import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions,
} from 'node:http';
import type {Socket} from 'node:net';

/** Limits of a listener whose requests have no bodies and whose answers are small. */
export type ListenerLimits = {
	/** Longest head of a request, in bytes. */
	headBytes: number;
	/** Time for a head, and for which a connection may be idle or leave an answer unread, in ms. */
	timeoutMs: number;
	/** Connections that are open at a time; beyond them the oldest one is closed. */
	connections: number;
};

/** Limits of the listeners beside that for callers; the platform and other entries send heads of a few hundred bytes. */
export const defaultListenerLimits: ListenerLimits = {headBytes: 16 * 1024, timeoutMs: 5000, connections: 256};

/** Interval at which Node.js checks for connections with an overdue head, in ms. */
const connectionCheckMs = 500;

/** Options of Node.js for a bounded server. */
export const buildServerOptions = ({headBytes, timeoutMs}: ListenerLimits): ServerOptions => ({
	maxHeaderSize: headBytes, headersTimeout: timeoutMs, requestTimeout: timeoutMs, keepAliveTimeout: timeoutMs, connectionsCheckingInterval: connectionCheckMs,
});

/** Creates a server that reads no request body: a request with one is answered, and its connection is closed. */
export const createBoundedServer = (listener: RequestListener, limits: ListenerLimits = defaultListenerLimits): Server => {
	const server = createServer(buildServerOptions(limits));
	const handleRequest: RequestListener = (request, response) => {
		if (hasBody(request)) {
			response.setHeader('connection', 'close');
			response.once('finish', () => {
				request.socket.destroySoon();
			});
		}

		listener(request, response);
	};

	server.on('request', handleRequest);
	// Asks for no body that is not read.
	server.on('checkContinue', handleRequest);
	server.setTimeout(limits.timeoutMs);
	limitConnections(server, limits.connections);
	return server;
};

/**
 * Closes the oldest connection when one too many is open, so that a crowd of idle connections keeps nobody out; returns a function
 * that exempts a connection.
 */
export const limitConnections = (server: Server, limit: number): (socket: Socket) => void => {
	const sockets = new Set<Socket>();
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		if (sockets.size > limit) {
			const [oldest] = sockets;
			sockets.delete(oldest!);
			oldest!.destroy();
		}
	});
	return socket => {
		sockets.delete(socket);
	};
};

const hasBody = ({headers}: IncomingMessage): boolean =>
	headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
