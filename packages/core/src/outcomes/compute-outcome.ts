import type {AttemptRecord, Outcome} from '../types/attempt.js';
import {attemptResults} from '../types/permit.js';
import {outcomeKinds} from '../types/reasons.js';

/** Facts about a request that are not part of its attempts. */
export type OutcomeOptions = {
	/** True when a repeated execution has no further effect, so that an attempt with an unknown end counts as failed. */
	isIdempotent?: boolean | undefined;
};

/**
 * Computes the one final outcome of a request from its attempts.
 * Without an attempt the request was not run.
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

/** True unless no byte was sent or the backend server stated that it did not start the request. */
const isPossiblyRun = (attempt: AttemptRecord): boolean =>
	attempt.passedOn || (attempt.sentBytes && !attempt.refusedByServer);

/** Only a failure that the backend server reported itself ends an attempt for certain. */
const hasUnknownEnd = (attempt: AttemptRecord): boolean => attempt.result !== attemptResults.failed;
