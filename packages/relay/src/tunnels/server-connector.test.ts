import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {ServerConnector, type ServerConnectorOptions} from './server-connector.js';

const connectTimeoutMs = 50;

describe('ServerConnector', () => {
	const peers: Server[] = [];
	let asked: string[];

	beforeEach(() => {
		asked = [];
	});

	afterEach(() => {
		for (const peer of peers.splice(0)) {
			peer.close();
		}
	});

	/** Starts an entry that opens a tunnel after `delayMs`. */
	const startPeer = async (id: string, delayMs: number): Promise<{id: string; peerAddress: string}> => {
		const peer = createServer().listen(0, '127.0.0.1');
		peers.push(peer);
		peer.on('connect', (_request, socket) => {
			asked.push(id);
			socket.on('error', () => undefined);
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\n\r\n');
			}, delayMs);
		});
		await once(peer, 'listening');
		return {id, peerAddress: `127.0.0.1:${(peer.address() as AddressInfo).port}`};
	};

	/** Opens a connection from an entry that reaches no server itself; the peers are asked in the order of the list. */
	const openThrough = async (tunnelPeers: Array<{id: string; peerAddress: string}>): Promise<string | undefined> => {
		let rank = 0;
		const options = {
			entryId: 'self', metrics: {countEvent: () => undefined}, reachability: {isReaching: false}, listTunnelPeers: () => tunnelPeers, random: () => rank++,
		};
		const connector = new ServerConnector(options as unknown as ServerConnectorOptions);
		const opened = await connector.open({id: 's', address: '127.0.0.1:1'}, {timeoutMs: connectTimeoutMs, ignoresRefusal: false});
		if (opened.ok) {
			opened.value.socket.destroy();
		}

		return opened.ok ? opened.value.tunnelPeerId : undefined;
	};

	// Guards against a tunnel that is given up while it opens although no other entry can be asked: each retry then opens one more at the
	// same busy entry, until the requests have no attempts left.
	it('waits longer for the tunnel of the only entry that can be asked', async () => {
		expect(await openThrough([await startPeer('slow', connectTimeoutMs * 3)])).to.equal('slow');
		expect(asked).to.deep.equal(['slow']);
	});

	// Guards against a connection that is neither opened nor fails, because the address of the other entry cannot be used.
	it('asks another entry when the address of one cannot be used', async () => {
		expect(await openThrough([{id: 'odd', peerAddress: '127.0.0.1:80801'}, await startPeer('fast', 0)])).to.equal('fast');
	});

	it('asks another entry after the usual timeout', async () => {
		const startedAt = performance.now();
		expect(await openThrough([await startPeer('slow', connectTimeoutMs * 8), await startPeer('fast', 0)])).to.equal('fast');
		expect(performance.now() - startedAt).to.be.lessThan(connectTimeoutMs * 8);
		expect(asked).to.deep.equal(['slow', 'fast']);
	});
});
