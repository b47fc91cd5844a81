import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	createError, createOk, refusalReasons, type Result,
} from '@knapweedrack/core';
import type {TimerService} from '../contracts.js';
import {createRefusal, type Refusal} from './refusal.js';
import {refusalMessages} from './refusal-messages.js';

/** Bounds of one request body. */
export type BodyLimits = {
	limitBytes: number;
	/** Longest time in ms from the headers to the end of the body. */
	timeoutMs: number;
	/** Aborts when the listener closes; a body that has not arrived by then is refused. */
	closingSignal: AbortSignal;
};

/** Reads the body of a request within its size and time limits. */
export const readBody = async (request: IncomingMessage, {limitBytes, timeoutMs, closingSignal}: BodyLimits, timer: TimerService): Promise<Result<Buffer, Refusal>> => {
	const tooLarge = createError(createRefusal(refusalReasons.bodyTooLarge, `the body is longer than ${limitBytes} bytes`));
	if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
		request.resume();
		return tooLarge;
	}

	return new Promise(resolve => {
		const parts: Buffer[] = [];
		let length = 0;
		const cancelTimeout = timer.schedule(timeoutMs, () => {
			endReading(createError(createRefusal(refusalReasons.requestTimeout, `the body did not arrive within ${timeoutMs} ms`)));
		});
		const handleClosing = () => {
			endReading(createError(createRefusal(refusalReasons.entryStopping, refusalMessages.entry_stopping, {retryAfterMs: 0})));
		};

		const handleEnd = () => {
			endReading(createOk(Buffer.concat(parts)));
		};

		const handleClose = () => {
			endReading(createError(createRefusal(refusalReasons.callerGone, 'the connection ended before the end of the body')));
		};

		const endReading = (result: Result<Buffer, Refusal>) => {
			cancelTimeout();
			closingSignal.removeEventListener('abort', handleClosing);
			request.off('data', handleData).off('end', handleEnd).off('error', handleClose).off('close', handleClose);
			// Discards the rest: closing a socket with unread data would reset it and lose the answer.
			request.resume();
			resolve(result);
		};

		const handleData = (part: Buffer) => {
			length += part.length;
			parts.push(part);
			if (length > limitBytes) {
				endReading(tooLarge);
			}
		};

		closingSignal.addEventListener('abort', handleClosing, {once: true});
		request.on('data', handleData).once('end', handleEnd).once('error', handleClose).once('close', handleClose);
	});
};

/** Decodes a JSON body; malformed UTF-8 and JSON are refused. */
export const parseJsonBody = (body: Buffer): Result<unknown, Refusal> => {
	try {
		return createOk(JSON.parse(new TextDecoder('utf8', {fatal: true}).decode(body)) as unknown);
	} catch {
		return createError(createRefusal(refusalReasons.badRequest, 'the body is not valid JSON in UTF-8'));
	}
};
