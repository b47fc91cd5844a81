import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import debug from 'debug';
import polka from 'polka';
import {outcomeKinds, refusalReasons} from '@knapweedrack/core';
import {parseAddress} from '@knapweedrack/protocol';
import type {EntryServices} from '../contracts.js';
import {UnreadableInput} from '../http/unreadable-input.js';
import {CallerContext} from './caller-context.js';
import {createRequestId} from './caller-headers.js';
import {handleCompletion} from './completion-handler.js';
import {
	authenticate, isRefusal, sendJson, sendRefusal, type Exchange,
} from './exchange.js';
import {buildErrorBody, createRefusal} from './refusal.js';
import {refusalMessages} from './refusal-messages.js';
import {handleServiceCall} from './service-handler.js';

const log = debug('knapweedrack:callers');

/** Options of the listener for callers. */
export type CallerServerOptions = {
	/** `host:port`; port 0 lets the system choose one. */
	address: string;
	/** Longest time in ms from the first byte of a request to the end of its headers; 10 s by default. */
	headersTimeoutMs?: number;
};

/** A running listener for callers. */
export type CallerServer = {
	/** `host:port` in use. */
	address: string;
	/** Stops listening, ends open requests with `entry_stopping` and waits for their clean-up. */
	close: () => Promise<void>;
	/** Counts requests that are not answered, from the arrival of their headers, and background tasks, such as claims that are being stored. */
	countOpenRequests: () => number;
};

type Handler = (context: CallerContext, exchange: Exchange) => Promise<void> | void;

const headerLimitBytes = 16_384;
const defaultHeadersTimeoutMs = 10_000;
// Longer than the idle timeout of common HTTP clients, so that the client closes an idle connection first.
const keepAliveTimeoutMs = 65_000;

const handleEntries: Handler = (context, exchange) => {
	const query = new URL(exchange.request.url ?? '/', 'http://entry').searchParams;
	const {entries, keepMs, revision} = context.services.membership.listEntries(query.get('model') ?? undefined, query.get('workspace') ?? undefined);
	sendJson(exchange, 200, {entries: entries.map(({address, failureDomain}) => ({address, failureDomain})), keepMs, revision});
};

const handleModels: Handler = (context, exchange) => {
	const caller = authenticate(context, exchange);
	if (isRefusal(caller)) {
		sendRefusal(context, exchange, caller);
		return;
	}

	const data = caller.plan.models.map(id => ({
		// eslint-disable-next-line @typescript-eslint/naming-convention
		id, object: 'model', created: 0, owned_by: caller.workspace.fleet,
	}));
	sendJson(exchange, 200, {object: 'list', data});
};

const handleHealth: Handler = (_context, exchange) => {
	sendJson(exchange, 200, {status: 'ok'});
};

/** Ready while requests are accepted; queue length is ignored, because an overload of all entries would make every one of them unready. */
const handleReadiness: Handler = (context, exchange) => {
	const {configuration, membership} = context.services;
	const isReady = configuration.get() !== undefined && configuration.isFresh() && !membership.isStopping();
	sendJson(exchange, isReady ? 200 : 503, {status: isReady ? 'ready' : 'not_ready'});
};

const handleUnknown: Handler = (context, exchange) => {
	exchange.request.resume();
	sendRefusal(context, exchange, createRefusal(refusalReasons.notFound, `${exchange.request.method ?? ''} is not served at this path`));
};

/** Adapts a handler to the router; an unexpected error ends the request, not the process. */
const toRouteHandler = (context: CallerContext, handler: Handler) => (request: IncomingMessage, response: ServerResponse): void => {
	const exchange: Exchange = {
		request, response, requestId: createRequestId(request.headers), arrivedAt: context.services.timer.now(),
	};
	// A connection error also emits the close event of the response, which ends the request.
	// Without these listeners the error event would end the process.
	request.on('error', () => undefined);
	response.on('error', () => undefined);
	void runHandler(context, exchange, handler);
};

const runHandler = async (context: CallerContext, exchange: Exchange, handler: Handler): Promise<void> => {
	context.exchanges.add(exchange);
	try {
		await handler(context, exchange);
	} catch (error) {
		log('unexpected error in request %s: %s', exchange.requestId, error instanceof Error ? error.stack : 'unknown error');
		if (exchange.response.headersSent) {
			exchange.response.destroy();
		} else {
			sendRefusal(context, exchange, {outcome: outcomeKinds.failed, reason: refusalReasons.internal, message: refusalMessages.internal});
		}
	} finally {
		context.exchanges.delete(exchange);
	}
};

const invalidHttpError = {status: '400 Bad Request', reason: refusalReasons.badRequest, message: 'the request is not valid HTTP'};
const clientErrors = new Map([
	['HPE_HEADER_OVERFLOW', {status: '431 Request Header Fields Too Large', reason: refusalReasons.badRequest, message: 'the headers are too large'}],
	['ERR_HTTP_REQUEST_TIMEOUT', {status: '408 Request Timeout', reason: refusalReasons.requestTimeout, message: 'the headers did not arrive in time'}],
]);

/** Answers input that is not valid HTTP, for example control characters in headers. */
const answerUnreadable = (context: CallerContext, error: NodeJS.ErrnoException, socket: Duplex): void => {
	const {status, reason, message} = clientErrors.get(error.code ?? '') ?? invalidHttpError;
	const refusal = createRefusal(reason, message);
	context.services.metrics.countRefusal(refusal.reason);
	const body = JSON.stringify(buildErrorBody(refusal, createRequestId({}), []));
	socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
};

const addRoutes = (context: CallerContext, server: Server): void => {
	const unreadableInput = new UnreadableInput((error, socket) => {
		answerUnreadable(context, error, socket);
	});
	server.on('clientError', (error, socket) => {
		unreadableInput.handleError(error, socket);
	});
	const toHandler = (handler: Handler) => toRouteHandler(context, handler) as never;
	const app = polka({server, onNoMatch: toHandler(handleUnknown)});
	app.get('/healthz', toHandler(handleHealth));
	app.get('/readyz', toHandler(handleReadiness));
	app.get('/v1/entries', toHandler(handleEntries));
	app.get('/v1/models', toHandler(handleModels));
	app.post('/v1/chat/completions', toHandler(async (_context, exchange) => handleCompletion(context, exchange, 'chat')));
	app.post('/v1/completions', toHandler(async (_context, exchange) => handleCompletion(context, exchange, 'text')));
	app.all('/v1/services/*', toHandler(handleServiceCall));
	server.on('request', (request, response) => {
		if (unreadableInput.accept(request, response)) {
			app.handler(request as never, response);
		}
	});
};

const closeServer = async (context: CallerContext, server: Server): Promise<void> => {
	const closed = once(server, 'close');
	server.close();
	for (const task of context.tasks) {
		task.apply({type: 'refused', reason: refusalReasons.entryStopping, retryAfterMs: 0});
	}

	context.beginClosing();
	await context.waitForBackgroundTasks();
	server.closeIdleConnections();
	// Open connections carry final answers that were written above; those of callers that do not read are closed after 1 s.
	const cancelForcedClose = context.services.timer.schedule(1000, () => {
		server.closeAllConnections();
	});
	await closed;
	cancelForcedClose();
	await context.connections.close();
};

/** Starts the listener for callers. */
export const startCallerServer = async (services: EntryServices, options: CallerServerOptions): Promise<CallerServer> => {
	const context = new CallerContext(services);
	const server = createServer({
		maxHeaderSize: headerLimitBytes,
		headersTimeout: options.headersTimeoutMs ?? defaultHeadersTimeoutMs,
		// `readBody` limits the time of a body and counts a timeout as a refusal.
		requestTimeout: 0,
		keepAliveTimeout: keepAliveTimeoutMs,
		connectionsCheckingInterval: 1000,
	});
	addRoutes(context, server);
	const {host, port} = parseAddress(options.address) ?? {host: options.address, port: 0};
	server.listen(port, host);
	await once(server, 'listening');
	const boundAddress = server.address() as AddressInfo;
	const address = boundAddress.family === 'IPv6' ? `[${boundAddress.address}]:${boundAddress.port}` : `${boundAddress.address}:${boundAddress.port}`;
	log('listening for callers on %s', address);
	return {
		address,
		close: async () => closeServer(context, server),
		countOpenRequests: () => context.exchanges.size + context.countBackgroundTasks(),
	};
};
