import type {AttemptResult} from './permit.js';
import type {OutcomeKind, RefusalReason} from './reasons.js';

/** What is known about one attempt to run a request; the outcome of the request is computed from all its attempts. */
export type AttemptRecord = {
	attemptId: string;
	serverId: string;
	/** True once the first byte may have left for the backend server. */
	sentBytes: boolean;
	/** True when the backend server stated that it did not start the request. */
	refusedByServer: boolean;
	/** True once any part of the answer was passed on to the caller. */
	passedOn: boolean;
	/** True when the whole answer arrived and was verified. */
	completed: boolean;
	result?: AttemptResult | undefined;
	reason?: RefusalReason | undefined;
};

/** Final outcome of a request. */
export type Outcome = {
	kind: OutcomeKind;
	reason?: RefusalReason | undefined;
	/** Time in ms after which a retry is worthwhile. */
	retryAfterMs?: number | undefined;
};
