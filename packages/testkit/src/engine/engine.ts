import {
	engineOrderSchema, generateRequestSchema, reservationRequestSchema, segmentRequestSchema,
	type GenerateRequest, type SegmentRequest,
} from '@knapweedrack/protocol';
import {z} from 'zod';
import {addTestRoutes} from '../faults/fault-routes.js';
import {
	closeConnection, findParameter, readJsonBody, sendJson, toRouteHandler, type Exchange,
} from '../http/exchange.js';
import {startListener, type Router} from '../http/listener.js';
import type {StandIn} from '../http/stand-in.js';
import {
	AnswerText, computeAnswerTokens, computePromptDigest, computeSegmentedDigest,
} from './answer-text.js';
import {engineFaultSchema} from './engine-faults.js';
import {fetchSegments, type ImportedSegments} from './engine-links.js';
import type {EngineWork} from './engine-model.js';
import {engineDefaults, type EngineOptions} from './engine-options.js';
import {EngineOrders} from './engine-orders.js';
import {EngineRuntime, getNow, type WorkEnd} from './engine-runtime.js';
import {FrameStream} from './frame-stream.js';
import {hashPrefixBlocks} from './hashes.js';
import {refusals, sendRefusal, type Refusal} from './refusals.js';
import {countTokens} from './token-count.js';

const bodyLimitBytes = 64_000_000;
const smallBodyLimitBytes = 100_000;

const generateBodySchema = generateRequestSchema.strict();
const reservationBodySchema = reservationRequestSchema.strict();
const segmentBodySchema = segmentRequestSchema.strict();
const orderBodySchema = engineOrderSchema.strict();
const exportBodySchema = z.strictObject({requestId: z.string(), index: z.number().int().nonnegative()});

/** Handles one call; `receivedAt` is the real time in ms at which the call arrived, before any wait for the end of a freeze. */
type EngineHandler = (exchange: Exchange, receivedAt: number) => Promise<void> | void;

/** Starts a stand-in engine whose answers follow from the prompt and whose speed follows from `EngineModel`. */
export const startEngine = async (options: Partial<EngineOptions> = {}): Promise<StandIn> => {
	const engine = new Engine({...engineDefaults, ...options});
	const listener = await startListener(engine.options.port, router => {
		engine.addRoutes(router);
	});
	return {
		address: listener.address,
		async close() {
			engine.close();
			await listener.close();
		},
	};
};

/** Serves the HTTP API of an engine. */
class Engine {
	readonly #runtime: EngineRuntime;
	readonly #orders: EngineOrders;
	readonly #refusalCounts = new Map<string, number>();

	constructor(readonly options: EngineOptions) {
		this.#runtime = new EngineRuntime(options);
		this.#orders = new EngineOrders(this.#runtime);
	}

	addRoutes(router: Router): void {
		const {model} = this.#runtime;
		router.post('/v1/generate', this.#buildHandler(async exchange => this.#handleGenerate(exchange)));
		router.get('/admin/v1/status', this.#buildHandler(exchange => {
			sendJson(exchange, 200, this.#runtime.getReport(this.#orders.fencingNumber));
		}));
		router.post('/admin/v1/requests/:id/cancel', this.#buildHandler(exchange => {
			sendJson(exchange, 200, {cancelled: model.cancel(getRequestId(exchange), this.#runtime.getModelTime())});
		}));
		router.post('/admin/v1/requests/:id/pause', this.#buildHandler(exchange => {
			this.#sendPhase(exchange, model.pause(getRequestId(exchange)));
		}));
		router.post('/admin/v1/requests/:id/resume', this.#buildHandler(exchange => {
			this.#sendPhase(exchange, model.resume(getRequestId(exchange), this.#runtime.getModelTime()));
		}));
		router.post('/admin/v1/reservations', this.#buildHandler(async exchange => this.#handleReservation(exchange)));
		router.delete('/admin/v1/reservations/:id', this.#buildHandler(exchange => {
			sendJson(exchange, 200, {released: model.release(getRequestId(exchange), this.#runtime.getModelTime())});
		}));
		router.post('/admin/v1/segments', this.#buildHandler(async exchange => this.#handleSegment(exchange)));
		router.post('/admin/v1/kv/export', this.#buildHandler(async exchange => this.#handleExport(exchange)));
		router.post('/admin/v1/orders', this.#buildHandler(async (exchange, receivedAt) => this.#handleOrder(exchange, receivedAt)));
		router.get('/admin/v1/orders', this.#buildHandler(exchange => {
			sendJson(exchange, 200, this.#orders.assignment);
		}));
		router.get('/admin/v1/cache-events', this.#buildHandler(exchange => {
			this.#handleCacheEvents(exchange);
		}));
		addTestRoutes(router, {
			faults: this.#runtime.faults,
			schema: engineFaultSchema,
			getNow,
			handleFault: fault => {
				this.#runtime.handleFault(fault);
			},
			getState: () => this.#getState(),
		});
		router.all('*', toRouteHandler(exchange => {
			sendRefusal(exchange, 'badRequest', 'the engine has no such route');
		}));
	}

	close(): void {
		this.#runtime.close();
	}

	#getState(): unknown {
		this.#runtime.runUntilNow();
		const {model, bootId, crashes, attempts} = this.#runtime;
		return {
			serverId: this.options.serverId,
			bootId,
			isCold: model.isCold,
			kvTokensUsed: model.kvTokensUsed,
			running: [...model.jobs].map(({work, phase, kvTokens}) => ({
				requestId: work.requestId, attemptId: work.attemptId, phase, kvTokens,
			})),
			reservations: [...model.reservations].map(({requestId, kvTokens, segments}) => ({requestId, kvTokens, segments: [...segments.keys()]})),
			crashes,
			executed: Object.fromEntries(attempts),
			refusals: Object.fromEntries(this.#refusalCounts),
			assignment: this.#orders.assignment,
		};
	}

	/** Closes the connection while the engine is down and delays the call while the engine is frozen. */
	#buildHandler(handler: EngineHandler): (request: unknown, response: unknown) => void {
		return toRouteHandler(async exchange => {
			const receivedAt = getNow();
			this.#runtime.addExchange(exchange);
			await this.#runtime.waitForFreezeEnd();
			if (this.#runtime.isUnavailable) {
				closeConnection(exchange);
				return;
			}

			this.#runtime.runUntilNow();
			await handler(exchange, receivedAt);
			this.#runtime.runUntilNow();
		});
	}

	#refuse(exchange: Exchange, refusal: Refusal, message: string): void {
		const {code} = refusals[refusal];
		this.#refusalCounts.set(code, (this.#refusalCounts.get(code) ?? 0) + 1);
		sendRefusal(exchange, refusal, message);
	}

	async #handleGenerate(exchange: Exchange): Promise<void> {
		const body = await readJsonBody(exchange, generateBodySchema, bodyLimitBytes);
		if (!body.ok) {
			this.#refuse(exchange, 'badRequest', body.message);
			return;
		}

		const {bootId} = this.#runtime;
		const refusal = this.#checkGenerate(body.value);
		if (refusal) {
			this.#refuse(exchange, refusal, `generate refused: ${refusals[refusal].code}`);
			return;
		}

		const imported = await fetchSegments(body.value.requestId, body.value.segments ?? []);
		if (!imported) {
			this.#refuse(exchange, 'segmentNotFound', 'a segment could not be imported from its engine');
			return;
		}

		if (bootId !== this.#runtime.bootId) {
			closeConnection(exchange);
			return;
		}

		this.#startGenerate(exchange, body.value, imported);
	}

	#checkGenerate(body: GenerateRequest): Refusal | undefined {
		if (this.#runtime.isLeaving) {
			return 'leaving';
		}

		if (body.bootId !== undefined && body.bootId !== this.#runtime.bootId) {
			return 'bootChanged';
		}

		if (body.model !== this.#orders.assignment.model) {
			return 'modelNotLoaded';
		}

		if (this.#runtime.hasSeenAttempt(body.attemptId)) {
			return 'duplicateAttempt';
		}

		return this.#orders.tryAcceptFencing(body.fencingNumber) ? undefined : 'staleFencingNumber';
	}

	#startGenerate(exchange: Exchange, body: GenerateRequest, imported: ImportedSegments): void {
		if (this.#runtime.hasSeenAttempt(body.attemptId)) {
			this.#refuse(exchange, 'duplicateAttempt', 'the attempt id was used before');
			return;
		}

		const promptTokens = Math.max(1, countTokens(body.prompt));
		const work: EngineWork = {
			requestId: body.requestId,
			attemptId: body.attemptId,
			kind: 'generate',
			promptTokens,
			maxTokens: body.maxTokens,
			answerTokens: computeAnswerTokens(body.prompt, body.maxTokens),
			priority: body.priority,
			deadlineAt: this.#runtime.getModelTime(body.deadlineInMs),
			blocks: imported.digests.length > 0 ? [] : hashPrefixBlocks(body.prompt),
			importTokens: imported.tokens,
		};
		if (!this.#trySubmit(exchange, work, body.prompt)) {
			return;
		}

		exchange.response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		exchange.response.flushHeaders();
		this.#runtime.streams.add({
			work,
			promptTokens: promptTokens + imported.tokens,
			answer: new AnswerText(computeSegmentedDigest([...imported.digests, computePromptDigest(body.prompt)])),
			stream: new FrameStream(exchange.response, this.#runtime.consumeFrameFault(body.prompt)),
		});
		exchange.response.once('close', () => {
			if (this.options.cancelsOnDisconnect && !exchange.response.writableFinished) {
				this.#runtime.model.cancel(body.requestId, this.#runtime.getModelTime());
				this.#runtime.runUntilNow();
			}
		});
	}

	/** Submits work; sends a refusal and returns false when the work was not accepted. */
	#trySubmit(exchange: Exchange, work: EngineWork, prompt: string, handleEnd?: (end: WorkEnd) => void): boolean {
		const result = this.#runtime.submit(work, prompt, handleEnd);
		if (result.type === 'refused') {
			this.#refuse(exchange, result.error, 'too little KV memory is free or too many requests run');
		}

		return result.type === 'accepted';
	}

	#sendPhase(exchange: Exchange, phase: string | undefined): void {
		if (phase === undefined) {
			this.#refuse(exchange, 'notFound', 'the engine runs no request with this id');
			return;
		}

		sendJson(exchange, 200, {phase});
	}

	async #handleReservation(exchange: Exchange): Promise<void> {
		const body = await readJsonBody(exchange, reservationBodySchema, smallBodyLimitBytes);
		if (!body.ok) {
			this.#refuse(exchange, 'badRequest', body.message);
			return;
		}

		if (this.#runtime.isLeaving) {
			this.#refuse(exchange, 'leaving', 'the engine is leaving and takes no reservations');
			return;
		}

		const {requestId, kvTokens, ttlMs, fencingNumber} = body.value;
		if (!this.#orders.tryAcceptFencing(fencingNumber)) {
			this.#refuse(exchange, 'staleFencingNumber', 'the fencing number is lower than an accepted one');
			return;
		}

		if (!this.#runtime.model.reserve(requestId, kvTokens, this.#runtime.getModelTime(ttlMs))) {
			this.#refuse(exchange, 'outOfMemory', `the engine has less than ${kvTokens} KV tokens free`);
			return;
		}

		sendJson(exchange, 200, {requestId, kvTokens, expiresInMs: ttlMs});
	}

	async #handleSegment(exchange: Exchange): Promise<void> {
		const body = await readJsonBody(exchange, segmentBodySchema, bodyLimitBytes);
		if (!body.ok) {
			this.#refuse(exchange, 'badRequest', body.message);
			return;
		}

		if (!this.#runtime.model.hasReservation(body.value.requestId)) {
			this.#refuse(exchange, 'notFound', 'no reservation for the request');
			return;
		}

		const imported = await fetchSegments(body.value.requestId, body.value.segments);
		if (!imported) {
			this.#refuse(exchange, 'segmentNotFound', 'a segment could not be imported from its engine');
			return;
		}

		this.#startSegment(exchange, body.value, imported);
	}

	#startSegment(exchange: Exchange, body: SegmentRequest, imported: ImportedSegments): void {
		// The reservation can expire during the import.
		if (!this.#runtime.model.hasReservation(body.requestId)) {
			this.#refuse(exchange, 'notFound', 'no reservation for the request');
			return;
		}

		if (this.#runtime.hasSeenAttempt(body.attemptId)) {
			this.#refuse(exchange, 'duplicateAttempt', 'the attempt id was used before');
			return;
		}

		const tokens = Math.max(1, countTokens(body.prompt));
		const work: EngineWork = {
			requestId: body.requestId,
			attemptId: body.attemptId,
			kind: 'segment',
			promptTokens: tokens,
			maxTokens: 0,
			answerTokens: 0,
			priority: body.priority,
			deadlineAt: Number.POSITIVE_INFINITY,
			blocks: [],
			importTokens: imported.tokens,
			segment: {index: body.index, tokens, digest: computePromptDigest(body.prompt)},
		};
		this.#trySubmit(exchange, work, body.prompt, end => {
			if (end === 'finished') {
				sendJson(exchange, 200, {requestId: body.requestId, index: body.index, tokens});
			} else {
				sendRefusal(exchange, 'cancelled', `the request was ${end}`, true);
			}
		});
	}

	async #handleExport(exchange: Exchange): Promise<void> {
		const body = await readJsonBody(exchange, exportBodySchema, smallBodyLimitBytes);
		if (!body.ok) {
			this.#refuse(exchange, 'badRequest', body.message);
			return;
		}

		const {requestId, index} = body.value;
		const segment = this.#runtime.model.findSegment(requestId, index);
		if (!segment) {
			this.#refuse(exchange, 'notFound', 'the request has no segment with this index');
			return;
		}

		sendJson(exchange, 200, {
			requestId, index, tokens: segment.tokens, digest: segment.digest,
		});
	}

	async #handleOrder(exchange: Exchange, receivedAt: number): Promise<void> {
		const body = await readJsonBody(exchange, orderBodySchema, smallBodyLimitBytes);
		if (!body.ok) {
			this.#refuse(exchange, 'badRequest', body.message);
			return;
		}

		if (!this.#orders.tryAcceptFencing(body.value.fencingNumber)) {
			this.#refuse(exchange, 'staleFencingNumber', 'the fencing number is lower than an accepted one');
			return;
		}

		if (getNow() - receivedAt > body.value.expiresInMs) {
			this.#refuse(exchange, 'orderExpired', 'the order expired before it was handled');
			return;
		}

		sendJson(exchange, 202, {orderId: body.value.orderId});
		void this.#orders.run(body.value);
	}

	#handleCacheEvents(exchange: Exchange): void {
		const after = z.coerce.number().int().nonnegative().safeParse(findParameter(exchange, 'after'));
		if (!after.success) {
			this.#refuse(exchange, 'badRequest', 'query parameter after is missing or no whole number');
			return;
		}

		sendJson(exchange, 200, {bootId: this.#runtime.bootId, events: this.#runtime.cacheFeed.list(after.data, getNow())});
	}
}

const getRequestId = ({request}: Exchange): string => decodeURIComponent(request.params.id ?? '');
