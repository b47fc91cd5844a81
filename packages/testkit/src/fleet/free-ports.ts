import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {loopbackHost} from '../http/listener.js';

/** Finds distinct free ports on the loopback interface, for listeners whose addresses must be known before they start. */
export const findFreePorts = async (count: number): Promise<number[]> => {
	const servers = Array.from({length: count}, () => createServer().listen(0, loopbackHost));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	// All ports stay open until the last one is known; a port that was closed earlier could be assigned again.
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
};
