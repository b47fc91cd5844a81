import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {loopbackHost} from '../http/listener.js';
import type {StandIn} from '../http/stand-in.js';
import {ReservationLedger} from './reservation-ledger.js';

/** A request as a runner received it. */
export type RunnerRequest = {
	method: string;
	path: string;
	headers: IncomingMessage['headers'];
	rawHeaders: string[];
	body: Buffer;
	/** Resolves when the connection of the request has closed before the answer ended. */
	connectionClosed: Promise<void>;
};

/** Answers one request; the response and its socket are at hand for answers that break the protocol. */
export type RunnerHandler = (request: RunnerRequest, response: ServerResponse) => Promise<void> | void;

/** A running runner with the requests that it took and the memory set aside on it. */
export type Runner = StandIn & {id: string; received: RunnerRequest[]; reservations: ReservationLedger};

const orderPath = '/-/order';

/**
 * Starts a stand-in of a runner that takes requests for its own id only.
 * `handlers`, which runners may share, answer the next requests in turn; after them the default answer is given.
 */
export const startRunner = async (id: string, handlers: RunnerHandler[] = []): Promise<Runner> => {
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

		if (request.url === orderPath) {
			const status = await reservations.handleOrder(Buffer.concat(parts).toString());
			response.writeHead(status, {'content-length': 0}).end();
			return;
		}

		const runnerRequest: RunnerRequest = {
			method: request.method ?? '', path: request.url ?? '', headers: request.headers, rawHeaders: request.rawHeaders, body: Buffer.concat(parts),
			connectionClosed: waitForClose(response),
		};
		received.push(runnerRequest);
		await (handlers.shift() ?? answerDefault)(runnerRequest, response);
	};

	server.listen(0, loopbackHost);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		id, received, reservations,
		address: `${loopbackHost}:${port}`,
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

/** Headers of a signed answer to a request. */
export const buildSignedHeaders = (request: RunnerRequest): Record<string, string> => ({
	'X-Attempt-Id': String(request.headers['x-attempt-id']),
	'X-Response-Stamp': `stamp-${String(request.headers['x-attempt-id'])}`,
});

/** Answers with the method, the path and the body of the request. */
export const answerDefault: RunnerHandler = (request, response) => {
	const body = Buffer.concat([Buffer.from(`${request.method} ${request.path} `), request.body]);
	response.writeHead(200, {...buildSignedHeaders(request), 'content-length': body.length}).end(body);
};

/** Refuses a request without running it. */
export const answerNotRun: RunnerHandler = (_request, response) => {
	response.writeHead(503, {'X-Not-Executed': '1', 'content-length': 0}).end();
};

/** Text of the events with the ids from `first` to `last`. */
export const buildEvents = (first: number, last: number): string => {
	let text = '';
	for (let id = first; id <= last; id++) {
		text += `id: ${id}\ndata: piece ${id}\n\n`;
	}

	return text;
};

/** Begins a stream of events. */
export const beginStream = (request: RunnerRequest, response: ServerResponse): void => {
	response.writeHead(200, {...buildSignedHeaders(request), 'content-type': 'text/event-stream'});
};
