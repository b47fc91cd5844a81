import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {loopbackHost} from '../http/listener.js';

/** Finds free ports for listeners whose addresses must be known before they start. */
export const findFreePorts = async (count: number): Promise<number[]> => {
	const servers = Array.from({length: count}, () => createServer().listen(0, loopbackHost));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	// All are held until the last one is known, so that the ports are distinct.
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
};
