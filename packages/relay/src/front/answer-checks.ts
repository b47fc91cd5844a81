import type {AnswerHead} from '../exchange/attempt.js';
import {misdirectedStatus} from './attempt-result.js';

const leastSuccessStatus = 200;
const leastRedirectStatus = 300;

/** True for a stream of server-sent events. */
export const isEventStream = ({headers}: AnswerHead): boolean => headers['content-type']?.startsWith('text/event-stream') ?? false;

/** True when an answer comes from the backend server itself, not from another incarnation at its address. */
export const isFromServer = ({status, envelope}: AnswerHead): boolean =>
	status !== misdirectedStatus && (envelope.isSigned || envelope.isNotRun || envelope.requestsPerSecondLimit !== undefined);

/** True when an answer carries the id of the request, as failures of the backend server do that have no signature. */
export const hasRequestId = ({status, envelope}: AnswerHead): boolean => status !== misdirectedStatus && envelope.requestId !== undefined;

/** A successful answer without a signature, or with an encoded body, does not come from the backend server itself. */
export const isUnusable = ({status, envelope, headers}: AnswerHead): boolean =>
	status < leastRedirectStatus && (!envelope.isSigned || headers['content-encoding'] !== undefined);

/** True for a success that answers the request with the given id. A failure, a rejection or an answer to another request proves no run. */
export const isSuccessOf = ({status, envelope}: AnswerHead, requestId: string | undefined): boolean =>
	status >= leastSuccessStatus && status < leastRedirectStatus && envelope.requestId === requestId;
