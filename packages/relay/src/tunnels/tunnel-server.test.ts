import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {request} from 'node:http';
import {
	connect, createServer, Socket, type AddressInfo, type Server,
} from 'node:net';
import {expect} from 'chai';
import {
	computeMemoryLimits, memoryKinds, MemoryLedger, type MemoryHold,
} from '@knapweedrack/core';
import {createTimerService} from '@knapweedrack/entry/timer-service';
import type {DecisionLog} from '../logging/decision-log.js';
import {RelayMetrics} from '../metrics/relay-metrics.js';
import {confirmTunnelEnd, openTunnel} from './open-tunnel.js';
import {TunnelServer, type TunnelServerOptions} from './tunnel-server.js';

const host = '127.0.0.1';
const log: DecisionLog = {
	write: () => undefined, writeRequest: () => undefined, getOmitted: () => 0, flush: () => undefined,
};

describe('TunnelServer', () => {
	const timer = createTimerService();
	const ledger = new MemoryLedger(computeMemoryLimits(1e9));
	let backend: Server;
	let accepted: Socket[];
	let started: TunnelServer[];

	beforeEach(async () => {
		accepted = [];
		started = [];
		backend = createServer(socket => {
			accepted.push(socket);
			socket.on('error', () => undefined);
		});
		backend.listen(0, host);
		await once(backend, 'listening');
	});

	afterEach(() => {
		for (const server of started) {
			server.close();
		}

		backend.close();
		for (const socket of accepted) {
			socket.destroy();
		}
	});

	after(() => {
		timer.stop();
	});

	/** Starts a tunnel server; returns its address. */
	const start = async (changes: Partial<TunnelServerOptions> = {}): Promise<string> => {
		const port = await findFreePort();
		const server = new TunnelServer({
			timer, log, metrics: new RelayMetrics(), openSocket: target => connect(target),
			reachability: {isReaching: true, checkAfterFailure: async () => true},
			findServerByAddress: () => ({id: 'a'}), isRefusingRequests: () => false, getConnectTimeoutMs: () => 100,
			openHold: () => ledger.open({kind: memoryKinds.tunnel, workspace: undefined}),
			acceptUpgrade(_request, socket) {
				socket.destroy();
			},
			...changes,
		});
		started.push(server);
		await server.startListening(host, port);
		return `${host}:${port}`;
	};

	const findFreePort = async (): Promise<number> => {
		const server = createServer().listen(0, host);
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		server.close();
		await once(server, 'close');
		return port;
	};

	const getBackendAddress = (): string => `${host}:${(backend.address() as AddressInfo).port}`;

	/** Asks for a tunnel to a backend server; returns the code of the refusal, or undefined. */
	const fetchRefusal = async (peerAddress: string, address = getBackendAddress(), ignoresRefusal = false): Promise<string | undefined> => {
		const tunnel = await openTunnel({
			peerAddress, entryId: 'b', tunnelId: 't', address, timeoutMs: 500, ignoresRefusal,
		});
		if (tunnel.ok) {
			tunnel.value.destroy();
			return undefined;
		}

		return (tunnel.error as NodeJS.ErrnoException).code;
	};

	// Guards against connections to servers that stay open, and use their slots, because nobody is left to close them.
	it('closes a connection whose tunnel was given up while it was being opened', async () => {
		const opened = new Socket();
		const peerAddress = await start({openSocket: () => opened});
		const asked = request({
			host, port: Number(peerAddress.split(':')[1]), method: 'CONNECT', path: getBackendAddress(), agent: false,
		});
		asked.on('error', () => undefined);
		asked.end();
		await once(asked, 'finish');
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
		asked.socket?.resetAndDestroy();
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
		opened.connect((backend.address() as AddressInfo).port, host);
		await once(opened, 'close', {signal: AbortSignal.timeout(1000)});
		await started[0]!.waitUntilClosed(timer.now() + 1000);
		expect(started[0]!.size).to.equal(0);
	});

	// Guards against a refusal by this entry, or by a lost link of it, that the asking entry takes for the end of a server.
	it('names why it opens no tunnel', async () => {
		const refusedAddress = `${host}:1`;
		expect(await fetchRefusal(await start())).to.equal(undefined);
		expect(await fetchRefusal(await start(), refusedAddress)).to.equal('ECONNREFUSED');
		expect(await fetchRefusal(await start({findServerByAddress: () => undefined}))).to.equal('UNKNOWN_SERVER');
		expect(await fetchRefusal(await start({isRefusingRequests: () => true}))).to.equal('SERVER_REFUSES_REQUESTS');
		const reachability = {isReaching: true, checkAfterFailure: async () => false};
		expect(await fetchRefusal(await start({reachability}), refusedAddress)).to.equal('NO_SERVER_REACHED');
		expect(await fetchRefusal(await start({reachability: {...reachability, isReaching: false}}))).to.equal('NO_SERVER_REACHED');
		expect(await fetchRefusal(`${host}:1`)).to.equal('TUNNEL_PEER_LOST');
	});

	// Guards against an answer without a length that counts as complete, or as cut, because of what the other entry says of its end.
	it('confirms the end of a tunnel once the server has closed its connection', async () => {
		const peerAddress = await start();
		const tunnel = await openTunnel({
			peerAddress, entryId: 'b', tunnelId: 't1', address: getBackendAddress(), timeoutMs: 500,
		});
		if (!tunnel.ok) {
			throw tunnel.error;
		}

		const fetchEnd = async (tunnelId: string): Promise<boolean> => confirmTunnelEnd({peerAddress, tunnelId, timeoutMs: 500});
		expect(await fetchEnd('t1')).to.equal(false);
		accepted[0]!.end('last bytes');
		tunnel.value.resume();
		await once(tunnel.value, 'end');
		expect(await fetchEnd('t1')).to.equal(true);
		expect(await fetchEnd('t2')).to.equal(false);
	});

	// Guards against renewals of reserved memory that are turned away, so that its lease expires under a running answer.
	it('opens a tunnel for accepted work to a server that wants no requests, and to no other one', async () => {
		const peerAddress = await start({isRefusingRequests: () => true});
		expect(await fetchRefusal(peerAddress, getBackendAddress(), true)).to.equal(undefined);
		expect(await fetchRefusal(await start({findServerByAddress: () => undefined}), getBackendAddress(), true)).to.equal('UNKNOWN_SERVER');
	});

	describe('with connections of others than entries', () => {
		const limits = {headBytes: 2000, timeoutMs: 150, connections: 2};

		const open = async (peerAddress: string, text: string): Promise<Socket> => {
			const socket = connect(Number(peerAddress.split(':')[1]), host);
			socket.on('error', () => undefined);
			await once(socket, 'connect');
			socket.write(text);
			return socket;
		};

		const waitForClose = async (socket: Socket): Promise<void> => {
			socket.resume();
			if (!socket.closed) {
				await once(socket, 'close', {signal: AbortSignal.timeout(2500)});
			}
		};

		// Guards against connections that stay open for ever and heads without end.
		it('closes those that are idle, or whose head is late or too long', async () => {
			const peerAddress = await start({limits: {...limits, connections: 10}});
			const heads = ['', 'CONNECT 127', `GET / HTTP/1.1\r\nX-Long: ${'x'.repeat(limits.headBytes)}`];
			await Promise.all(heads.map(async head => waitForClose(await open(peerAddress, head))));
		});

		// Guards against refused tunnels whose other side never closes.
		it('closes those that were refused a tunnel or another protocol', async () => {
			let ended = 0;
			const peerAddress = await start({
				limits, findServerByAddress: () => undefined, acceptUpgrade(_request, socket) {
					ended++;
					socket.end('HTTP/1.1 400 Bad Request\r\n\r\n');
				},
			});
			const options = {host, port: Number(peerAddress.split(':')[1]), allowHalfOpen: true};
			const sockets = ['CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', 'GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n'].map(text => {
				const socket = connect(options);
				socket.on('error', () => undefined);
				socket.resume();
				socket.write(text);
				return socket;
			});
			await Promise.all(sockets.map(async socket => once(socket, 'end')));
			await new Promise(resolve => {
				setTimeout(resolve, 3 * limits.timeoutMs);
			});
			// The first write finds out that the connection is closed, and the second one fails.
			for (let count = 0; count < 2; count++) {
				for (const socket of sockets) {
					socket.write('x');
				}

				await new Promise(resolve => {
					setTimeout(resolve, 20);
				});
			}

			await Promise.all(sockets.map(async socket => waitForClose(socket)));
			expect(ended).to.equal(1);
		});

		// Guards against tunnels of entries that are closed for being idle, or by a crowd of other connections.
		it('keeps an idle tunnel while a crowd connects', async () => {
			const peerAddress = await start({limits});
			const tunnel = await openTunnel({
				peerAddress, entryId: 'b', tunnelId: 't', address: getBackendAddress(), timeoutMs: 500,
			});
			if (!tunnel.ok) {
				throw tunnel.error;
			}

			for (let count = 0; count < 10; count++) {
				await open(peerAddress, '');
			}

			await new Promise(resolve => {
				setTimeout(resolve, 3 * limits.timeoutMs);
			});
			expect(tunnel.value.closed).to.equal(false);
			accepted[0]!.write('later');
			const [bytes] = await once(tunnel.value, 'data') as [Buffer];
			expect(bytes.toString()).to.equal('later');
			tunnel.value.destroy();
		});
	});

	describe('with a side that reads slowly', () => {
		const openLarge = async (hold: MemoryHold): Promise<Socket> => {
			const peerAddress = await start({openHold: () => hold});
			const tunnel = await openTunnel({
				peerAddress, entryId: 'b', tunnelId: 't', address: getBackendAddress(), timeoutMs: 500,
			});
			if (!tunnel.ok) {
				throw tunnel.error;
			}

			tunnel.value.pause();
			accepted[0]!.write(Buffer.alloc(40_000_000));
			return tunnel.value;
		};

		// Guards against memory that grows with what one side sends, and against bytes that stay accounted.
		it('holds a bounded number of bytes until they are taken', async () => {
			const hold = ledger.open({kind: memoryKinds.tunnel, workspace: undefined});
			const tunnel = await openLarge(hold);
			await new Promise(resolve => {
				setTimeout(resolve, 300);
			});
			expect(hold.bytes).to.be.within(1, 256 * 1024);
			let received = 0;
			for await (const bytes of tunnel) {
				received += (bytes as Buffer).length;
				if (received === 40_000_000) {
					break;
				}
			}

			expect(hold.bytes).to.equal(0);
			tunnel.destroy();
		});

		// Guards against bytes beyond the budget, and against a cut that looks like the end of an answer without a length.
		it('is reset when there is no memory for its bytes', async () => {
			const tunnel = await openLarge({
				bytes: 0, tryAdd: () => false, remove: () => undefined, release: () => undefined,
			});
			const hadError = await new Promise(resolve => {
				accepted[0]!.on('close', resolve);
			});
			expect(hadError).to.equal(true);
			// A write fails at once on a connection that was reset, but not on a closed one.
			tunnel.write('x');
			const [error] = await once(tunnel, 'error', {signal: AbortSignal.timeout(500)}) as [NodeJS.ErrnoException];
			expect(error.code).to.be.oneOf(['ECONNRESET', 'EPIPE']);
		});
	});
});
