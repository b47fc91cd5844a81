import type {TransitionTable} from '../lifecycle/lifecycle.js';

/** States of a request; the last four are final. */
export type RequestState =
	| 'received' | 'admitted' | 'claiming' | 'selecting' | 'waitingForPermit' | 'dispatching' | 'streaming' | 'deciding' | 'closing'
	| 'completed' | 'notRun' | 'failed' | 'unknown';

/** Events of a request; the `settled` events follow from its final outcome. */
export type RequestEventType =
	/** Input, credential and limits were checked; the deadline starts now. */
	| 'admitted'
	/** Refused before admission, or later by a decision that ends the request. */
	| 'refused'
	| 'claimRequired' | 'claimSkipped' | 'claimed'
	/** An earlier attempt with the same key has a stored outcome. */
	| 'answered'
	/** The outcome of an earlier attempt with the same key cannot be determined. */
	| 'claimUnknown'
	| 'candidate' | 'granted' | 'permitRefused'
	/** The first frame of the answer was passed on to the caller. */
	| 'firstFrame'
	/** The attempt ended without a complete answer. */
	| 'attemptFailed'
	/** The complete answer arrived and was verified. */
	| 'attemptCompleted'
	| 'retry' | 'giveUp' | 'deadline' | 'callerGone'
	| 'settledCompleted' | 'settledNotRun' | 'settledFailed' | 'settledUnknown';

const closingTransitions = {refused: 'closing', deadline: 'closing', callerGone: 'closing'} as const;

/**
 * Transition table of a request. Every path to a final state leads through `closing`, where the outcome is computed
 * once. Final states have no transitions, so a late event cannot change the outcome.
 */
export const requestTransitions: TransitionTable<RequestState, RequestEventType> = {
	received: {...closingTransitions, admitted: 'admitted'},
	admitted: {...closingTransitions, claimRequired: 'claiming', claimSkipped: 'selecting'},
	claiming: {
		...closingTransitions, claimed: 'selecting', answered: 'closing', claimUnknown: 'closing',
	},
	selecting: {...closingTransitions, candidate: 'waitingForPermit', giveUp: 'closing'},
	waitingForPermit: {...closingTransitions, granted: 'dispatching', permitRefused: 'deciding'},
	dispatching: {
		...closingTransitions, firstFrame: 'streaming', attemptFailed: 'deciding', attemptCompleted: 'closing',
	},
	streaming: {...closingTransitions, attemptFailed: 'deciding', attemptCompleted: 'closing'},
	deciding: {...closingTransitions, retry: 'selecting', giveUp: 'closing'},
	closing: {
		settledCompleted: 'completed', settledNotRun: 'notRun', settledFailed: 'failed', settledUnknown: 'unknown',
	},
	completed: {},
	notRun: {},
	failed: {},
	unknown: {},
};
