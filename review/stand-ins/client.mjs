import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';

/** Sends one request on a new connection and reads its answer. */
export const sendRequest = async ({address, ...request}) => {
	const connection = new CallerConnection(address);
	try {
		return await connection.send(request);
	} finally {
		connection.close();
	}
};

/** A connection of a caller, which is kept for one request after the other. */
export class CallerConnection {
	#received = Buffer.alloc(0);
	#end;
	#notify = () => undefined;

	constructor(address) {
		const [host, port] = address.split(':');
		this.socket = connect({host, port: Number(port)});
		this.socket.on('data', part => {
			this.#received = Buffer.concat([this.#received, part]);
			this.#notify();
		});
		this.socket.on('end', () => {
			this.#finish('closed');
		});
		this.socket.on('error', error => {
			this.#finish(error.code === 'ECONNRESET' ? 'reset' : error.code);
		});
	}

	/**
	 * Sends a request and reads what follows until the answer is whole or the connection ends. `end` tells how it ended: 'whole' (by length
	 * or chunks), 'closed' (the connection was closed), 'reset', another error code, or 'no answer in time'.
	 */
	async send({method = 'GET', path, headers, body = '', pieces = 1, pieceIntervalMs = 0, notifySent = () => undefined, limitMs = 20_000}) {
		try {
			if (this.socket.connecting) {
				await once(this.socket, 'connect');
			}
		} catch {
			return {...parseAnswer(Buffer.alloc(0)), end: this.#end};
		}

		const lines = [`${method} ${path} HTTP/1.1`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`)];
		if (body.length > 0) {
			lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
		}

		this.#received = Buffer.alloc(0);
		if (pieces === 1) {
			this.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
		} else {
			this.socket.write(`${lines.join('\r\n')}\r\n\r\n`);
			await this.#writePieces(body, pieces, pieceIntervalMs);
		}

		notifySent();
		return this.#readAnswer(limitMs);
	}

	async #writePieces(body, pieces, pieceIntervalMs) {
		const size = Math.ceil(body.length / pieces);
		for (let at = 0; at < body.length; at += size) {
			await wait(pieceIntervalMs);
			this.socket.write(body.slice(at, at + size));
		}
	}

	close() {
		this.socket.destroy();
	}

	async #readAnswer(limitMs) {
		return new Promise(resolve => {
			const settle = end => {
				clearTimeout(timer);
				this.#notify = () => undefined;
				resolve({...parseAnswer(this.#received), end});
			};

			const timer = setTimeout(() => {
				settle('no answer in time');
			}, limitMs);
			this.#notify = () => {
				if (parseAnswer(this.#received).isWhole) {
					settle('whole');
				} else if (this.#end !== undefined) {
					settle(this.#end);
				}
			};

			this.#notify();
		});
	}

	#finish(end) {
		this.#end ??= end;
		this.#notify();
	}
}

/** Parses the bytes of an answer; `isWhole` when a length or chunks show its end. */
const parseAnswer = bytes => {
	const headEnd = bytes.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {
			status: 0, headers: {}, body: Buffer.alloc(0), isWhole: false,
		};
	}

	const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n');
	const status = Number(statusLine.split(' ')[1]);
	const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const rest = bytes.subarray(headEnd + 4);
	if (headers['transfer-encoding'] === 'chunked') {
		return {status, headers, ...parseChunks(rest)};
	}

	const length = Number(headers['content-length'] ?? Number.POSITIVE_INFINITY);
	return {
		status, headers, body: rest.subarray(0, Math.min(length, rest.length)), isWhole: rest.length >= length,
	};
};

const parseChunks = bytes => {
	const parts = [];
	let rest = bytes;
	for (;;) {
		const lineEnd = rest.indexOf('\r\n');
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(rest.subarray(0, lineEnd).toString('latin1'), 16);
		if (Number.isNaN(size) || rest.length < lineEnd + 2 + size + 2) {
			return {body: Buffer.concat(parts), isWhole: false};
		}

		if (size === 0) {
			return {body: Buffer.concat(parts), isWhole: true};
		}

		parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
		rest = rest.subarray(lineEnd + 2 + size + 2);
	}
};
