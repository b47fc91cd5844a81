import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {CallerLimits} from '@knapweedrack/core';
import {waitFor} from '@knapweedrack/entry/timer-service';
import {UnreadableInput} from '@knapweedrack/entry/unreadable-input';
import {closeIncompleteAnswer} from './caller-answer.js';
import {CallerConnections, type ConnectionCounts} from './caller-connections.js';
import {RelayRequest} from './relay-request.js';
import type {RelayServices} from './relay-services.js';

/** Maximum size of a request head for the parser; the configured limit can change at run time and is checked after parsing. */
const parsedHeaderBytes = 128 * 1024;
/** Factor and addition from the configured limit of the headers to the limit of the parser, which also counts the URL and the separators. */
const headerSizeFactor = 2;
const extraHeadBytes = 16 * 1024;
/** Extra time beyond the configured idle time before an idle connection is closed, so that a request is not sent while it closes, in ms. */
const idleMarginMs = 2000;
/** Interval at which Node checks for connections with an overdue head, in ms. */
const connectionCheckMs = 500;
/** Interval at which a stopping process checks whether all requests have ended, in ms. */
const drainCheckMs = 25;
/** Time for refusals at the end of a planned stop to leave the process, in ms. */
const refusalFlushMs = 50;

/** HTTP server for callers. */
export class FrontServer {
	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #openResponses = new Set<ServerResponse>();
	/** Requests that are being handled. */
	readonly #requests = new Set<RelayRequest>();
	readonly #unreadableInput = new UnreadableInput((error, socket) => {
		this.#answerUnreadable(error, socket);
	});

	#totalCount = 0;

	constructor(private readonly services: RelayServices) {
		const {memory, metrics, refusalLog, timer, computeConnectionLimit} = services;
		this.#connections = new CallerConnections({
			memory, now: () => timer.now(), computeLimit: computeConnectionLimit,
			notifyClosed: reason => {
				metrics.countRefusedCaller(reason);
				refusalLog.write('caller.closed', reason, undefined, {...this.#connections.count()});
			},
		});
		this.#server = createServer({
			maxHeaderSize: parsedHeaderBytes, connectionsCheckingInterval: connectionCheckMs, keepAlive: true, noDelay: true, requestTimeout: 0,
		}, (request, response) => {
			this.#serve(request, response);
		});
		this.#server.on('connection', (socket: Socket) => {
			this.#connections.accept(socket);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
			this.services.metrics.countEvent('caller.unreadable');
			this.#unreadableInput.handleError(error, socket);
		});
	}

	get openRequests(): number {
		return this.#openResponses.size;
	}

	get totalRequests(): number {
		return this.#totalCount;
	}

	/** Connections of callers by state. */
	countConnections(): ConnectionCounts {
		return this.#connections.count();
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

	/** `host:port` of the open listener; throws when it is not open. */
	getAddress(): string {
		const address = this.#server.address();
		if (address === null || typeof address === 'string') {
			throw new Error('cannot read the address of the caller listener: it is not open');
		}

		return `${address.address}:${address.port}`;
	}

	/** Applies the head and idle timeouts of a new configuration. */
	applyLimits(limits: CallerLimits): void {
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
		// Read for each new connection: the parser keeps a head in arrival up to this size.
		Object.assign(this.#server, {maxHeaderSize: Math.min(parsedHeaderBytes, (limits.headerBytes * headerSizeFactor) + extraHeadBytes)});
	}

	/** Waits until no request has been open for `idleMs`, at most until `deadline` (a time of the timer service, in ms). */
	async waitUntilIdle(idleMs: number, deadline: number): Promise<void> {
		const {timer} = this.services;
		let idleSince = timer.now();
		return new Promise(resolve => {
			const unsubscribe = timer.subscribe(drainCheckMs, now => {
				if (this.openRequests > 0) {
					idleSince = now;
				}

				if (now - idleSince >= idleMs || now >= deadline) {
					unsubscribe();
					resolve();
				}
			});
		});
	}

	/** Refuses the requests that no backend server can have run, and gives the refusals time to be sent. */
	async refuseWaiting(): Promise<void> {
		if (this.#requests.size > 0) {
			for (const request of this.#requests) {
				request.refuse();
			}

			await waitFor(this.services.timer, refusalFlushMs);
		}
	}

	/** Closes the listener and all connections, and ends the answers that are not complete. */
	close(): void {
		this.#server.close();
		for (const response of this.#openResponses) {
			if (!response.writableEnded) {
				closeIncompleteAnswer(response);
			}
		}

		this.#server.closeAllConnections();
	}

	/** Accepts no further connections; connections with a running request stay open. */
	stopAccepting(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	#serve(request: IncomingMessage, response: ServerResponse): void {
		if (!this.#unreadableInput.accept(request, response)) {
			return;
		}

		this.#openResponses.add(response);
		this.#totalCount++;
		response.on('error', () => undefined);
		response.once('close', () => {
			this.#openResponses.delete(response);
		});
		const relayRequest = new RelayRequest(this.services, request, response);
		this.#requests.add(relayRequest);
		this.#connections.handle({
			request, response,
			start: () => {
				void this.#run(relayRequest, response);
			},
			cancel: () => {
				this.#openResponses.delete(response);
				this.#requests.delete(relayRequest);
			},
		});
	}

	async #run(relayRequest: RelayRequest, response: ServerResponse): Promise<void> {
		try {
			await relayRequest.run();
		} catch (error) {
			this.services.log.write('request.invariant_broken', {message: (error as Error).message, stack: (error as Error).stack});
			if (!response.writableEnded) {
				closeIncompleteAnswer(response);
			}
		} finally {
			this.#requests.delete(relayRequest);
		}
	}

	#answerUnreadable(error: NodeJS.ErrnoException, socket: Duplex): void {
		const status = unreadableStatuses.get(error.code ?? '') ?? '400 Bad Request';
		this.services.metrics.countRefusedCaller('unreadable');
		this.services.refusalLog.write('caller.unreadable', status, undefined, {code: error.code, status});
		socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	}
}

const unreadableStatuses = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);
