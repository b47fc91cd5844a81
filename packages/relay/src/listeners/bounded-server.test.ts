import {once} from 'node:events';
import type {Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import {createBoundedServer, type ListenerLimits} from './bounded-server.js';

const limits: ListenerLimits = {headBytes: 2000, timeoutMs: 200, connections: 3};
const largeBody = 'x'.repeat(20_000_000);

describe('createBoundedServer', () => {
	let server: Server;
	let sockets: Socket[];
	let answerBody: string;

	const open = async (text = ''): Promise<Socket & {text: string}> => {
		const socket = Object.assign(connect((server.address() as AddressInfo).port, '127.0.0.1'), {text: ''});
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			socket.text += bytes.toString();
		});
		await once(socket, 'connect');
		socket.write(text);
		return socket;
	};

	const waitForClose = async (socket: Socket): Promise<void> => {
		if (!socket.closed) {
			await once(socket, 'close');
		}
	};

	const countConnections = async (): Promise<number> => new Promise((resolve, reject) => {
		server.getConnections((error, count) => {
			if (error === null) {
				resolve(count);
			} else {
				reject(error);
			}
		});
	});

	const waitForConnections = async (expected: number): Promise<void> => {
		while (await countConnections() !== expected) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}
	};

	const get = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

	beforeEach(async () => {
		sockets = [];
		answerBody = 'ok';
		server = createBoundedServer((_request, response) => {
			response.writeHead(200, {'content-length': answerBody.length}).end(answerBody);
		}, limits).listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.closeAllConnections();
		server.close();
	});

	// Guards against memory for heads without end.
	it('refuses a head that is too long', async () => {
		const socket = await open(`GET / HTTP/1.1\r\nX-Long: ${'x'.repeat(limits.headBytes)}`);
		await waitForClose(socket);
		expect(socket.text).to.match(/^HTTP\/1\.1 431 /v);
	});

	// These guard against connections that stay open for callers that send or read nothing more.
	describe('closes a connection in time', () => {
		it('without a request', async () => waitForClose(await open()));
		it('with a head that is not complete', async () => waitForClose(await open('GET / HT')));
		it('after an answer', async () => waitForClose(await open(get)));

		it('whose other side was closed without a request', async () => {
			const socket = await open();
			socket.end();
			await waitForConnections(0);
		});

		it('with an answer that is not read', async () => {
			answerBody = largeBody;
			const socket = await open(get);
			socket.pause();
			await waitForConnections(1);
			await waitForConnections(0);
		});

		it('with a head that arrives byte by byte', async () => {
			const socket = await open('GET / HTTP/1.1\r\nX-Slow: ');
			const interval = setInterval(() => {
				socket.write('x');
			}, 20);
			await waitForClose(socket);
			clearInterval(interval);
		});
	});

	// These guard against bodies that are read although no request has one.
	describe('answers a request with a body and closes its connection', () => {
		const checkClosed = async (headers: string): Promise<void> => {
			const socket = await open(`GET / HTTP/1.1\r\nHost: a\r\n${headers}\r\n\r\n`);
			await waitForClose(socket);
			expect(socket.text).to.match(/^HTTP\/1\.1 200 /v).and.to.match(/ok$/v);
		};

		it('of a length', async () => checkClosed('Content-Length: 1000000'));
		it('of chunks', async () => checkClosed('Transfer-Encoding: chunked'));
		it('that waits for consent', async () => checkClosed('Expect: 100-continue\r\nContent-Length: 1000000'));
	});

	// Guards against idle connections of a crowd that keep others out, and against descriptors without bound.
	it('closes the oldest connection for a new one beyond the limit', async () => {
		const idle = [await open(), await open(), await open()];
		const last = await open(get);
		await once(last, 'data');
		await waitForClose(idle[0]!);
		expect(idle.slice(1).map(({closed}) => closed)).to.deep.equal([false, false]);
		expect(await countConnections()).to.equal(limits.connections);
	});
});
