import {createServer} from 'node:http';
import {readBody, sendJson} from './http.mjs';

/** A runner of a service: answers health checks, reports and requests for its own id; `run` answers what it runs. */
export class Runner {
	/** Requests that it has begun to run, with their times. */
	runs = [];

	constructor({id, service, zone, host, run, slots = 6}) {
		Object.assign(this, {
			id, service, zone, host, run, slots,
		});
	}

	async start() {
		this.server = createServer({keepAliveTimeout: 20_000}, (request, response) => {
			this.#serve(request, response);
		});
		await new Promise(resolve => {
			this.server.listen(0, this.host, resolve);
		});
		this.address = `${this.host}:${this.server.address().port}`;
	}

	/** The record that it writes into the store. */
	describe(changes = {}) {
		return {
			service: this.service, address: this.address, zone: this.zone, version: 1, slots: this.slots, state: 'ready', coldRemainingMs: 0, sequence: 1, ...changes,
		};
	}

	/** Exits: all its connections are closed. */
	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	async #serve(request, response) {
		const body = await readBody(request);
		const {'x-expect-instance': expected = this.id, 'x-attempt-id': attemptId} = request.headers;
		if (expected !== this.id) {
			response.writeHead(421, {'Content-Length': 0, 'At-Server': this.address}).end();
		} else if (request.url === '/health') {
			response.writeHead(200, {'X-Runner-Id': this.id, 'Content-Length': 0}).end();
		} else if (request.url === '/-/order') {
			sendJson(response, 200, {free: 400_000});
		} else if (attemptId === undefined) {
			response.writeHead(400, {'X-Not-Executed': '1', 'Content-Length': 0}).end();
		} else {
			this.runs.push({
				attemptId, at: Date.now(), method: request.method, path: request.url, body: body.toString(), headers: request.headers,
			});
			await this.run({
				request, response, body, attemptId, stamp: `${this.id}.${this.runs.length}`,
			});
		}
	}
}

/** Answers with a short text, after `delayMs`. */
export const answerPlain = (delayMs = 15) => ({request, response, attemptId, stamp}) => {
	setTimeout(() => {
		const text = `${request.method} ${request.url} ran as ${attemptId}\n`;
		response.writeHead(200, {'X-Attempt-Id': attemptId, 'X-Response-Stamp': stamp, 'Content-Length': text.length}).end(text);
	}, delayMs);
};

/** Time in ms that an engine of the deployment takes to the first token of a prompt which it reads alone or with helpers. */
const computeFirstTokenMs = ({headers}) => {
	const [promptTokens] = headers['x-token-count'].split(',').map(Number);
	const parts = 1 + (headers['x-helpers']?.split(',').length ?? 0);
	return ((promptTokens / 256) + ((promptTokens ** 2) / 2_000_000 * 0.0917)) / parts;
};

/** Streams `count` events after the time that the prompt takes, one each `gapMs`; goes on after `Last-Event-Id`. */
export const answerStream = ({count = 17, gapMs = 45} = {}) => ({request, response, attemptId, stamp}) => {
	let id = Number(request.headers['last-event-id'] ?? 0);
	const write = () => {
		if (response.destroyed) {
			return;
		}

		id++;
		response.write(`id: ${id}\ndata: ${attemptId} piece ${id}\n\n`);
		if (id < count) {
			setTimeout(write, gapMs);
		} else {
			response.end();
		}
	};

	setTimeout(() => {
		if (!response.destroyed) {
			response.writeHead(200, {'X-Attempt-Id': attemptId, 'X-Response-Stamp': stamp, 'Content-Type': 'text/event-stream'});
			write();
		}
	}, computeFirstTokenMs(request));
};
