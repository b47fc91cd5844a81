import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import polka from 'polka';
import type {StandIn} from './stand-in.js';

/** Host that all stand-ins listen on, so that their traffic stays on the machine. */
export const loopbackHost = '127.0.0.1';

/** Time after which an idle connection is closed, in ms; longer than the 4 s of undici, so that the client closes first. */
const keepAliveTimeoutMs = 30_000;

/** HTTP router of a stand-in. */
export type Router = ReturnType<typeof polka>;

/** Starts an HTTP listener on loopback; port 0 selects a free port. */
export const startListener = async (port: number, addRoutes: (router: Router) => void): Promise<StandIn> => {
	const server = createServer();
	server.keepAliveTimeout = keepAliveTimeoutMs;
	const router = polka({server});
	addRoutes(router);
	router.listen(port, loopbackHost);
	await once(server, 'listening');
	const {port: actualPort} = server.address() as AddressInfo;
	return {address: `${loopbackHost}:${actualPort}`, close: async () => closeServer(server)};
};

const closeServer = async (server: Server): Promise<void> => {
	if (!server.listening) {
		return;
	}

	const closed = once(server, 'close');
	server.close();
	server.closeAllConnections();
	await closed;
};
