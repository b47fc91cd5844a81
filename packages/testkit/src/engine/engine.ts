import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {
	clearInterval, clearTimeout, setInterval, setTimeout,
} from 'node:timers';
import {setTimeout as wait} from 'node:timers/promises';
import {
	engineOrderSchema, generateRequestSchema, reservationRequestSchema, segmentRequestSchema,
	type EngineOrder, type GenerateRequest, type SegmentRequest,
} from '@knapweedrack/protocol';
import {z} from 'zod';
import {addTestRoutes} from '../faults/fault-routes.js';
import {FaultTable} from '../faults/fault-table.js';
import {
	closeConnection, findParameter, readJsonBody, sendJson, toRouteHandler, type Exchange, type ExchangeHandler,
} from '../http/exchange.js';
import {startListener, type Router} from '../http/listener.js';
import type {StandIn} from '../http/stand-in.js';
import {
	AnswerText, computeAnswerTokens, computePromptDigest, computeSegmentedDigest,
} from './answer-text.js';
import {CacheFeed} from './cache-feed.js';
import {EngineClock} from './engine-clock.js';
import {fetchSegment, fetchTransfer} from './engine-links.js';
import {engineFaultSchema, type EngineFault, type FrameFault} from './engine-faults.js';
import {EngineModel, type EngineModelEvent, type EngineWork} from './engine-model.js';
import {engineDefaults, type EngineOptions} from './engine-options.js';
import {EngineStatus} from './engine-status.js';
import {FrameStream} from './frame-stream.js';
import {GenerateStreams} from './generate-streams.js';
import {hashPrefixBlocks} from './hashes.js';
import {applyOrder, type EngineAssignment} from './order-book.js';
import {refusals, sendRefusal, type Refusal} from './refusals.js';
import {countTokens} from './token-count.js';

const bodyLimitBytes = 64_000_000;
const smallBodyLimitBytes = 100_000;
/** Longest timer that Node.js accepts, in ms. */
const longestTimerMs = 2_147_483_647;
const weightRetryMs = 200;

const generateBodySchema = generateRequestSchema.strict();
const reservationBodySchema = reservationRequestSchema.strict();
const segmentBodySchema = segmentRequestSchema.strict();
const orderBodySchema = engineOrderSchema.strict();
const exportBodySchema = z.strictObject({requestId: z.string(), index: z.number().int().nonnegative()});

/** Starts an engine that generates deterministic text in modelled time. */
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

class Engine {
	readonly #model: EngineModel;
	readonly #clock: EngineClock;
	readonly #status: EngineStatus;
	readonly #feed: CacheFeed;
	readonly #streams = new GenerateStreams();
	readonly #faults = new FaultTable<EngineFault>();
	readonly #exchanges = new Set<Exchange>();
	readonly #segmentWaits = new Map<string, Exchange>();
	/** Started attempts by request id; kept over crashes. */
	readonly #attempts = new Map<string, number>();
	readonly #refusals = new Map<string, number>();
	readonly #prompts = new Map<string, string>();
	readonly #eventHandlers: {[Type in EngineModelEvent['type']]: (event: Extract<EngineModelEvent, {type: Type}>, now: number) => void} = {
		started: ({work}, now) => {
			this.#attempts.set(work.requestId, (this.#attempts.get(work.requestId) ?? 0) + 1);
			const prompt = this.#prompts.get(work.attemptId) ?? '';
			if (this.#faults.consume('crashMarker', now, ({marker}) => prompt.includes(marker))) {
				this.#crash();
			}
		},
		token: ({work, index}, now) => {
			this.#streams.sendToken(work, index, now);
		},
		finished: ({work}) => {
			this.#prompts.delete(work.attemptId);
			this.#streams.remove(work.attemptId);
			this.#endSegmentWait(work, exchange => {
				sendJson(exchange, 200, {requestId: work.requestId, index: work.segment?.index, tokens: work.segment?.tokens});
			});
		},
		ended: ({work, reason}, now) => {
			this.#prompts.delete(work.attemptId);
			this.#streams.closeIncomplete(work.attemptId, now);
			this.#endSegmentWait(work, exchange => {
				sendRefusal(exchange, 'cancelled', `the request was ${reason}`, true);
			});
		},
	};

	#seenAttempts = new Set<string>();
	#bootId = randomUUID();
	#crashes = 0;
	#downUntil = 0;
	#isClosed = false;
	#fencingNumber = 0;
	#assignment: EngineAssignment;
	#timer: NodeJS.Timeout | undefined;
	readonly #publishTimer: NodeJS.Timeout | undefined;
	#thaw: {promise: Promise<void>; resolve: () => void} | undefined;

	constructor(readonly options: EngineOptions) {
		this.#model = new EngineModel(options);
		this.#clock = new EngineClock(options.timeScale);
		this.#feed = new CacheFeed({delayMs: options.cacheEventDelayMs, lossRate: options.cacheEventLossRate, seed: options.seed});
		this.#status = new EngineStatus(options, this.#model, this.#clock);
		this.#assignment = {
			model: options.model, version: options.modelVersion, adapters: [], role: 'both', lastOrderId: '',
		};
		if (options.statusLagMs > 0) {
			this.#publishTimer = setInterval(() => {
				this.#publishStatus();
			}, options.statusLagMs).unref();
		}
	}

	addRoutes(router: Router): void {
		router.post('/v1/generate', this.#buildHandler(async exchange => this.#handleGenerate(exchange)));
		router.get('/admin/v1/status', this.#buildHandler(exchange => {
			sendJson(exchange, 200, this.#status.get(getNow(), {
				bootId: this.#bootId, isLeaving: this.#isLeaving(), fencingNumber: this.options.checksFencing ? this.#fencingNumber : undefined,
			}));
		}));
		router.post('/admin/v1/requests/:id/cancel', this.#buildHandler(exchange => {
			this.#handleCancel(exchange);
		}));
		router.post('/admin/v1/requests/:id/pause', this.#buildHandler(exchange => {
			this.#sendPhase(exchange, this.#model.stop(getRequestId(exchange)));
		}));
		router.post('/admin/v1/requests/:id/resume', this.#buildHandler(exchange => {
			this.#sendPhase(exchange, this.#model.start(getRequestId(exchange), this.#getModelTime()));
		}));
		router.post('/admin/v1/reservations', this.#buildHandler(async exchange => this.#handleReservation(exchange)));
		router.delete('/admin/v1/reservations/:id', this.#buildHandler(exchange => {
			sendJson(exchange, 200, {released: this.#model.release(getRequestId(exchange), this.#getModelTime())});
		}));
		router.post('/admin/v1/segments', this.#buildHandler(async exchange => this.#handleSegment(exchange)));
		router.post('/admin/v1/kv/export', this.#buildHandler(async exchange => this.#handleExport(exchange)));
		router.post('/admin/v1/orders', this.#buildHandler(async exchange => this.#handleOrder(exchange)));
		router.get('/admin/v1/orders', this.#buildHandler(exchange => {
			sendJson(exchange, 200, this.#assignment);
		}));
		router.get('/admin/v1/cache-events', this.#buildHandler(exchange => {
			this.#handleCacheEvents(exchange);
		}));
		addTestRoutes(router, {
			faults: this.#faults,
			schema: engineFaultSchema,
			getNow,
			handleFault: fault => {
				this.#handleFault(fault);
			},
			getState: () => this.#getState(),
		});
		router.all('*', toRouteHandler(exchange => {
			sendRefusal(exchange, 'badRequest', 'unknown call');
		}));
	}

	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		clearInterval(this.#publishTimer);
		this.#thaw?.resolve();
	}

	#getState(): unknown {
		this.#handleTime();
		return {
			serverId: this.options.serverId,
			bootId: this.#bootId,
			isCold: this.#model.isCold,
			kvTokensUsed: this.#model.kvTokensUsed,
			running: [...this.#model.jobs].map(({work, phase, kvTokens}) => ({
				requestId: work.requestId, attemptId: work.attemptId, phase, kvTokens,
			})),
			reservations: [...this.#model.reservations].map(({requestId, kvTokens, segments}) => ({requestId, kvTokens, segments: [...segments.keys()]})),
			crashes: this.#crashes,
			executed: Object.fromEntries(this.#attempts),
			refusals: Object.fromEntries(this.#refusals),
			assignment: this.#assignment,
		};
	}

	/** Cuts the connection while the engine is down and holds the call while it is frozen. */
	#buildHandler(handler: ExchangeHandler): (request: unknown, response: unknown) => void {
		return toRouteHandler(async exchange => {
			this.#exchanges.add(exchange);
			exchange.response.once('close', () => {
				this.#exchanges.delete(exchange);
			});
			await this.#thaw?.promise;
			if (this.#isDown() || this.#isClosed) {
				closeConnection(exchange);
				return;
			}

			this.#handleTime();
			await handler(exchange);
			this.#handleTime();
		});
	}

	#getModelTime(): number {
		return this.#clock.getModelTime(getNow());
	}

	/** Runs the model up to the present and schedules the next call. */
	#handleTime(): void {
		if (this.#isDown() || this.#isClosed || this.#clock.isFrozen) {
			return;
		}

		const now = getNow();
		this.#model.setSlowness(this.#faults.find('slow', now)?.factor ?? 1);
		const bootId = this.#bootId;
		for (const event of this.#model.handleTime(this.#clock.getModelTime(now))) {
			this.#eventHandlers[event.type](event as never, now);
			if (bootId !== this.#bootId) {
				return;
			}
		}

		this.#feed.publish(this.#model.consumeCacheChanges(), now);
		this.#schedule();
	}

	#publishStatus(): void {
		if (!this.#clock.isFrozen) {
			this.#status.publish(getNow());
		}
	}

	#schedule(): void {
		clearTimeout(this.#timer);
		const next = this.#model.getNextTime();
		if (next === undefined) {
			return;
		}

		const delayMs = this.#clock.toRealDuration(next - this.#getModelTime());
		this.#timer = setTimeout(() => {
			this.#handleTime();
		}, Math.min(longestTimerMs, Math.max(0, Math.ceil(delayMs))));
		this.#timer.unref();
	}

	#endSegmentWait({attemptId}: EngineWork, answer: (exchange: Exchange) => void): void {
		const exchange = this.#segmentWaits.get(attemptId);
		this.#segmentWaits.delete(attemptId);
		if (exchange) {
			answer(exchange);
		}
	}

	#refuse(exchange: Exchange, refusal: Refusal, message: string): void {
		const {code} = refusals[refusal];
		this.#refusals.set(code, (this.#refusals.get(code) ?? 0) + 1);
		sendRefusal(exchange, refusal, message);
	}

	async #handleGenerate(exchange: Exchange): Promise<void> {
		const body = await readJsonBody(exchange, generateBodySchema, bodyLimitBytes);
		if (!body.ok) {
			this.#refuse(exchange, 'badRequest', body.message);
			return;
		}

		const bootId = this.#bootId;
		const refusal = this.#checkGenerate(body.value);
		if (refusal) {
			this.#refuse(exchange, refusal, `generate refused: ${refusals[refusal].code}`);
			return;
		}

		const imported = await this.#importSegments(body.value.requestId, body.value.segments ?? []);
		if (!imported) {
			this.#refuse(exchange, 'segmentNotFound', 'a segment could not be imported');
			return;
		}

		if (bootId !== this.#bootId) {
			closeConnection(exchange);
			return;
		}

		this.#startGenerate(exchange, body.value, imported);
	}

	#checkGenerate(body: GenerateRequest): Refusal | undefined {
		if (this.#isLeaving()) {
			return 'leaving';
		}

		if (body.bootId !== undefined && body.bootId !== this.#bootId) {
			return 'bootChanged';
		}

		if (body.model !== this.#assignment.model) {
			return 'modelNotLoaded';
		}

		if (this.#seenAttempts.has(body.attemptId)) {
			return 'duplicateAttempt';
		}

		return this.#tryAcceptFencing(body.fencingNumber) ? undefined : 'staleFencingNumber';
	}

	#startGenerate(exchange: Exchange, body: GenerateRequest, imported: ImportedSegments): void {
		if (this.#seenAttempts.has(body.attemptId)) {
			this.#refuse(exchange, 'duplicateAttempt', 'the attempt was given before');
			return;
		}

		const now = getNow();
		const promptTokens = Math.max(1, countTokens(body.prompt));
		const work: EngineWork = {
			requestId: body.requestId,
			attemptId: body.attemptId,
			kind: 'generate',
			promptTokens,
			maxTokens: body.maxTokens,
			answerTokens: computeAnswerTokens(body.prompt, body.maxTokens),
			priority: body.priority,
			deadlineAt: this.#clock.getModelTime(now) + this.#clock.toModelDuration(body.deadlineInMs),
			blocks: imported.digests.length > 0 ? [] : hashPrefixBlocks(body.prompt),
			importTokens: imported.tokens,
		};
		if (!this.#trySubmit(exchange, work, body.prompt)) {
			return;
		}

		exchange.response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		exchange.response.flushHeaders();
		this.#streams.add({
			work,
			promptTokens: promptTokens + imported.tokens,
			answer: new AnswerText(computeSegmentedDigest([...imported.digests, computePromptDigest(body.prompt)])),
			stream: new FrameStream(exchange.response, this.#consumeFrameFault(body.prompt, now)),
		});
		exchange.response.once('close', () => {
			if (this.options.cancelsOnDisconnect && !exchange.response.writableFinished) {
				this.#model.cancel(body.requestId, this.#getModelTime());
				this.#handleTime();
			}
		});
	}

	/** Gives work to the model; answers and returns false when it was not accepted. */
	#trySubmit(exchange: Exchange, work: EngineWork, prompt: string): boolean {
		const result = this.#model.submit(work, this.#getModelTime());
		if (result.type === 'refused') {
			this.#refuse(exchange, result.error, 'the engine cannot take the work now');
			return false;
		}

		if (result.type === 'crashed') {
			this.#crash();
			return false;
		}

		this.#seenAttempts.add(work.attemptId);
		this.#prompts.set(work.attemptId, prompt);
		return true;
	}

	#consumeFrameFault(prompt: string, now: number): FrameFault | undefined {
		for (const kind of frameFaultKinds) {
			const fault = this.#faults.consume(kind, now, ({marker}) => prompt.includes(marker));
			if (fault) {
				return fault;
			}
		}

		return undefined;
	}

	/** Reads the KV of segments from the engines that hold them; undefined when one of them has it no more. */
	async #importSegments(requestId: string, segments: NonNullable<GenerateRequest['segments']>): Promise<ImportedSegments | undefined> {
		const imported: ImportedSegments = {tokens: 0, digests: []};
		for (const segment of segments) {
			const answer = await fetchSegment(segment.address, requestId, segment.index);
			if (!answer) {
				return undefined;
			}

			imported.tokens += answer.tokens;
			imported.digests.push(answer.digest);
		}

		return imported;
	}

	#handleCancel(exchange: Exchange): void {
		sendJson(exchange, 200, {cancelled: this.#model.cancel(getRequestId(exchange), this.#getModelTime())});
	}

	#sendPhase(exchange: Exchange, phase: string | undefined): void {
		if (phase === undefined) {
			this.#refuse(exchange, 'notFound', 'no such request');
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

		const {requestId, kvTokens, ttlMs, fencingNumber} = body.value;
		if (!this.#tryAcceptFencing(fencingNumber)) {
			this.#refuse(exchange, 'staleFencingNumber', 'the fencing number is old');
			return;
		}

		if (!this.#model.reserve(requestId, kvTokens, this.#getModelTime() + this.#clock.toModelDuration(ttlMs))) {
			this.#refuse(exchange, 'outOfMemory', `${kvTokens} tokens are not free`);
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

		if (!this.#model.hasReservation(body.value.requestId)) {
			this.#refuse(exchange, 'notFound', 'no reservation for the request');
			return;
		}

		const imported = await this.#importSegments(body.value.requestId, body.value.segments);
		if (!imported) {
			this.#refuse(exchange, 'segmentNotFound', 'a segment could not be imported');
			return;
		}

		this.#startSegment(exchange, body.value, imported);
	}

	#startSegment(exchange: Exchange, body: SegmentRequest, imported: ImportedSegments): void {
		// Checked again, because the reservation can expire during the import.
		if (!this.#model.hasReservation(body.requestId)) {
			this.#refuse(exchange, 'notFound', 'no reservation for the request');
			return;
		}

		if (this.#seenAttempts.has(body.attemptId)) {
			this.#refuse(exchange, 'duplicateAttempt', 'the attempt was given before');
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
		if (this.#trySubmit(exchange, work, body.prompt)) {
			this.#segmentWaits.set(body.attemptId, exchange);
		}
	}

	async #handleExport(exchange: Exchange): Promise<void> {
		const body = await readJsonBody(exchange, exportBodySchema, smallBodyLimitBytes);
		if (!body.ok) {
			this.#refuse(exchange, 'badRequest', body.message);
			return;
		}

		const {requestId, index} = body.value;
		const segment = this.#model.findSegment(requestId, index);
		if (!segment) {
			this.#refuse(exchange, 'notFound', 'no such segment');
			return;
		}

		sendJson(exchange, 200, {
			requestId, index, tokens: segment.tokens, digest: segment.digest,
		});
	}

	async #handleOrder(exchange: Exchange): Promise<void> {
		const receivedAt = getNow();
		const body = await readJsonBody(exchange, orderBodySchema, smallBodyLimitBytes);
		await this.#thaw?.promise;
		if (!body.ok) {
			this.#refuse(exchange, 'badRequest', body.message);
			return;
		}

		if (!this.#tryAcceptFencing(body.value.fencingNumber)) {
			this.#refuse(exchange, 'staleFencingNumber', 'the fencing number is old');
			return;
		}

		if (getNow() - receivedAt > body.value.expiresInMs) {
			this.#refuse(exchange, 'orderExpired', 'the order expired before it was handled');
			return;
		}

		sendJson(exchange, 202, {orderId: body.value.orderId});
		void this.#runOrder(body.value);
	}

	async #runOrder(order: EngineOrder): Promise<void> {
		const bootId = this.#bootId;
		if (order.kind !== 'set_role') {
			await this.#waitForWeights(order);
		}

		if (this.#isClosed || bootId !== this.#bootId) {
			return;
		}

		this.#assignment = applyOrder(this.#assignment, order);
		if (order.kind === 'load_model') {
			this.#restart();
		}
	}

	/** Waits for a transfer from the weight store; repeats while its rate is in use. */
	async #waitForWeights(order: EngineOrder): Promise<void> {
		let durationMs = this.options.platform === '' ? this.options.loadMs : undefined;
		while (durationMs === undefined && !this.#isClosed) {
			durationMs = await fetchTransfer(this.options.platform, order, this.options.serverId);
			if (durationMs === undefined) {
				await wait(weightRetryMs, undefined, {ref: false});
			}
		}

		await wait(durationMs ?? 0, undefined, {ref: false});
	}

	#handleCacheEvents(exchange: Exchange): void {
		const after = z.coerce.number().int().nonnegative().safeParse(findParameter(exchange, 'after'));
		if (!after.success) {
			this.#refuse(exchange, 'badRequest', 'after is missing or invalid');
			return;
		}

		sendJson(exchange, 200, {bootId: this.#bootId, events: this.#feed.list(after.data, getNow())});
	}

	#isDown(): boolean {
		return getNow() < this.#downUntil;
	}

	#isLeaving(): boolean {
		return this.#faults.has('leaving', getNow());
	}

	/** False when the engine checks fencing numbers and this one is lower than an accepted one. */
	#tryAcceptFencing(fencingNumber: number | undefined): boolean {
		if (!this.options.checksFencing || fencingNumber === undefined) {
			return true;
		}

		if (fencingNumber < this.#fencingNumber) {
			return false;
		}

		this.#fencingNumber = fencingNumber;
		return true;
	}

	#handleFault(fault: EngineFault): void {
		if (fault.kind === 'crash') {
			this.#crash();
		}

		if (fault.kind === 'cold') {
			this.#restart();
		}

		if (fault.kind === 'freeze') {
			void this.#freeze(fault.durationMs);
		}
	}

	async #freeze(durationMs: number): Promise<void> {
		const now = getNow();
		if (this.#clock.isFrozen) {
			return;
		}

		this.#clock.stop(now);
		const {promise, resolve} = createSignal();
		this.#thaw = {promise, resolve};
		await wait(durationMs, undefined, {ref: false});
		this.#thaw = undefined;
		this.#model.applyFreeze(this.#clock.toModelDuration(this.#clock.start(getNow())));
		resolve();
		this.#handleTime();
	}

	/** Cuts all connections and stays down for the restart time. */
	#crash(): void {
		this.#crashes += 1;
		this.#downUntil = getNow() + this.options.restartMs;
		this.#restart();
	}

	/** Cuts all connections and starts with a new boot id and empty memory. */
	#restart(): void {
		this.#bootId = randomUUID();
		this.#seenAttempts = new Set();
		this.#prompts.clear();
		this.#segmentWaits.clear();
		this.#model.reset();
		this.#model.consumeCacheChanges();
		this.#feed.reset();
		this.#status.reset();
		this.#streams.closeAll();
		for (const exchange of this.#exchanges) {
			closeConnection(exchange);
		}

		this.#exchanges.clear();
	}
}

type ImportedSegments = {tokens: number; digests: string[]};

const frameFaultKinds = ['framesLate', 'framesCrossed', 'framesDuplicated', 'framesDropped', 'framesReordered', 'framesTruncated'] as const;

const getNow = (): number => performance.now();

const getRequestId = ({request}: Exchange): string => decodeURIComponent(request.params.id ?? '');

const createSignal = (): {promise: Promise<void>; resolve: () => void} => {
	let resolve!: () => void;
	const promise = new Promise<void>(_resolve => {
		resolve = _resolve;
	});
	return {promise, resolve};
};
