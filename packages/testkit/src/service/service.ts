import type {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {addTestRoutes} from '../faults/fault-routes.js';
import {FaultTable} from '../faults/fault-table.js';
import {
	closeConnection, findHeader, readBody, sendJson, toRouteHandler, type Exchange,
} from '../http/exchange.js';
import {startListener, type Router} from '../http/listener.js';
import type {StandIn} from '../http/stand-in.js';
import {serviceFaultSchema, type ServiceFault} from './service-faults.js';

/** Options of the stand-in for a service that is not a language model. */
export type ServiceOptions = {
	/** Port of the listener; 0 selects a free one. */
	port: number;
	/** Name in the answers of the service. */
	name: string;
	/** Duration of one execution in ms. */
	workMs: number;
};

/** Options used where none are given; also the defaults of the command line flags. */
export const serviceDefaults: ServiceOptions = {port: 0, name: 'service', workMs: 5};

/** One execution of a call, as `GET /testkit/state` lists it. */
export type ServiceExecution = {
	requestId: string;
	attemptId: string;
	method: string;
	path: string;
};

/** Answer to one executed call; kept for `answerCrossed`. */
type ServiceAnswer = {
	requestId: string;
	attemptId: string;
	body: unknown;
};

const bodyLimitBytes = 16_000_000;

/** Starts a plain service that records each execution by idempotency key and does not deduplicate. */
export const startService = async (options: Partial<ServiceOptions> = {}): Promise<StandIn> => {
	const service = new Service({...serviceDefaults, ...options});
	return startListener(service.options.port, router => {
		service.addRoutes(router);
	});
};

class Service {
	readonly #faults = new FaultTable<ServiceFault>();
	/** Executions by idempotency key, or by request id for calls without a key. */
	readonly #executions = new Map<string, ServiceExecution[]>();
	#calls = 0;
	#previous: ServiceAnswer = {requestId: 'unknown-request', attemptId: 'unknown-attempt', body: {answerTo: 'unknown-request'}};

	constructor(readonly options: ServiceOptions) {}

	addRoutes(router: Router): void {
		addTestRoutes(router, {
			faults: this.#faults,
			schema: serviceFaultSchema,
			getNow,
			getState: () => ({
				calls: this.#calls,
				executions: Object.fromEntries([...this.#executions].map(([key, executions]) => [key, executions.length])),
				executionDetails: Object.fromEntries(this.#executions),
			}),
		});
		router.all('*', toRouteHandler(async exchange => this.#handleCall(exchange)));
	}

	async #handleCall(exchange: Exchange): Promise<void> {
		this.#calls += 1;
		const body = await readBody(exchange, bodyLimitBytes);
		const requestId = findHeader(exchange, 'x-request-id');
		const attemptId = findHeader(exchange, 'x-attempt-id');
		if (!body || requestId === undefined || attemptId === undefined) {
			sendJson(exchange, 400, {error: 'bad_request', message: 'x-request-id or x-attempt-id is missing, or the body is too long'}, {'x-started': 'false'});
			return;
		}

		const applies = buildPathFilter(exchange);
		if (this.#faults.consume('down', getNow(), applies)) {
			closeConnection(exchange);
			return;
		}

		if (this.#faults.consume('notStarted', getNow(), applies)) {
			sendJson(exchange, 503, {error: 'not_started', message: 'the call was not executed'}, {
				'x-started': 'false', 'x-request-id': requestId, 'x-attempt-id': attemptId,
			});
			return;
		}

		const answer = this.#runCall(exchange, {requestId, attemptId}, body);
		await wait(this.options.workMs + (this.#faults.consume('slow', getNow(), applies)?.delayMs ?? 0), undefined, {ref: false});
		this.#sendAnswer(exchange, answer);
	}

	#runCall(exchange: Exchange, ids: {requestId: string; attemptId: string}, body: Buffer): ServiceAnswer {
		const idempotencyKey = findHeader(exchange, 'idempotency-key');
		const key = idempotencyKey ?? ids.requestId;
		const executions = this.#executions.get(key) ?? [];
		const {path} = exchange.request;
		executions.push({...ids, method: exchange.request.method ?? '', path});
		this.#executions.set(key, executions);
		return {
			...ids,
			body: {
				service: this.options.name,
				answerTo: ids.requestId,
				idempotencyKey: idempotencyKey ?? null,
				method: exchange.request.method,
				path,
				echo: body.toString('utf8'),
				execution: executions.length,
			},
		};
	}

	#sendAnswer(exchange: Exchange, answer: ServiceAnswer): void {
		const applies = buildPathFilter(exchange);
		if (this.#faults.consume('answerLost', getNow(), applies)) {
			closeConnection(exchange);
			return;
		}

		const sent = this.#faults.consume('answerCrossed', getNow(), applies) ? this.#previous : answer;
		this.#previous = answer;
		sendJson(exchange, 200, sent.body, {'x-request-id': sent.requestId, 'x-attempt-id': sent.attemptId});
	}
}

const getNow = (): number => performance.now();

const buildPathFilter = ({request}: Exchange) => (fault: {pathPrefix?: string | undefined}): boolean => request.path.startsWith(fault.pathPrefix ?? '');
