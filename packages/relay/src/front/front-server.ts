import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import type {CallerLimits} from '@knapweedrack/core';
import {RelayRequest} from './relay-request.js';
import type {RelayServices} from './relay-services.js';

/** Largest head that is parsed; the limit of the configuration, which may change, is checked after parsing. */
const parsedHeaderBytes = 128 * 1024;
/** Time beyond the configured idle time for which an idle connection stays open, so that a request does not cross its close. */
const idleMarginMs = 2000;
/** Period in which Node looks for connections with an overdue head. */
const connectionCheckMs = 500;
/** Period in which a stop looks whether all requests have ended. */
const drainCheckMs = 25;

/** Listener for callers. */
export class FrontServer {
	readonly #server: Server;
	#openCount = 0;
	#totalCount = 0;

	constructor(private readonly services: RelayServices) {
		this.#server = createServer({
			maxHeaderSize: parsedHeaderBytes, connectionsCheckingInterval: connectionCheckMs, keepAlive: true, noDelay: true, requestTimeout: 0,
		}, (request, response) => {
			void this.#serve(request, response);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
			this.#answerUnreadable(error, socket);
		});
	}

	get openRequests(): number {
		return this.#openCount;
	}

	get totalRequests(): number {
		return this.#totalCount;
	}

	async startListening(host: string, port: number): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
	}

	/** Address of the listener. */
	getAddress(): string {
		const address = this.#server.address();
		if (address === null || typeof address === 'string') {
			throw new Error('the listener for callers is not open');
		}

		return `${address.address}:${address.port}`;
	}

	/** Applies the limits of a new configuration to new requests. */
	applyLimits(limits: CallerLimits): void {
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
	}

	/** Waits until no request has been open for `quietMs`, at most until `deadline` of the timer service. */
	async waitUntilIdle(quietMs: number, deadline: number): Promise<void> {
		const {timer} = this.services;
		let quietSince = timer.now();
		return new Promise(resolve => {
			const unsubscribe = timer.subscribe(drainCheckMs, now => {
				if (this.#openCount > 0) {
					quietSince = now;
				}

				if (now - quietSince >= quietMs || now >= deadline) {
					unsubscribe();
					resolve();
				}
			});
		});
	}

	/** Closes the listener and all connections. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Accepts no further connections; open ones go on. */
	stopAccepting(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#openCount++;
		this.#totalCount++;
		response.on('error', () => undefined);
		response.once('close', () => {
			this.#openCount--;
		});
		try {
			await new RelayRequest(this.services, request, response).run();
		} catch (error) {
			this.services.log.write('request.invariant_broken', {message: (error as Error).message, stack: (error as Error).stack});
			response.destroy();
		}
	}

	#answerUnreadable(error: NodeJS.ErrnoException, socket: Duplex): void {
		this.services.metrics.countEvent('caller.unreadable');
		if (!socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		const status = unreadableStatuses.get(error.code ?? '') ?? '400 Bad Request';
		this.services.log.writeRequest('caller.unreadable', undefined, {code: error.code, status});
		socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	}
}

const unreadableStatuses = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);
