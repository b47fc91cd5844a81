import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import {loopbackHost} from '../http/listener.js';

/** Range of the ports, below those that the system assigns to connections and to listeners on port 0 (from 32,768 on Linux). */
const portRange = {first: 15_000, limit: 32_768};

/**
 * Finds distinct free ports on the loopback interface, for listeners whose addresses must be known before they start. The system
 * assigns none of them to another socket before that.
 */
export const findFreePorts = async (count: number): Promise<number[]> => {
	// All ports stay open until the last one is known; a port that was closed earlier could be found again.
	const found = new Map<number, Server>();
	while (found.size < count) {
		const port = randomInt(portRange.first, portRange.limit);
		const server = await tryListen(port);
		if (server !== undefined) {
			found.set(port, server);
		}
	}

	await Promise.all([...found.values()].map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return [...found.keys()];
};

/** Opens a listener; returns undefined when the port is in use. */
const tryListen = async (port: number): Promise<Server | undefined> => {
	const server = createServer().listen(port, loopbackHost);
	try {
		await once(server, 'listening');
		return server;
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'EADDRINUSE') {
			return undefined;
		}

		throw error;
	}
};
