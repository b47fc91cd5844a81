import {once} from 'node:events';
import {
	connect, createServer, Socket, type AddressInfo, type Server,
} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {expect} from 'chai';
import {openDirectConnection} from './connection-opener.js';

const host = '127.0.0.1';
const timeoutMs = 100;

const blockProcess = (durationMs: number): void => {
	const end = performance.now() + durationMs;
	while (performance.now() < end) {
		// Nothing else runs meanwhile.
	}
};

describe('openDirectConnection', () => {
	let server: Server;

	beforeEach(async () => {
		server = createServer(socket => {
			socket.on('error', () => undefined);
		}).listen(0, host);
		await once(server, 'listening');
	});

	afterEach(() => {
		server.close();
	});

	// Guards against servers that count as unreachable, and requests that are refused, because the entry itself was busy for longer than the timeout.
	it('uses a connection that was established in time while the process was busy', async () => {
		// Timers run after this phase of the event loop, and sockets are read after them.
		await waitForImmediate();
		const opening = openDirectConnection(target => connect(target), `${host}:${(server.address() as AddressInfo).port}`, timeoutMs);
		blockProcess(timeoutMs * 2);
		const opened = await opening;
		expect(opened.ok).to.equal(true);
		if (opened.ok) {
			opened.value.socket.destroy();
		}
	});

	// Guards against an exception outside of any request, which counts towards the end of the process.
	it('fails when the address cannot be used', async () => {
		const opened = await openDirectConnection(target => connect(target), `${host}:80801`, timeoutMs);
		expect(opened.ok ? undefined : (opened.error as NodeJS.ErrnoException).code).to.equal('ERR_SOCKET_BAD_PORT');
	});

	it('gives up a connection that is not established in time', async () => {
		const startedAt = performance.now();
		const opened = await openDirectConnection(() => new Socket(), `${host}:1`, timeoutMs);
		expect(opened.ok ? undefined : (opened.error as NodeJS.ErrnoException).code).to.equal('ETIMEDOUT');
		expect(performance.now() - startedAt).to.be.below(timeoutMs * 5);
	});
});
