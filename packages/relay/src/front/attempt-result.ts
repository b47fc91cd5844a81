import type {Buffer} from 'node:buffer';
import type {AnswerHead} from '../exchange/attempt.js';
import type {LossKind} from '../quarantine/crash-detection-task.js';

/** Status by which another incarnation at the address refuses a request for the server. */
export const misdirectedStatus = 421;

/** Outcome of an attempt; `firstByteAt` is a time on the clock of the timer service, in ms. */
export type AttemptResult = {
	firstByteAt?: number | undefined;
	longestPauseMs?: number | undefined;
	/** Time from the dispatch, or from the last event, to the end of the attempt, in ms. */
	silentMs?: number;
	/** True when the attempt was cancelled because another one of the request has continued the answer. */
	hasLost?: boolean;
	/** True when the backend server has sent the head of an answer. */
	hasHead?: boolean;
	/** Requests per second that the backend server accepts from all entries, as its answer names it; undefined without a limit. */
	requestsPerSecondLimit?: number | undefined;
	/** Time for which the backend server wants no further request, as its answer says, in ms. */
	backoffMs?: number | undefined;
	/** Id of the entry that passed the request on; undefined when this entry sent it directly. */
	tunnelPeerId?: string | undefined;
	/**
	 * True when the answer shows that the content was run to its end: a whole success. A failure may come before the content is run, or
	 * instead, and an answer that ends with its connection may end because its server does.
	 */
	hasCompleted?: boolean;
	/** True when a length or chunks told the end of the answer, not the end of its connection. */
	isDelimited?: boolean;
} & (
	/** The whole answer was forwarded. */
	| {type: 'delivered'}
	/** The backend server answered with an error status. */
	| {type: 'failed'; head: AnswerHead; body: Buffer}
	/** The backend server stated that it did not run the request. */
	| {type: 'not_run'; cause: string; causeAddress: string | undefined; status: number}
	/** No byte of the request was sent. */
	| {type: 'not_sent'; cause: string}
	/** No complete answer was received; the request may have run. `loss` is set when the backend server may have ended. */
	| {type: 'broken'; cause: string; loss: LossKind | undefined}
	/** The caller reads too slowly; another attempt continues the stream when the caller has taken what was passed on. */
	| {type: 'detached'; cause: string}
	/** The caller reads too slowly, and its connection was closed, because no other attempt can continue the answer. */
	| {type: 'cut'; cause: string}
	/** The request ended before the attempt: its caller disconnected or it timed out. */
	| {type: 'cancelled'}
);
