import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {
	listedInstanceSchema, objectValueLimitBytes, transferRequestSchema,
} from '@knapweedrack/protocol';
import {z} from 'zod';
import {addTestRoutes} from '../faults/fault-routes.js';
import {FaultTable} from '../faults/fault-table.js';
import {
	closeConnection, findHeader, findParameter, parseJson, readBody, readJsonBody, sendJson, toRouteHandler,
	type Exchange, type ExchangeHandler,
} from '../http/exchange.js';
import {startListener, type Router} from '../http/listener.js';
import type {StandIn} from '../http/stand-in.js';
import {InstanceTable} from './instance-table.js';
import {ObjectTable, type TableCondition, type WriteResult} from './object-table.js';
import {platformFaultSchema, type PlatformFault} from './platform-faults.js';
import {TokenBucket} from './token-bucket.js';
import {WatchTable} from './watch-table.js';
import {WeightStore} from './weight-store.js';

/** Options of the stand-in platform: rate limits, delays and limits of its stores. */
export type PlatformOptions = {
	/** Port of the listener; 0 selects a free one. */
	port: number;
	readsPerSecond: number;
	writesPerSecond: number;
	/** Duration of every call in ms. */
	delayMs: number;
	/** Lag of the instance list in ms. */
	listLagMs: number;
	/** Number of changes kept for watches; older ones are compacted. */
	historyLimit: number;
	/** Number of transfers that the weight store runs at the same time. */
	weightTransfers: number;
	/** Duration of one transfer in ms. */
	weightTransferMs: number;
};

/** Options used where none are given; the rates are those that the design of the system assumes for the real object API. */
export const platformDefaults: PlatformOptions = {
	port: 0,
	readsPerSecond: 2000,
	writesPerSecond: 400,
	delayMs: 2,
	listLagMs: 2000,
	historyLimit: 10_000,
	weightTransfers: 2,
	weightTransferMs: 5000,
};

const keyPattern = /^[\w.\/\-]{1,300}$/v;
const prefixPattern = /^[\w.\/\-]{0,300}$/v;
const objectsPath = '/v1/objects/';
const watchLimitMs = 30_000;
const smallBodyLimitBytes = 10_000;
/** Bytes beyond the value limit that are kept while a body is read. Every body over the value limit is read to its end, so that the answer is 413 instead of a closed connection. */
const bodyMarginBytes = 100_000;

/** Kinds of calls that `GET /testkit/state` counts. */
const callKinds = ['get', 'list', 'put', 'delete', 'watch', 'instances', 'transfer'] as const;
type CallKind = (typeof callKinds)[number];
type CallCounts = Record<CallKind | 'rateLimited' | 'refused', number>;

const createCounts = (): CallCounts => ({
	get: 0, list: 0, put: 0, delete: 0, watch: 0, instances: 0, transfer: 0, rateLimited: 0, refused: 0,
});

const instanceBodySchema = listedInstanceSchema.strict();
const transferBodySchema = transferRequestSchema.strict();

/** Starts a stand-in platform with an object API, an instance list and a weight store, all in memory. */
export const startPlatform = async (options: Partial<PlatformOptions> = {}): Promise<StandIn> => {
	const platform = new Platform({...platformDefaults, ...options});
	const listener = await startListener(platform.options.port, router => {
		platform.addRoutes(router);
	});
	return {
		address: listener.address,
		async close() {
			platform.close();
			await listener.close();
		},
	};
};

class Platform {
	readonly #objects: ObjectTable;
	readonly #instances = new InstanceTable();
	readonly #weights: WeightStore;
	readonly #reads: TokenBucket;
	readonly #writes: TokenBucket;
	readonly #watches = new WatchTable();
	readonly #faults = new FaultTable<PlatformFault>();
	readonly #calls = createCounts();
	readonly #callsByCaller = new Map<string, CallCounts>();

	constructor(readonly options: PlatformOptions) {
		this.#objects = new ObjectTable(options.historyLimit);
		this.#weights = new WeightStore(options.weightTransfers, options.weightTransferMs);
		this.#reads = new TokenBucket(options.readsPerSecond);
		this.#writes = new TokenBucket(options.writesPerSecond);
	}

	addRoutes(router: Router): void {
		router.get('/v1/objects', this.#buildHandler('list', this.#reads, exchange => {
			this.#handleList(exchange);
		}));
		router.get('/v1/objects/*', this.#buildHandler('get', this.#reads, exchange => {
			this.#handleGet(exchange);
		}));
		router.put('/v1/objects/*', this.#buildHandler('put', this.#writes, async exchange => this.#handlePut(exchange)));
		router.delete('/v1/objects/*', this.#buildHandler('delete', this.#writes, exchange => {
			this.#handleDelete(exchange);
		}));
		router.get('/v1/watch', this.#buildHandler('watch', this.#reads, exchange => {
			this.#handleWatch(exchange);
		}));
		router.get('/v1/instances', this.#buildHandler('instances', this.#reads, exchange => {
			this.#handleInstances(exchange);
		}));
		router.post('/v1/weights/transfers', this.#buildHandler('transfer', this.#writes, async exchange => this.#handleTransfer(exchange)));
		router.put('/testkit/instances/:id', toRouteHandler(async exchange => this.#handleInstancePut(exchange)));
		router.delete('/testkit/instances/:id', toRouteHandler(exchange => {
			sendJson(exchange, 200, {deleted: this.#instances.delete(exchange.request.params.id ?? '', getNow())});
		}));
		addTestRoutes(router, {
			faults: this.#faults,
			schema: platformFaultSchema,
			getNow,
			handleFault: fault => {
				this.#handleFault(fault);
			},
			getState: () => this.#getState(),
		});
		router.all('*', toRouteHandler(exchange => {
			sendError(exchange, 400, 'bad_request', 'the platform has no such route');
		}));
	}

	close(): void {
		this.#watches.closeAll();
	}

	#getState(): unknown {
		return {
			revision: this.#objects.revision,
			objects: this.#objects.size,
			watches: this.#watches.size,
			calls: this.#calls,
			callsByCaller: Object.fromEntries(this.#callsByCaller),
			transfers: this.#weights.accepted,
			instances: this.#instances.getCurrent().instances,
		};
	}

	/** Counts a call and applies faults and the rate limit before running the handler. */
	#buildHandler(kind: CallKind, bucket: TokenBucket, handler: ExchangeHandler): (request: unknown, response: unknown) => void {
		return toRouteHandler(async exchange => {
			this.#count(exchange, kind);
			if (!await this.#isReachable(exchange)) {
				return;
			}

			const waitMs = bucket.consume(getNow());
			if (waitMs > 0) {
				this.#count(exchange, 'rateLimited');
				sendError(exchange, 429, 'rate_limited', `the rate limit for ${kind} calls is reached`, {retryAfterMs: waitMs});
				return;
			}

			await handler(exchange);
		});
	}

	#count(exchange: Exchange, kind: keyof CallCounts): void {
		this.#calls[kind] += 1;
		const callerId = findCaller(exchange);
		if (callerId !== undefined) {
			const counts = this.#callsByCaller.get(callerId) ?? createCounts();
			counts[kind] += 1;
			this.#callsByCaller.set(callerId, counts);
		}
	}

	/** Applies the delay and an outage; false when an outage has ended the exchange. */
	async #isReachable(exchange: Exchange): Promise<boolean> {
		const applies = buildCallerFilter(exchange);
		const delayMs = this.options.delayMs + (this.#faults.consume('slow', getNow(), applies)?.delayMs ?? 0);
		if (delayMs > 0) {
			await wait(delayMs, undefined, {ref: false});
		}

		const down = this.#faults.consume('down', getNow(), applies);
		if (!down) {
			return true;
		}

		this.#count(exchange, 'refused');
		downHandlers[down.mode](exchange);
		return false;
	}

	#handleList(exchange: Exchange): void {
		const prefix = findParameter(exchange, 'prefix');
		if (prefix === undefined || !prefixPattern.test(prefix)) {
			sendError(exchange, 400, 'bad_request', 'query parameter prefix is missing or invalid');
			return;
		}

		sendJson(exchange, 200, this.#objects.list(prefix));
	}

	#handleGet(exchange: Exchange): void {
		const key = findKey(exchange);
		if (key === undefined) {
			sendError(exchange, 400, 'bad_request', 'the object key in the path is invalid');
			return;
		}

		const object = this.#objects.get(key);
		if (!object) {
			sendError(exchange, 404, 'not_found', `no object ${key}`);
			return;
		}

		sendJson(exchange, 200, object);
	}

	async #handlePut(exchange: Exchange): Promise<void> {
		const key = findKey(exchange);
		const condition = findCondition(exchange);
		const body = await readBody(exchange, objectValueLimitBytes + bodyMarginBytes);
		if (!body || body.length > objectValueLimitBytes) {
			sendError(exchange, 413, 'too_large', `a value has at most ${objectValueLimitBytes} bytes`);
			return;
		}

		const json = parseJson(body.toString('utf8'));
		if (key === undefined || !condition || !json) {
			sendError(exchange, 400, 'bad_request', 'the object key, the condition or the value of the write is invalid');
			return;
		}

		this.#sendWrite(exchange, key, this.#objects.put(key, json.value, condition));
	}

	#handleDelete(exchange: Exchange): void {
		const key = findKey(exchange);
		const condition = findCondition(exchange);
		if (key === undefined || !condition || condition.type === 'absent') {
			sendError(exchange, 400, 'bad_request', 'the object key or the condition of the delete is invalid');
			return;
		}

		this.#sendWrite(exchange, key, this.#objects.delete(key, condition));
	}

	#sendWrite(exchange: Exchange, key: string, result: WriteResult): void {
		if (result.type === 'mismatch') {
			sendError(exchange, 412, 'version_mismatch', `${key} has version ${result.version}`, {version: result.version});
			return;
		}

		if (result.type === 'absent') {
			sendError(exchange, 404, 'not_found', `no object ${key}`);
			return;
		}

		this.#watches.notify(key, this.#objects);
		const appliesToCaller = buildCallerFilter(exchange);
		const lost = this.#faults.consume('answerLost', getNow(), fault => key.startsWith(fault.keyPrefix) && appliesToCaller(fault));
		if (lost) {
			closeConnection(exchange);
			return;
		}

		sendJson(exchange, 200, {key, version: result.version});
	}

	#handleWatch(exchange: Exchange): void {
		const prefix = findParameter(exchange, 'prefix');
		const after = parseCount(findParameter(exchange, 'after'));
		const timeoutMs = parseCount(findParameter(exchange, 'timeoutMs'));
		if (prefix === undefined || !prefixPattern.test(prefix) || after === undefined || timeoutMs === undefined || timeoutMs > watchLimitMs) {
			sendError(exchange, 400, 'bad_request', 'query parameter prefix, after or timeoutMs is missing or invalid');
			return;
		}

		const appliesToCaller = buildCallerFilter(exchange);
		const cut = this.#faults.consume('watchCut', getNow(), fault => prefix.startsWith(fault.prefix) && appliesToCaller(fault));
		if (cut?.mode === 'cut') {
			closeConnection(exchange);
			return;
		}

		const watch = {
			exchange, prefix, after, caller: findCaller(exchange), isSilent: cut !== undefined,
		};
		this.#watches.open(watch, timeoutMs, this.#objects);
	}

	#handleInstances(exchange: Exchange): void {
		const now = getNow();
		const fault = this.#faults.consume('listLag', now, buildCallerFilter(exchange));
		sendJson(exchange, 200, this.#instances.getList(now, fault?.lagMs ?? this.options.listLagMs));
	}

	async #handleTransfer(exchange: Exchange): Promise<void> {
		const body = await readJsonBody(exchange, transferBodySchema, smallBodyLimitBytes);
		if (!body.ok) {
			sendError(exchange, 400, 'bad_request', body.message);
			return;
		}

		const result = this.#weights.request(getNow());
		if (result.type === 'refused') {
			sendError(exchange, 429, 'rate_limited', 'the weight store runs its maximum number of transfers', {retryAfterMs: result.retryAfterMs});
			return;
		}

		sendJson(exchange, 200, {transferId: result.transferId, durationMs: result.durationMs});
	}

	async #handleInstancePut(exchange: Exchange): Promise<void> {
		const body = await readJsonBody(exchange, instanceBodySchema, smallBodyLimitBytes);
		if (!body.ok || body.value.id !== exchange.request.params.id) {
			sendError(exchange, 400, 'bad_request', body.ok ? 'the instance id in the body differs from the id in the path' : body.message);
			return;
		}

		this.#instances.put(body.value, getNow());
		sendJson(exchange, 200, {});
	}

	#handleFault(fault: PlatformFault): void {
		if (fault.kind === 'compact') {
			this.#objects.removeHistory();
		}

		if (fault.kind === 'watchCut') {
			this.#watches.closeMatching(fault);
		}

		if (fault.kind === 'down') {
			this.#watches.closeMatching({mode: 'cut', prefix: '', caller: fault.caller});
		}
	}
}

const downHandlers = {
	refuse(exchange: Exchange): void {
		sendError(exchange, 503, 'unavailable', 'the platform is down');
	},
	cut: closeConnection,
	// The connection stays open without an answer until the caller gives up.
	hang(): void {}, // eslint-disable-line @typescript-eslint/no-empty-function
};

const getNow = (): number => performance.now();

const findCaller = (exchange: Exchange): string | undefined => findHeader(exchange, 'x-instance-id');

const buildCallerFilter = (exchange: Exchange) => {
	const callerId = findCaller(exchange);
	return (fault: {caller?: string | undefined}): boolean => fault.caller === undefined || fault.caller === callerId;
};

const findKey = ({request}: Exchange): string | undefined => {
	const key = request.path.slice(objectsPath.length);
	return keyPattern.test(key) ? key : undefined;
};

/** Reads the condition of a write; undefined when the headers are invalid. */
const findCondition = (exchange: Exchange): TableCondition | undefined => {
	const ifMatch = findHeader(exchange, 'if-match');
	const ifNoneMatch = findHeader(exchange, 'if-none-match');
	if (ifNoneMatch !== undefined) {
		return ifNoneMatch === '*' && ifMatch === undefined ? {type: 'absent'} : undefined;
	}

	if (ifMatch === undefined) {
		return {type: 'none'};
	}

	const version = parseCount(ifMatch);
	return version === undefined || version === 0 ? undefined : {type: 'version', version};
};

const countSchema = z.string().regex(/^\d{1,15}$/v).transform(Number);

const parseCount = (text: string | undefined): number | undefined => countSchema.safeParse(text).data;

// Every error answer consists of a status, a code and a message; some have further fields.
// eslint-disable-next-line max-params
const sendError = (exchange: Exchange, status: number, error: string, message: string, fields: {version?: number; retryAfterMs?: number} = {}): void => {
	sendJson(exchange, status, {error, message, ...fields});
};
