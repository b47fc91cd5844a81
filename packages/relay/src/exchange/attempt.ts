import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import type {AnswerEnvelope} from '../contracts.js';
import {resetCode, type BackendConnection} from './backend-connections.js';

/** Head of a backend server's answer, with the fields decoded from its headers. */
export type AnswerHead = {status: number; statusText: string; headers: IncomingHttpHeaders; envelope: AnswerEnvelope};

/** How the exchange with the backend server ended. */
export type AttemptEnd =
	/** The whole answer arrived; `isDelimited` when a length or chunks told its end, not the end of its connection. */
	| {type: 'complete'; isDelimited: boolean}
	/** No byte of the request left this process. */
	| {type: 'not_sent'; cause: string}
	/** The connection ended early (`isConnectionLost`), or the answer belongs to another request; this request may have run. */
	| {type: 'broken'; cause: string; isConnectionLost: boolean};

/** Receives the answer of one attempt. */
export type AttemptListener = {
	/** Head of the final answer. */
	handleHead: (head: AnswerHead) => void;
	/** Receives a part of the body; returns false to pause reading. */
	handleData: (chunk: Buffer) => boolean;
	/** Called once, after all other calls; not called after `cancel`. */
	handleEnd: (end: AttemptEnd) => void;
};

/** One request as sent to a backend server. */
export type AttemptRequest = {
	method: string;
	/** Path with query, unchanged. */
	path: string;
	headers: string[];
	body: Buffer | undefined;
	/** Id that the answer must carry. */
	requestId: string | undefined;
};

/** Control over a running attempt. */
export type RunningAttempt = {
	/** Ends the attempt and its connection; the listener is not called any more. */
	cancel: () => void;
	/** Resumes reading the body after `handleData` returned false. */
	resume: () => void;
	/** True once the request was passed to a connection. */
	wasSent: () => boolean;
};

const firstFinalStatus = 200;
/** Bytes of an answer beside its body (heads, chunk sizes and extensions, and bytes that are not parsed yet) that are always accepted. */
const framingBytes = 256 * 1024;
/** Bytes of framing accepted for each byte of the body; a chunk of one byte has five. */
const framingBytesPerBodyByte = 8;

/** Sends one request to a backend server and reports its answer to the listener. */
export const startAttempt = (
	connection: BackendConnection,
	request: AttemptRequest,
	listener: AttemptListener,
	decodeAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerEnvelope,
): RunningAttempt => {
	let controller: Dispatcher.DispatchController | undefined;
	let isOver = false;
	let isCancelled = false;
	let hasNoLength = false;
	let isAtEnd = false;
	const end = (result: AttemptEnd): void => {
		if (!isOver) {
			isOver = true;
			connection.release();
			listener.handleEnd(result);
		}
	};

	const endBroken = (cause: string): void => {
		end({type: 'broken', cause, isConnectionLost: false});
		controller?.abort(new Error(cause));
	};

	/**
	 * An answer without a length is complete when its server closes the connection, but not when that is reset or closed on the way. The
	 * operating system closes the connections of a server that is killed, so the server must still run.
	 */
	const endUndelimited = async (): Promise<void> => {
		if (connection.wasReset()) {
			end({type: 'broken', cause: 'the connection was reset during an answer without a length', isConnectionLost: true});
			return;
		}

		end(await connection.confirmClose()
			? {type: 'complete', isDelimited: false}
			: {type: 'broken', cause: 'the connection was lost during an answer without a length', isConnectionLost: true});
	};

	connection.expectAnswer({
		requestId: request.requestId, method: request.method, readRequestId: (status, headers) => decodeAnswer(status, headers).requestId,
	});
	let bodyBytes = 0;
	connection.subscribeToBytes(receivedBytes => {
		if (receivedBytes > framingBytes + (bodyBytes * framingBytesPerBodyByte)) {
			endBroken('the answer has too many bytes beside its body');
		}
	});
	// The client throws when a connection ends while its answer is paused, although no part of the answer follows.
	connection.subscribeToEnd(() => {
		isAtEnd = true;
		controller?.resume();
	});
	connection.dispatcher.dispatch({
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: request.body ?? null,
	}, {
		onRequestStart(started) {
			controller = started;
			if (isCancelled) {
				started.abort(new Error('the attempt was cancelled'));
			}
		},
		onResponseStart(_controller, status, headers, statusText) {
			if (isOver || status < firstFinalStatus) {
				return;
			}

			const envelope = decodeAnswer(status, headers);
			if (envelope.requestId !== undefined && request.requestId !== undefined && envelope.requestId !== request.requestId) {
				endBroken('the request id of the answer belongs to another request');
				return;
			}

			hasNoLength = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
			listener.handleHead({
				status, statusText: statusText ?? '', headers, envelope,
			});
		},
		onResponseData(data, chunk) {
			bodyBytes += chunk.length;
			if (!isOver && !listener.handleData(chunk) && !isAtEnd) {
				data.pause();
			}
		},
		onResponseEnd() {
			if (hasNoLength) {
				void endUndelimited();
			} else {
				end({type: 'complete', isDelimited: true});
			}
		},
		onResponseError(_controller, error) {
			end(controller === undefined ? {type: 'not_sent', cause: describeError(error)} : {type: 'broken', cause: describeError(error), isConnectionLost: true});
		},
	});

	return {
		cancel() {
			isCancelled = true;
			if (!isOver) {
				isOver = true;
				connection.release();
			}

			controller?.abort(new Error('the attempt was cancelled'));
		},
		resume() {
			controller?.resume();
		},
		wasSent: () => controller !== undefined,
	};
};

const describeError = (error: Error): string => {
	const {code} = error as NodeJS.ErrnoException;
	return code === resetCode ? 'ECONNRESET' : code ?? error.message;
};
