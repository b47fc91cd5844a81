import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createOk} from '@knapweedrack/core';
import {expect} from 'chai';
import {BackendConnections} from './backend-connections.js';
import {createDirectOpener, openTcpSocket} from './connection-opener.js';

const limit = 4;

describe('BackendConnections', () => {
	let server: Server;
	let backend: {id: string; address: string};
	let acceptedConnections: number;
	let connections: BackendConnections | undefined;

	beforeEach(async () => {
		acceptedConnections = 0;
		server = createServer((_request, response) => {
			response.writeHead(200, {'content-length': 0}).end();
		});
		server.on('connection', () => {
			acceptedConnections++;
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		backend = {id: 'a', address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
	});

	afterEach(async () => {
		await connections?.close();
		server.close();
	});

	/** Creates connections, each opened by another entry if its id is given. */
	const create = (tunnelPeerId?: string): void => {
		const open = createDirectOpener(openTcpSocket);
		connections = new BackendConnections({
			async openConnection(target, options) {
				const opened = await open(target, options);
				return opened.ok && tunnelPeerId !== undefined ? createOk({...opened.value, tunnelPeerId}) : opened;
			},
			isUsable: () => true, isRefusingRequests: () => false, confirmRunning: async () => true, notifyReceived: () => undefined, notifyStaleAnswer: () => undefined,
		});
	};

	/** Sends one request over an acquired connection; returns the number of connections that the server has accepted so far. */
	const send = async (ignoresRefusal: boolean): Promise<number> => {
		const connection = connections!.acquire(backend, limit, {ignoresRefusal})!;
		const {body} = await connection.dispatcher.request({method: 'GET', path: '/'});
		await body.dump();
		connection.release();
		return acceptedConnections;
	};

	describe('opened by another entry for accepted work', () => {
		// Guards against requests to a server that turns the other entry away.
		it('carry no requests', async () => {
			create('b');
			expect(await send(true)).to.equal(1);
			expect(await send(false)).to.equal(2);
			expect(await send(false)).to.equal(2);
		});

		// Guards against a server that counts as unreachable because such connections have used up the share of this entry.
		it('leave room for requests', async () => {
			create('b');
			await send(true);
			expect(connections!.acquire(backend, 1, {ignoresRefusal: false})).not.to.equal(undefined);
		});

		it('carry further accepted work', async () => {
			create('b');
			expect(await send(true)).to.equal(1);
			expect(await send(true)).to.equal(1);
		});

		it('are not needed while one that was opened for a request is idle', async () => {
			create('b');
			expect(await send(false)).to.equal(1);
			expect(await send(true)).to.equal(1);
			expect(await send(false)).to.equal(1);
		});
	});

	describe('opened by this entry for accepted work', () => {
		it('carry requests too', async () => {
			create();
			expect(await send(true)).to.equal(1);
			expect(await send(false)).to.equal(1);
		});
	});
});
