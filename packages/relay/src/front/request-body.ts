import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {runAfterInput} from '../exchange/run-after-input.js';

/** Result of reading a request's body; a read body is undefined when the request has none. */
export type BodyResult =
	| {type: 'read'; body: Buffer | undefined}
	| {type: 'too_large'}
	/** No byte arrived within the idle timeout. */
	| {type: 'idle'}
	/** The connection failed or closed before the end of the body. */
	| {type: 'aborted'};

/** Reads the whole body within the limits, so that a retry can send it to another backend server. */
export const readRequestBody = async (request: IncomingMessage, limits: {bodyBytes: number; idleTimeoutMs: number}, timer: TimerService): Promise<BodyResult> => {
	const stated = Number(request.headers['content-length'] ?? 0);
	if (stated > limits.bodyBytes) {
		return {type: 'too_large'};
	}

	if (stated === 0 && request.headers['transfer-encoding'] === undefined) {
		return {type: 'read', body: undefined};
	}

	return new Promise(resolve => {
		const parts: Buffer[] = [];
		let length = 0;
		let cancelIdleTimer = (): void => undefined;
		const end = (result: BodyResult): void => {
			cancelIdleTimer();
			request.removeAllListeners('data');
			resolve(result);
		};

		const resetIdleTimer = (): void => {
			cancelIdleTimer();
			cancelIdleTimer = timer.schedule(limits.idleTimeoutMs, () => {
				cancelIdleTimer = runAfterInput(() => {
					end({type: 'idle'});
				});
			});
		};

		resetIdleTimer();
		request.on('data', (part: Buffer) => {
			length += part.length;
			if (length > limits.bodyBytes) {
				end({type: 'too_large'});
				return;
			}

			parts.push(part);
			resetIdleTimer();
		});
		request.on('end', () => {
			end({type: 'read', body: Buffer.concat(parts)});
		});
		request.on('error', () => {
			end({type: 'aborted'});
		});
		request.on('close', () => {
			if (!request.complete) {
				end({type: 'aborted'});
			}
		});
	});
};
