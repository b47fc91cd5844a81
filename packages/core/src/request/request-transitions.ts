import type {TransitionTable} from '../lifecycle/lifecycle.js';

/** States of a request; the last four are final. */
export type RequestState =
	| 'received' | 'admitted' | 'claiming' | 'selecting' | 'waitingForPermit' | 'dispatching' | 'streaming' | 'deciding' | 'closing'
	| 'completed' | 'notRun' | 'failed' | 'unknown';

/** Events of a request. */
export type RequestEventType =
	/** Input, credential and limits are in order; the deadline runs from here. */
	| 'admitted'
	/** Refused before admission, or by a decision that ends the request. */
	| 'refused'
	| 'claimRequired' | 'claimSkipped' | 'claimed'
	/** An earlier attempt with the same key has a stored outcome. */
	| 'answered'
	/** The outcome of an earlier attempt with the same key cannot be known now. */
	| 'claimUnknown'
	| 'candidate' | 'granted' | 'permitRefused'
	/** The first part of the answer was passed on. */
	| 'firstFrame'
	/** The attempt ended without a complete answer. */
	| 'attemptFailed'
	/** The complete answer was verified. */
	| 'attemptCompleted'
	| 'retry' | 'giveUp' | 'deadline' | 'callerGone'
	| 'settledCompleted' | 'settledNotRun' | 'settledFailed' | 'settledUnknown';

const closingTransitions = {refused: 'closing', deadline: 'closing', callerGone: 'closing'} as const;

/**
 * Lifecycle of a request. Every way to a final state leads through `closing`, where the outcome is computed once;
 * final states have no transitions, so a late event cannot change the outcome.
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
