import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import createDebug from 'debug';
import {TRPCError} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer, type WebSocket} from 'ws';
import {createError, createOk} from '@knapweedrack/core';
import {createPeerRouter, parseAddress, type PeerHandlers} from '@knapweedrack/protocol';
import type {Metrics, StartResult, TimerService} from '../contracts.js';
import {exitCodes} from '../settings/exit-codes.js';
import {counterNames} from '../metrics/metric-names.js';
import {createTrafficMeter, type PeerTraffic} from './traffic-meter.js';

const debug = createDebug('knapweedrack:peer-server');

/** URL path of the WebSocket endpoint for other entries and the command line. */
export const peerPath = '/peer';
/** Largest accepted message; a configuration of several chunks of 1 MB is the largest one in use. */
export const peerMessageLimitBytes = 32 * 1024 * 1024;
const connectionLimit = 1024;
const secretTimeoutMs = 5000;
const pingIntervalMs = 30_000;
const pongWaitMs = 5000;

/** Listener for other entries and the command line. */
export type PeerServer = {
	/** `host:port` on which it listens. */
	address: string;
	measureTraffic: () => PeerTraffic;
	close: () => Promise<void>;
};

/** Starts the peer listener; connections without an accepted secret are closed. */
export const startPeerServer = async (listener: string, handlers: PeerHandlers, {timer, metrics}: {timer: TimerService; metrics: Metrics}): Promise<StartResult<PeerServer>> => {
	const traffic = createTrafficMeter();
	const http = createServer((_request, response) => {
		response.writeHead(426).end();
	});
	http.maxConnections = connectionLimit;
	http.on('connection', traffic.add);
	const sockets = new WebSocketServer({
		server: http, path: peerPath, maxPayload: peerMessageLimitBytes, perMessageDeflate: false,
	});
	const authorizedSockets = new WeakSet<WebSocket>();
	sockets.on('connection', socket => {
		socket.on('error', error => {
			debug('a peer connection failed: %s', error.message);
		});
		timer.schedule(secretTimeoutMs, () => {
			if (!authorizedSockets.has(socket)) {
				socket.terminate();
			}
		});
	});
	applyWSSHandler({
		wss: sockets,
		router: createPeerRouter(handlers),
		createContext({info, res}) {
			const secret = info.connectionParams?.secret;
			if (!handlers.isAuthorized(secret)) {
				metrics.count(counterNames.peerUnauthorized);
				throw new TRPCError({code: 'UNAUTHORIZED', message: 'peer secret is missing or not accepted'});
			}

			authorizedSockets.add(res);
			return {secret};
		},
		keepAlive: {enabled: true, pingMs: pingIntervalMs, pongWaitMs},
		onError({error, path}) {
			debug('%s failed: %s', path ?? 'connection', error.message);
		},
	});

	try {
		http.listen(parseAddress(listener));
		await once(http, 'listening');
	} catch (error) {
		return createError({exitCode: exitCodes.listen, message: `cannot listen for peers on ${listener}: ${(error as Error).message}`});
	}

	const {address, port, family} = http.address() as AddressInfo;
	return createOk({
		address: family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`,
		measureTraffic: traffic.measure,
		async close() {
			for (const client of sockets.clients) {
				client.terminate();
			}

			sockets.close();
			http.close();
			http.closeAllConnections();
		},
	});
};
