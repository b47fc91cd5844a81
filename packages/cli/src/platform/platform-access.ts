import {setTimeout as wait} from 'node:timers/promises';
import {createError, type Result} from '@knapweedrack/core';
import {
	createInstanceDirectory, createObjectStore, PlatformHttp,
	type CallOptions, type InstanceDirectory, type ObjectStore, type StoreFailure, type WriteCondition,
} from '@knapweedrack/platform-client';
import type {InstanceList, ObjectList, StoredObject} from '@knapweedrack/protocol';

/** Share of the time limit for a write; the rest is for reading the object back when the answer is lost. */
const writeTimeShare = 0.55;

/** Calls the platform within the time limit of the command line. Rate-limited calls are retried. */
export class PlatformAccess {
	readonly #http: PlatformHttp;
	readonly #store: ObjectStore;
	readonly #directory: InstanceDirectory;

	constructor(readonly address: string, readonly timeoutMs: number) {
		this.#http = new PlatformHttp({address, timeoutMs});
		this.#store = createObjectStore(this.#http);
		this.#directory = createInstanceDirectory(this.#http);
	}

	async get(key: string): Promise<Result<StoredObject, StoreFailure>> {
		return this.#retry(this.timeoutMs, async options => this.#store.get(key, options));
	}

	/** Reads an object after the answer to its write was lost. */
	async readBack(key: string): Promise<Result<StoredObject, StoreFailure>> {
		return this.#retry(this.timeoutMs * (1 - writeTimeShare), async options => this.#store.get(key, options));
	}

	async list(prefix: string): Promise<Result<ObjectList, StoreFailure>> {
		return this.#retry(this.timeoutMs, async options => this.#store.list(prefix, options));
	}

	async listInstances(): Promise<Result<InstanceList, StoreFailure>> {
		return this.#retry(this.timeoutMs, async options => this.#directory.list(options));
	}

	async put(key: string, value: unknown, condition: WriteCondition): Promise<Result<{version: number}, StoreFailure>> {
		// The client reports an aborted write as not sent, so a write gets a timeout but no abort signal.
		return this.#retry(this.timeoutMs * writeTimeShare, async ({timeoutMs}) => this.#store.put(key, value, condition, {timeoutMs}));
	}

	async close(): Promise<void> {
		await this.#http.close();
	}

	async #retry<Value>(callLimitMs: number, call: (options: CallOptions) => Promise<Result<Value, StoreFailure>>): Promise<Result<Value, StoreFailure>> {
		const limitMs = Math.ceil(callLimitMs);
		const deadline = performance.now() + limitMs;
		const signal = AbortSignal.timeout(limitMs);
		for (;;) {
			// The client itself retries reads; the signal stops these retries at the time limit.
			const result = await call({timeoutMs: Math.max(1, Math.ceil(deadline - performance.now())), signal});
			if (!result.ok && signal.aborted) {
				return createError({kind: result.error.kind === 'unknown' ? 'unknown' : 'unavailable', message: `no answer within ${limitMs} ms (see --timeout-ms)`});
			}

			if (result.ok || result.error.kind !== 'rate_limited' || performance.now() + result.error.retryAfterMs >= deadline) {
				return result;
			}

			await wait(result.error.retryAfterMs);
		}
	}
}
