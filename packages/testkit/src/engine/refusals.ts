import {sendJson, type Exchange} from '../http/exchange.js';

/** Error code and HTTP status of each refusal. */
export const refusals = {
	badRequest: {code: 'bad_request', status: 400},
	notFound: {code: 'not_found', status: 404},
	segmentNotFound: {code: 'segment_not_found', status: 404},
	bootChanged: {code: 'boot_changed', status: 409},
	cancelled: {code: 'cancelled', status: 409},
	duplicateAttempt: {code: 'duplicate_attempt', status: 409},
	modelNotLoaded: {code: 'model_not_loaded', status: 409},
	orderExpired: {code: 'order_expired', status: 409},
	staleFencingNumber: {code: 'stale_fencing_number', status: 409},
	leaving: {code: 'leaving', status: 503},
	overloaded: {code: 'overloaded', status: 503},
	outOfMemory: {code: 'out_of_memory', status: 507},
} as const;
/** Reason for which an engine refuses a call. */
export type Refusal = keyof typeof refusals;

/** Sends a refusal; `started: false` states that the request did not run, so that it may be retried. */
export const sendRefusal = (exchange: Exchange, refusal: Refusal, message: string, started = false): void => {
	const {code, status} = refusals[refusal];
	sendJson(exchange, status, {error: code, message, started});
};
