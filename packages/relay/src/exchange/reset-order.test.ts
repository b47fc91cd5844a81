import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {startAttempt, type AttemptEnd, type RunningAttempt} from './attempt.js';
import {BackendConnections} from './backend-connections.js';
import {createDirectOpener, openTcpSocket} from './connection-opener.js';

const rounds = 30;
/** Larger than the read buffer of a socket, so that several reads are needed. */
const largeBytes = 300_000;
const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n';

type Attempt = {end: Promise<AttemptEnd>; running: RunningAttempt; readonly receivedBytes: number};

describe('end of an answer without a length', () => {
	let server: Server;
	let connections: BackendConnections;
	let serve: (socket: Socket) => void;

	beforeEach(async () => {
		connections = new BackendConnections({
			openConnection: createDirectOpener(openTcpSocket), isUsable: () => true, isRefusingRequests: () => false, confirmRunning: async () => true, notifyReceived: () => undefined, notifyStaleAnswer: () => undefined,
		});
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				serve(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(async () => {
		await connections.close();
		server.close();
	});

	const open = ({pauseAfterBytes = Number.POSITIVE_INFINITY}: {pauseAfterBytes?: number} = {}): Attempt => {
		const {port} = server.address() as AddressInfo;
		const connection = connections.acquire({id: 'a', address: `127.0.0.1:${port}`}, rounds)!;
		const attempt: {receivedBytes: number} & Partial<Attempt> = {receivedBytes: 0};
		attempt.end = new Promise(resolve => {
			attempt.running = startAttempt(connection, {
				method: 'GET', path: '/', headers: [], body: undefined, requestId: undefined,
			}, {
				handleHead: () => undefined,
				handleData(chunk) {
					attempt.receivedBytes += chunk.length;
					return attempt.receivedBytes < pauseAfterBytes;
				},
				handleEnd: resolve,
			}, () => ({
				requestId: undefined, isNotRun: false, isSigned: true, causeAddress: undefined, requestsPerSecondLimit: undefined, backoffMs: undefined, isLeaving: false,
			}));
		});
		return attempt as Attempt;
	};

	/** Pauses after the first bytes, and resumes often from a time on at which the connection has ended. */
	const readSlowly = async (): Promise<AttemptEnd> => {
		const attempt = open({pauseAfterBytes: 1});
		await sleep(30);
		const resume = setInterval(() => {
			attempt.running.resume();
		}, 2);
		const end = await attempt.end;
		clearInterval(resume);
		return end;
	};

	const countComplete = async (run: () => Promise<AttemptEnd>): Promise<number> => {
		let complete = 0;
		for (let round = 0; round < rounds; round++) {
			const {type} = await run();
			complete += type === 'complete' ? 1 : 0;
		}

		return complete;
	};

	// These guard against a truncated answer that counts as complete because the reset is reported as a plain end.
	it('is broken off when data and reset arrive together', async () => {
		serve = socket => {
			socket.write(`${head}some`, () => {
				socket.resetAndDestroy();
			});
		};

		expect(await countComplete(async () => open().end)).to.equal(0);
	});

	it('is broken off when many bytes and the reset arrive together', async () => {
		serve = socket => {
			socket.write(head + 'a'.repeat(largeBytes));
			setImmediate(() => {
				socket.resetAndDestroy();
			});
		};

		expect(await countComplete(async () => open().end)).to.equal(0);
	});

	it('is broken off when the reset arrives while reading is paused', async () => {
		serve = socket => {
			socket.write(head + 'a'.repeat(largeBytes));
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 10);
		};

		expect(await countComplete(async () => readSlowly())).to.equal(0);
	});

	// Guards against a process that ends by an error of the client when a connection closes while reading is paused.
	it('is complete when it is closed while reading is paused', async () => {
		serve = socket => {
			socket.end(`${head}whole`);
		};

		expect(await countComplete(async () => readSlowly())).to.equal(rounds);
	});

	// Guards against a reset that follows the regular end of an answer and spoils it.
	it('is complete when the connection is reset after its close was read', async () => {
		let served: Socket | undefined;
		serve = socket => {
			served = socket;
			socket.end(`${head}whole`);
		};

		expect(await countComplete(async () => {
			const end = await open().end;
			served!.resetAndDestroy();
			return end;
		})).to.equal(rounds);
	});
});
