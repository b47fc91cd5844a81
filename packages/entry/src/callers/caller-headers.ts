import {randomUUID} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import {
	createError, createOk, priorities, refusalReasons, type Priority, type Result,
} from '@knapweedrack/core';
import {createRefusal, type Refusal} from './refusal.js';

/** Longest accepted idempotency key in characters. */
export const idempotencyKeyLimitCharacters = 255;
const requestIdLimitCharacters = 100;

/** Headers of a caller's request after validation. */
export type CallerHeaders = {
	priority: Priority;
	/** Requested deadline in ms from arrival; undefined selects the deadline of the plan. */
	deadlineMs?: number | undefined;
	idempotencyKey?: string | undefined;
};

/**
 * Builds the id of a request from the caller's id and a random part.
 * Engines cancel by request id, so an id chosen by a caller alone could end another caller's request.
 */
export const createRequestId = (headers: IncomingHttpHeaders): string => {
	const callerId = headers['x-request-id'];
	const suffix = randomUUID();
	return typeof callerId === 'string' && isRequestId(callerId) ? `${callerId}.${suffix.slice(0, 13)}` : suffix;
};

const isRequestId = (text: string) => text.length <= requestIdLimitCharacters && /^[\w.\-]+$/v.test(text);

/** Reads the bearer credential; undefined when the header is missing or of another form. */
export const readCredential = (headers: IncomingHttpHeaders): string | undefined =>
	/^Bearer (?<credential>[\u0021-\u007E]{1,500})$/iv.exec(headers.authorization ?? '')?.groups?.credential;

const refuse = (param: string, message: string) => createError(createRefusal(refusalReasons.badRequest, message, {param}));

/** Validates the headers that control a request. */
export const parseCallerHeaders = (headers: IncomingHttpHeaders): Result<CallerHeaders, Refusal> => {
	const {'x-request-id': requestId, 'x-request-priority': priorityName = 'normal', 'x-request-deadline-ms': deadline, 'idempotency-key': key} = headers;
	if (requestId !== undefined && !isRequestId(String(requestId))) {
		return refuse('x-request-id', `x-request-id has at most ${requestIdLimitCharacters} letters, digits, ".", "_" and "-"`);
	}

	if (!Object.hasOwn(priorities, String(priorityName))) {
		return refuse('x-request-priority', 'x-request-priority is high, normal or low');
	}

	if (deadline !== undefined && !/^[1-9]\d{0,8}$/v.test(String(deadline))) {
		return refuse('x-request-deadline-ms', 'x-request-deadline-ms is a positive whole number of ms');
	}

	if (key !== undefined && !/^[\u0020-\u007E]{1,255}$/v.test(String(key))) {
		return refuse('idempotency-key', `idempotency-key has 1 to ${idempotencyKeyLimitCharacters} printable ASCII characters`);
	}

	return createOk({
		priority: priorities[priorityName as keyof typeof priorities],
		deadlineMs: deadline === undefined ? undefined : Number(deadline),
		idempotencyKey: key === undefined ? undefined : String(key),
	});
};
