import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const readBody = async request => {
	const parts = [];
	for await (const part of request) {
		parts.push(part);
	}

	return Buffer.concat(parts);
};

/**
 * Stand-in for a runner: runs `slots` requests at a time and queues a few more, answers 421 to requests for another runner, answers health
 * checks, and echoes the id of each request. `beforeAnswer` may send further bytes on the connection before a request is run.
 */
export class Runner {
	#running = 0;
	#queue = [];
	#server;
	#port = 0;

	constructor({id, service, zone = 'north', slots = 6, workMs = 20, record, run = answerPlain, receive = () => undefined}) {
		Object.assign(this, {
			id, service, zone, slots, workMs, record, run, receive,
		});
	}

	async start() {
		this.#server = createServer((request, response) => {
			this.#serve(request, response);
		});
		this.#server.keepAliveTimeout = 5000;
		await new Promise(resolve => {
			this.#server.listen(this.#port, '127.0.0.1', resolve);
		});
		this.#port = this.#server.address().port;
		this.address = `127.0.0.1:${this.#server.address().port}`;
		this.born = Date.now();
	}

	/** Entry under which the runner registers itself in the store. */
	describe(changes = {}) {
		const {service, address, zone, slots, born} = this;
		return {
			service, address, zone, version: 1, slots, state: 'ready', coldRemainingMs: 0, sequence: 1, born, ...changes,
		};
	}

	/** Ends the runner at once, as a crash does; `start` starts it again at its address, as another incarnation. */
	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(request, response) {
		const body = await readBody(request);
		const expected = request.headers['x-expect-instance'];
		const id = request.headers['x-attempt-id'];
		const echo = id === undefined ? {} : {'X-Attempt-Id': id};
		this.receive(request);
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {...echo, 'X-Not-Executed': '1', 'content-length': 0}).end();
			return;
		}

		if (request.url === '/health') {
			response.writeHead(200, {'X-Runner-Id': this.id, 'content-length': 0}).end();
			return;
		}

		if (id === undefined) {
			response.writeHead(400, {'X-Not-Executed': '1', 'content-length': 0}).end();
			return;
		}

		if (this.#running >= this.slots && this.#queue.length >= this.slots * 2) {
			response.writeHead(503, {...echo, 'X-Not-Executed': '1', 'content-length': 0}).end();
			return;
		}

		if (this.#running >= this.slots) {
			await new Promise(resolve => {
				this.#queue.push(resolve);
			});
		}

		this.#running++;
		this.record('ran', {id, runner: this.id, path: request.url});
		await new Promise(resolve => {
			setTimeout(resolve, this.workMs);
		});
		await this.run(this, {
			request, response, body, id,
		});
		this.#running--;
		this.#queue.shift()?.();
	}
}

/** Answers 200 with a short body. */
export const answerPlain = (runner, {request, response, id}) => {
	const text = `${request.method} ${request.url} ${id}`;
	response.writeHead(200, {'X-Attempt-Id': id, 'X-Response-Stamp': `${runner.id}.${id}`, 'content-length': Buffer.byteLength(text)}).end(text);
};
