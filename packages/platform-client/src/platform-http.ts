import type {IncomingHttpHeaders} from 'node:http';
import createDebug from 'debug';
import pRetry, {AbortError} from 'p-retry';
import {Pool} from 'undici';
import type {z} from 'zod';
import {createError, createOk, type Result} from '@knapweedrack/core';
import {platformErrorSchema} from '@knapweedrack/protocol';
import {CallCounters, type CallKind} from './call-counters.js';
import type {CallOptions, StoreFailure} from './object-store.js';

const debug = createDebug('knapweedrack:platform');

const defaultTimeoutMs = 2000;
const connectTimeoutMs = 1000;
/** A watch answers at the end of its wait, so its time limit is the wait plus this allowance. */
export const watchAllowanceMs = 2000;
const maxRetries = 2;
const firstBackoffMs = 50;
const maxBackoffMs = 400;
const defaultRetryAfterMs = 1000;
/** Five pending watches plus concurrent short calls. */
const connectionLimit = 16;

/** Address, time limit and error format of a platform client. */
export type PlatformOptions = {
	/** `host:port` of the platform. */
	address: string;
	counters?: CallCounters | undefined;
	/** Id of the calling instance, sent as `x-instance-id`, so that the platform can count calls by caller. */
	instanceId?: string | undefined;
	/** Time limit for each attempt of a call, in ms; 2000 by default. */
	timeoutMs?: number | undefined;
	/** Decodes an answer whose status is neither 200 nor 201; returns undefined for an unknown error. The default expects `platformErrorSchema`. */
	decodeFailure?: ((status: number, body: unknown) => StoreFailure | undefined) | undefined;
};

/** One HTTP call to the platform and the rules for its retries. */
export type PlatformCall<Answer> = {
	kind: CallKind;
	method: 'GET' | 'PUT' | 'DELETE' | 'POST';
	path: string;
	headers?: Record<string, string>;
	body?: string;
	schema: z.ZodType<Answer>;
	/** Called with the headers of each answer, also of failures. */
	handleHeaders?: (headers: IncomingHttpHeaders) => void;
	/** True when the call changes nothing, so that it can be sent again after a lost answer. */
	isRead: boolean;
	/** False when the caller handles retries itself. */
	isRepeatable: boolean;
	options?: CallOptions | undefined;
};

type CallOutcome<Answer> = Result<Answer, StoreFailure> & {wasSent: boolean};

/** Error codes of calls whose connection was never established. */
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

const failureBuilders = new Map<string, (error: z.infer<typeof platformErrorSchema>) => StoreFailure>([
	['not_found', () => ({kind: 'not_found'})],
	['version_mismatch', error => ({kind: 'version_mismatch', version: error.version ?? 0})],
	['too_large', () => ({kind: 'too_large'})],
	['rate_limited', error => ({kind: 'rate_limited', retryAfterMs: error.retryAfterMs ?? defaultRetryAfterMs})],
	['compacted', () => ({kind: 'compacted'})],
	['unavailable', error => ({kind: 'unavailable', message: error.message})],
	['bad_request', error => ({kind: 'unavailable', message: `the platform rejected the call as a bad request: ${error.message}`})],
]);

const outageKinds = new Set<StoreFailure['kind']>(['unavailable', 'unknown', 'rate_limited']);

class RetryableError extends Error {}

/** Connection pool to the platform, shared by the clients of the object API, the instance list and the weight store. */
export class PlatformHttp {
	readonly counters: CallCounters;
	readonly #pool: Pool;
	readonly #timeoutMs: number;
	readonly #headers: Record<string, string>;
	readonly #decodeFailure: NonNullable<PlatformOptions['decodeFailure']>;

	constructor(options: PlatformOptions) {
		this.counters = options.counters ?? new CallCounters();
		this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
		this.#decodeFailure = options.decodeFailure ?? decodePlatformError;
		this.#headers = {'content-type': 'application/json', ...(options.instanceId === undefined ? {} : {'x-instance-id': options.instanceId})};
		this.#pool = new Pool(`http://${options.address}`, {connections: connectionLimit, connect: {timeout: connectTimeoutMs}});
	}

	/**
	 * Sends a call. Reads are retried after an outage, writes only when the connection was never established:
	 * resending a write whose answer was lost could overwrite a later write.
	 * A call refused by the rate limit is not retried, since this would add load to a store at its limit.
	 */
	async send<Answer>(call: PlatformCall<Answer>): Promise<Result<Answer, StoreFailure>> {
		let latest: CallOutcome<Answer> | undefined;
		const attempt = async () => {
			latest = await this.#sendOnce(call);
			if (!latest.ok && call.isRepeatable && isRetrySafe(call.isRead, latest.error, latest.wasSent)) {
				throw new RetryableError(latest.error.kind);
			}

			return latest;
		};

		try {
			return toResult(await pRetry(attempt, {
				retries: maxRetries, minTimeout: firstBackoffMs, maxTimeout: maxBackoffMs, randomize: true,
				...(call.options?.signal && {signal: call.options.signal}),
			}));
		} catch (error) {
			if (error instanceof RetryableError && latest) {
				return toResult(latest);
			}

			if (error instanceof AbortError || call.options?.signal?.aborted === true) {
				return createError({kind: 'unavailable', message: 'the call to the platform was cancelled'});
			}

			throw error;
		}
	}

	/** Closes all connections, which cancels pending watches. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #sendOnce<Answer>(call: PlatformCall<Answer>): Promise<CallOutcome<Answer>> {
		this.counters.recordCall(call.kind);
		const outcome = await this.#sendAttempt(call);
		if (!outcome.ok && outageKinds.has(outcome.error.kind)) {
			this.counters.recordFailure(call.kind);
			debug('%s %s failed: %o', call.method, call.kind, outcome.error);
		}

		return outcome;
	}

	async #sendAttempt<Answer>(call: PlatformCall<Answer>): Promise<CallOutcome<Answer>> {
		const timeout = AbortSignal.timeout(call.options?.timeoutMs ?? this.#timeoutMs);
		const signal = call.options?.signal ? AbortSignal.any([timeout, call.options.signal]) : timeout;
		try {
			const response = await this.#pool.request({
				method: call.method, path: call.path, headers: {...this.#headers, ...call.headers}, body: call.body ?? null,
				signal, headersTimeout: 0, bodyTimeout: 0,
			});
			const text = await response.body.text();
			call.handleHeaders?.(response.headers);
			return {...decodeAnswer(call, response.statusCode, text, this.#decodeFailure), wasSent: true};
		} catch (error) {
			const wasSent = !unsentCodes.has((error as NodeJS.ErrnoException).code ?? '');
			return {...createError(describeLostAnswer(call.isRead, wasSent, error as Error)), wasSent};
		}
	}
}

const toResult = <Answer>({ok, ...rest}: CallOutcome<Answer>): Result<Answer, StoreFailure> =>
	ok && 'value' in rest ? createOk(rest.value) : createError((rest as {error: StoreFailure}).error);

const isRetrySafe = (isRead: boolean, failure: StoreFailure, wasSent: boolean): boolean =>
	(isRead && (failure.kind === 'unavailable' || failure.kind === 'unknown')) || (!wasSent && failure.kind === 'unavailable');

const describeLostAnswer = (isRead: boolean, wasSent: boolean, error: Error): StoreFailure =>
	wasSent && !isRead ? {kind: 'unknown', message: error.message} : {kind: 'unavailable', message: error.message};

const decodeAnswer = <Answer>(
	call: PlatformCall<Answer>, status: number, text: string, decodeFailure: NonNullable<PlatformOptions['decodeFailure']>,
): Result<Answer, StoreFailure> => {
	const body = parseJson(text);
	if (status === 200 || status === 201) {
		const answer = call.schema.safeParse(body);
		return answer.success ? createOk(answer.data) : createError(describeLostAnswer(call.isRead, true, answer.error));
	}

	return createError(decodeFailure(status, body) ?? describeLostAnswer(call.isRead, true, new Error(`the platform answered with status ${status} and an unknown error`)));
};

const decodePlatformError = (_status: number, body: unknown): StoreFailure | undefined => {
	const error = platformErrorSchema.safeParse(body);
	return error.success ? failureBuilders.get(error.data.error)?.(error.data) : undefined;
};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
