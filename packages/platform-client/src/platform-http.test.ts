import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {createObjectStore} from './http-object-store.js';
import {PlatformHttp} from './platform-http.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
	response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
};

describe('PlatformHttp', () => {
	let server: Server;
	let http: PlatformHttp;
	let handler: Handler;
	let requests: IncomingMessage[];

	beforeEach(async () => {
		requests = [];
		server = createServer((request, response) => {
			requests.push(request);
			request.resume();
			request.on('end', () => {
				handler(request, response);
			});
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		http = new PlatformHttp({address: `127.0.0.1:${(server.address() as AddressInfo).port}`, timeoutMs: 300});
	});

	afterEach(async () => {
		await http.close();
		server.closeAllConnections();
		server.close();
	});

	describe('writes', () => {
		// Guards against a write that is sent twice because its lost answer was reported as a definite failure.
		it('returns unknown, without a retry, when the connection breaks after the request was sent', async () => {
			handler = request => request.socket.destroy();
			expect(await createObjectStore(http).put('a', 1)).to.have.nested.property('error.kind', 'unknown');
			expect(requests).to.have.length(1);
		});

		it('returns unknown when the answer does not arrive within the timeout', async () => {
			handler = () => undefined;
			expect(await createObjectStore(http).put('a', 1)).to.have.nested.property('error.kind', 'unknown');
		});

		// Guards against a write that was never sent being reported as possibly in effect.
		it('returns unavailable when the platform cannot be reached', async () => {
			server.close();
			await once(server, 'close');
			expect(await createObjectStore(http).put('a', 1)).to.have.nested.property('error.kind', 'unavailable');
			expect(http.counters.calls.put).to.be.greaterThan(1);
		});

		// Guards against a lost condition, which would let a write overwrite a concurrent edit.
		it('sends the condition and returns the current version on a mismatch', async () => {
			handler = (_request, response) => {
				sendJson(response, 412, {error: 'version_mismatch', message: 'changed', version: 9});
			};

			const store = createObjectStore(http);
			expect(await store.put('a', 1, {version: 3})).to.deep.equal({ok: false, error: {kind: 'version_mismatch', version: 9}});
			expect(requests[0]?.headers['if-match']).to.equal('3');
			await store.put('a', 1, {create: true});
			expect(requests[1]?.headers['if-none-match']).to.equal('*');
		});

		it('refuses a value above the size limit without a call', async () => {
			expect(await createObjectStore(http).put('a', 'x'.repeat(1_000_001))).to.have.nested.property('error.kind', 'too_large');
			expect(requests).to.be.empty;
		});
	});

	describe('reads', () => {
		// Guards against a task that fails because a single read failed during a short outage.
		it('retries a read after an outage and counts each call', async () => {
			handler = (_request, response) => {
				if (requests.length === 1) {
					sendJson(response, 503, {error: 'unavailable', message: 'down'});
					return;
				}

				sendJson(response, 200, {key: 'a', version: 1, value: 5});
			};

			expect(await createObjectStore(http).get('a')).to.deep.equal({ok: true, value: {key: 'a', version: 1, value: 5}});
			expect(http.counters.calls.get).to.equal(2);
			expect(http.counters.failures.get).to.equal(1);
		});

		// Guards against retries that keep a store at its rate limit.
		it('does not retry a call refused by the rate limit', async () => {
			handler = (_request, response) => {
				sendJson(response, 429, {error: 'rate_limited', message: 'slow down', retryAfterMs: 70});
			};

			expect(await createObjectStore(http).get('a')).to.deep.equal({ok: false, error: {kind: 'rate_limited', retryAfterMs: 70}});
			expect(requests).to.have.length(1);
		});

		it('returns a cancelled watch as a failure', async () => {
			handler = () => undefined;
			const controller = new AbortController();
			const watch = createObjectStore(http).watch('a', 0, 10_000, {signal: controller.signal});
			controller.abort();
			expect(await watch).to.have.property('ok', false);
		});
	});
});
