import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, request as sendRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {createTimerService} from '@knapweedrack/entry/timer-service';
import {AnswerWriter} from './answer-writer.js';

const stallMs = 300;
const head = {
	status: 200, statusText: 'OK', headers: {}, envelope: {requestId: undefined, isNotRun: false},
} as unknown as Parameters<AnswerWriter['start']>[0];
/** More than the buffers of both sockets take. */
const body = Buffer.alloc(40_000_000);

describe('AnswerWriter', () => {
	const timer = createTimerService();
	let server: Server;
	let closed: string[];
	let heldBytes: number;

	const hold = {
		get bytes() {
			return heldBytes;
		},
		tryAdd(bytes: number) {
			heldBytes += bytes;
			return true;
		},
		remove(bytes: number) {
			heldBytes -= bytes;
		},
		release() {
			heldBytes = 0;
		},
	};

	const start = async (): Promise<IncomingMessage> => {
		server = createServer((_request, response: ServerResponse) => {
			const writer = new AnswerWriter(response, () => false);
			writer.setCaller({
				timer, hold, stallMs, notifyClosed(reason) {
					closed.push(reason);
				},
			});
			writer.writeWhole(head, body);
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		const request = sendRequest({host: '127.0.0.1', port: (server.address() as AddressInfo).port}).end();
		const [response] = await once(request, 'response') as [IncomingMessage];
		return response;
	};

	const readAll = async (response: IncomingMessage): Promise<number> => {
		let bytes = 0;
		try {
			for await (const part of response) {
				bytes += (part as Buffer).length;
			}
		} catch {
			// The connection may be closed before the end.
		}

		return bytes;
	};

	beforeEach(() => {
		closed = [];
		heldBytes = 0;
	});

	afterEach(() => {
		server.closeAllConnections();
		server.close();
	});

	after(() => {
		timer.stop();
	});

	// Guards against the memory and the connection of a caller that never reads an answer whose attempt has ended.
	it('closes the connection of a caller that takes nothing, so that the answer does not look complete', async () => {
		const response = await start();
		expect(heldBytes).to.be.above(1_000_000);
		await new Promise(resolve => {
			timer.schedule(4 * stallMs, resolve);
		});
		expect(closed).to.deep.equal(['stalled']);
		expect(heldBytes).to.equal(0);
		expect(await readAll(response)).to.be.below(body.length);
		expect(response.complete).to.equal(false);
	});

	// Guards against large answers that are lost to callers that read them.
	it('writes the whole answer to a caller that reads', async () => {
		const response = await start();
		expect(await readAll(response)).to.equal(body.length);
		expect({isComplete: response.complete, closed, heldBytes}).to.deep.equal({isComplete: true, closed: [], heldBytes: 0});
	});
});
