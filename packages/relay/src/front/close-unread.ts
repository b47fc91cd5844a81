import type {IncomingMessage, ServerResponse} from 'node:http';
import type {TimerService} from '@knapweedrack/entry/contracts';

/** Longest stated body that is read and discarded, so that its connection can be used again, in bytes. */
const discardedBodyBytes = 64 * 1024;
/** Bytes that are discarded after a refusal, so that a caller which reads only after it has sent still gets the answer. */
const discardedBytes = 1024 * 1024;
/** What a part counts beside its bytes, so that very small parts are not read for long. */
const partBytes = 256;
/** Time after which the connection is closed at the latest, in ms. */
const discardMs = 1000;

/** True when the rest of a body can be read for less than a new connection costs. */
export const isCheaplyDiscarded = (request: IncomingMessage): boolean => {
	const stated = Number(request.headers['content-length'] ?? 0);
	return request.complete || (request.headers['transfer-encoding'] === undefined && stated <= discardedBodyBytes);
};

/**
 * Closes the connection of a request whose body is not read, once its answer was sent. Closed at once, the connection would be reset
 * by the bytes that still arrive, and the caller could lose the answer.
 */
export const closeAfterAnswer = (request: IncomingMessage, response: ServerResponse, timer: TimerService): void => {
	const {socket} = request;
	let discarded = 0;
	const close = (): void => {
		socket.destroy();
	};

	const cancelTimeout = timer.schedule(discardMs, close);
	request.on('data', ({length}: {length: number}) => {
		discarded += length + partBytes;
		if (discarded > discardedBytes) {
			close();
		}
	});
	socket.once('close', cancelTimeout);
	// Node closes both directions as soon as the answer was written.
	const destroySoon = socket.destroySoon.bind(socket);
	request.once('end', destroySoon);
	socket.destroySoon = () => {
		if (request.complete) {
			destroySoon();
		} else {
			socket.end();
		}
	};

	response.shouldKeepAlive = false;
};

/** Closes the connection of a refused request unless the rest of its body arrives soon; without a body, nothing is done. */
export const limitDiscard = (request: IncomingMessage, timer: TimerService): void => {
	if (request.complete || (request.headers['content-length'] ?? '0') === '0') {
		return;
	}

	const cancel = timer.schedule(discardMs, () => {
		if (!request.complete) {
			request.socket.destroy();
		}
	});
	request.once('close', cancel);
};
