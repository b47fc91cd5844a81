import type {AttemptRecord, Outcome} from '../types/attempt.js';
import {attemptResults} from '../types/permit.js';
import {outcomeKinds} from '../types/reasons.js';

/** Properties of a request that affect its outcome beyond its attempts. */
export type OutcomeOptions = {
	/** True when repeating the request has no further effect; an attempt with an unknown end then counts as failed. */
	isIdempotent?: boolean | undefined;
};

/**
 * Computes the final outcome of a request from the records of its attempts.
 * The outcome is `not_run` only if no attempt can have started on a backend server.
 */
export const computeOutcome = (attempts: readonly AttemptRecord[], options: OutcomeOptions = {}): Outcome => {
	if (attempts.some(attempt => attempt.completed)) {
		return {kind: outcomeKinds.completed};
	}

	const reason = attempts.at(-1)?.reason;
	const started = attempts.filter(attempt => isPossiblyRun(attempt));
	if (started.length === 0) {
		return {kind: outcomeKinds.notRun, reason};
	}

	const isEndUnknown = !options.isIdempotent && started.some(attempt => hasUnknownEnd(attempt));
	return {kind: isEndUnknown ? outcomeKinds.unknown : outcomeKinds.failed, reason: started.at(-1)?.reason ?? reason};
};

/** False only if no byte was sent, or if the backend server reported that it did not start the request. */
const isPossiblyRun = (attempt: AttemptRecord): boolean =>
	attempt.passedOn || (attempt.sentBytes && !attempt.refusedByServer);

/** An attempt is known to have ended only if the backend server itself reported the failure. */
const hasUnknownEnd = (attempt: AttemptRecord): boolean => attempt.result !== attemptResults.failed;
