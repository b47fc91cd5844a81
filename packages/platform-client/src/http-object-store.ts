import {Buffer} from 'node:buffer';
import {
	objectListSchema, objectValueLimitBytes, storedObjectSchema, watchAnswerSchema, writeAnswerSchema,
} from '@knapweedrack/protocol';
import {createError, createOk, type Result} from '@knapweedrack/core';
import {callKinds} from './call-counters.js';
import type {ObjectStore, StoreFailure, WriteCondition} from './object-store.js';
import {watchAllowanceMs, type PlatformHttp} from './platform-http.js';

/** Longer waits are shortened to this value. */
const maxWatchMs = 30_000;

/** Creates a client of the object API on a platform connection. */
export const createObjectStore = (http: PlatformHttp): ObjectStore => ({
	get: async (key, options) => http.send({
		kind: callKinds.get, method: 'GET', path: buildObjectPath(key), schema: storedObjectSchema, isRead: true, isRepeatable: true, options,
	}),
	list: async (prefix, options) => http.send({
		kind: callKinds.list, method: 'GET', path: `/v1/objects?prefix=${encodeURIComponent(prefix)}`, schema: objectListSchema,
		isRead: true, isRepeatable: true, options,
	}),
	async put(key, value, condition, options) {
		const body = JSON.stringify(value);
		if (Buffer.byteLength(body) > objectValueLimitBytes) {
			return createError({kind: 'too_large'});
		}

		return selectVersion(await http.send({
			kind: callKinds.put, method: 'PUT', path: buildObjectPath(key), headers: buildConditionHeaders(condition), body,
			schema: writeAnswerSchema, isRead: false, isRepeatable: true, options,
		}));
	},
	delete: async (key, condition, options) => selectVersion(await http.send({
		kind: callKinds.delete, method: 'DELETE', path: buildObjectPath(key), headers: buildConditionHeaders(condition),
		schema: writeAnswerSchema, isRead: false, isRepeatable: true, options,
	})),
	async watch(prefix, after, waitMs, options) {
		const timeoutMs = Math.min(waitMs, maxWatchMs);
		const path = `/v1/watch?prefix=${encodeURIComponent(prefix)}&after=${after}&timeoutMs=${timeoutMs}`;
		// Not retried here: the caller of `watch` retries it and decides whether to list all objects again first.
		return http.send({
			kind: callKinds.watch, method: 'GET', path, schema: watchAnswerSchema, isRead: true, isRepeatable: false,
			options: {timeoutMs: timeoutMs + watchAllowanceMs, ...options},
		});
	},
});

const buildObjectPath = (key: string): string => `/v1/objects/${key}`;

const buildConditionHeaders = (condition: WriteCondition | undefined): Record<string, string> => {
	if (!condition) {
		return {};
	}

	return 'create' in condition ? {'if-none-match': '*'} : {'if-match': String(condition.version)};
};

const selectVersion = (result: Result<{version: number}, StoreFailure>): Result<{version: number}, StoreFailure> =>
	result.ok ? createOk({version: result.value.version}) : result;
