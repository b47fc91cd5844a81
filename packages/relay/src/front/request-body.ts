import type {Buffer} from 'node:buffer';
import process from 'node:process';
import type {IncomingMessage} from 'node:http';
import type {MemoryHold} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {runAfterInput} from '../exchange/run-after-input.js';
import type {BodyArrivals} from './body-arrivals.js';
import {BodyBuffer} from './body-buffer.js';

/** Parts after which a body waits for its turn; 64 KiB in fewer parts cost little. */
const partsPerTurn = 512;

/** Result of reading a request's body; a read body is undefined when the request has none. */
export type BodyResult =
	/** `hold` is released when the request has ended. */
	| {type: 'read'; body: Buffer | undefined; hold: MemoryHold | undefined}
	| {type: 'too_large'}
	/** No byte arrived within the idle timeout. */
	| {type: 'idle'}
	/** The time limit of the request passed before the end of the body. */
	| {type: 'late'}
	/** There is no memory for the body, or it had to make room for others. */
	| {type: 'evicted'}
	/** The connection failed or closed before the end of the body. */
	| {type: 'aborted'};

/** Bounds of one body, and the task that grants its memory. */
export type BodyOptions = {
	limits: {bodyBytes: number; idleTimeoutMs: number};
	/** Time in which the body must be complete, in ms. */
	remainingMs: number;
	workspace: string | undefined;
	arrivals: BodyArrivals;
	timer: TimerService;
};

/** Reads the whole body within the limits, so that a retry can send it to another backend server. */
export const readRequestBody = async (request: IncomingMessage, options: BodyOptions): Promise<BodyResult> => {
	const isChunked = request.headers['transfer-encoding'] !== undefined;
	const statedBytes = isChunked ? undefined : Number(request.headers['content-length'] ?? 0);
	if (statedBytes !== undefined && statedBytes > options.limits.bodyBytes) {
		return {type: 'too_large'};
	}

	if (statedBytes === 0) {
		return {type: 'read', body: undefined, hold: undefined};
	}

	return receiveBody(request, statedBytes, options);
};

const receiveBody = async (request: IncomingMessage, statedBytes: number | undefined, {limits, remainingMs, workspace, arrivals, timer}: BodyOptions): Promise<BodyResult> =>
	new Promise(resolve => {
		const body = new BodyBuffer(statedBytes);
		const startedAt = timer.now();
		let receivedAt = startedAt;
		let cancelTimer = (): void => undefined;
		let isOver = false;
		let parts = 0;
		let endPause: (() => void) | undefined;
		const end = (result: BodyResult): void => {
			if (isOver) {
				return;
			}

			isOver = true;
			cancelTimer();
			request.removeListener('data', receivePart);
			if (result.type === 'read') {
				endPause?.();
			}

			arrival.end(result.type === 'read' ? body.length : 0);
			resolve(result);
		};

		const arrival = arrivals.begin(workspace, () => {
			end({type: 'evicted'});
		});
		// Also ends further reads from the socket within this round of the event loop.
		const pause = (): void => {
			if (isOver || endPause !== undefined) {
				return;
			}

			request.socket.pause();
			const resume = (): void => {
				withdraw();
				endPause = undefined;
				receivedAt = timer.now();
				request.socket.resume();
			};

			const withdraw = arrivals.smallParts.subscribe(resume);
			endPause = resume;
		};

		const receivePart = (part: Buffer): void => {
			if (body.length + part.length > limits.bodyBytes) {
				end({type: 'too_large'});
				return;
			}

			const needed = body.computeNeeded(part.length);
			if (needed > 0 && !arrival.tryReserve(needed)) {
				end({type: 'evicted'});
				return;
			}

			body.add(part, needed);
			receivedAt = timer.now();
			parts++;
			if (parts >= partsPerTurn) {
				parts = 0;
				// Node resumes the socket within the call of the parser.
				process.nextTick(pause);
			}
		};

		// One timer for each body and none for each part: a part only moves the time that is checked when the timer runs.
		const checkTime = (): void => {
			const now = timer.now();
			// The caller cannot send while the body waits for its turn.
			const idleLeftMs = limits.idleTimeoutMs - (endPause === undefined ? now - receivedAt : 0);
			const leftMs = remainingMs - (now - startedAt);
			if (idleLeftMs <= 0 || leftMs <= 0) {
				end({type: leftMs <= 0 ? 'late' : 'idle'});
				return;
			}

			cancelTimer = timer.schedule(Math.max(1, Math.min(idleLeftMs, leftMs)), () => {
				cancelTimer = runAfterInput(checkTime);
			});
		};

		request.on('data', receivePart);
		request.on('end', () => {
			end({type: 'read', body: body.toBuffer(), hold: arrival.hold});
		});
		request.on('error', () => {
			end({type: 'aborted'});
		});
		request.on('close', () => {
			if (!request.complete) {
				end({type: 'aborted'});
			}
		});
		checkTime();
	});
