import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {loopbackHost} from '../http/listener.js';
import type {StandIn} from '../http/stand-in.js';
import {ReservationLedger} from './reservation-ledger.js';

/** A request as received by a runner, a backend server of the hosting platform. */
export type RunnerRequest = {
	method: string;
	path: string;
	headers: IncomingMessage['headers'];
	rawHeaders: string[];
	body: Buffer;
	/** Resolves when the connection closes before the answer is complete; stays pending otherwise. */
	connectionClosed: Promise<void>;
};

/** Answers one request; it gets the raw response, so that it can also send answers that violate the protocol. */
export type RunnerHandler = (request: RunnerRequest, response: ServerResponse) => Promise<void> | void;

/** A running runner with the requests that it has received and the memory reserved on it. */
export type Runner = StandIn & {
	id: string;
	received: RunnerRequest[];
	reservations: ReservationLedger;
	/** Closes the connections that have no open request. */
	closeIdleConnections: () => void;
};

const orderPath = '/-/order';
const healthPath = '/health';

/**
 * Starts a stand-in runner that answers 421 to requests addressed to another id.
 * It answers health checks itself. The `handlers`, which runners may share, answer one request each, in order; `answer` answers all further requests.
 * Port 0 selects a free port.
 */
export const startRunner = async (id: string, handlers: RunnerHandler[] = [], {answer = answerDefault, port = 0}: {answer?: RunnerHandler; port?: number} = {}): Promise<Runner> => {
	const received: RunnerRequest[] = [];
	const reservations = new ReservationLedger();
	const server = createServer((request, response) => {
		void serve(request, response);
	});
	const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const parts: Buffer[] = [];
		for await (const part of request) {
			parts.push(part as Buffer);
		}

		if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== id) {
			response.writeHead(421, {'X-Runner-Id': id}).end();
			return;
		}

		if (request.url === orderPath && reservations.lostOrders > 0) {
			reservations.lostOrders--;
			request.socket.destroy();
			return;
		}

		if (request.url === orderPath) {
			const status = await reservations.handleOrder(Buffer.concat(parts).toString());
			response.writeHead(status, {'content-length': 0}).end();
			return;
		}

		if (request.url === healthPath) {
			response.writeHead(200, {'X-Runner-Id': id, 'content-length': 0}).end();
			return;
		}

		const runnerRequest: RunnerRequest = {
			method: request.method ?? '', path: request.url ?? '', headers: request.headers, rawHeaders: request.rawHeaders, body: Buffer.concat(parts),
			connectionClosed: waitForClose(response),
		};
		received.push(runnerRequest);
		await (handlers.shift() ?? answer)(runnerRequest, response);
	};

	server.listen(port, loopbackHost);
	await once(server, 'listening');
	const {port: boundPort} = server.address() as AddressInfo;
	return {
		id, received, reservations,
		address: `${loopbackHost}:${boundPort}`,
		closeIdleConnections() {
			server.closeIdleConnections();
		},
		async close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

const waitForClose = async (response: ServerResponse): Promise<void> => new Promise(resolve => {
	response.on('close', () => {
		if (!response.writableFinished) {
			resolve();
		}
	});
});

/** Builds the headers by which an entry recognizes the answer to its attempt. */
export const buildSignedHeaders = (request: RunnerRequest): Record<string, string> => ({
	'X-Attempt-Id': String(request.headers['x-attempt-id']),
	'X-Response-Stamp': `stamp-${String(request.headers['x-attempt-id'])}`,
});

/** Answers 200 with the method, path and body of the request. */
export const answerDefault: RunnerHandler = (request, response) => {
	const body = Buffer.concat([Buffer.from(`${request.method} ${request.path} `), request.body]);
	response.writeHead(200, {...buildSignedHeaders(request), 'content-length': body.length}).end(body);
};

/** Refuses a request with status 503 and states that it was not executed. */
export const answerNotRun: RunnerHandler = (_request, response) => {
	response.writeHead(503, {'X-Not-Executed': '1', 'content-length': 0}).end();
};

/** Builds the text of the server-sent events with ids from `first` to `last`. */
export const buildEvents = (first: number, last: number): string => {
	let text = '';
	for (let id = first; id <= last; id++) {
		text += `id: ${id}\ndata: piece ${id}\n\n`;
	}

	return text;
};

/** Sends the headers of an answer that is a stream of server-sent events. */
export const beginStream = (request: RunnerRequest, response: ServerResponse): void => {
	response.writeHead(200, {...buildSignedHeaders(request), 'content-type': 'text/event-stream'});
};

/** Answers with a stream that has neither a length nor chunks and ends with its connection. */
export const writeStreamWithoutLength = (request: RunnerRequest, response: ServerResponse, text: string): void => {
	const headers = Object.entries({...buildSignedHeaders(request), 'content-type': 'text/event-stream'}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	response.socket!.end(`HTTP/1.1 200 OK\r\n${headers}\r\n${text}`);
};
