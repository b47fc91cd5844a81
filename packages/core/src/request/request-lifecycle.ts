import {Lifecycle} from '../lifecycle/lifecycle.js';
import {computeOutcome} from '../outcomes/compute-outcome.js';
import type {AttemptRecord, Outcome} from '../types/attempt.js';
import {
	outcomeKinds, refusalReasons, type OutcomeKind, type RefusalReason,
} from '../types/reasons.js';
import {requestTransitions, type RequestEventType, type RequestState} from './request-transitions.js';

/** An event of a request with the data from which its outcome is computed. */
export type RequestEvent = {
	type: Exclude<RequestEventType, 'settledCompleted' | 'settledNotRun' | 'settledFailed' | 'settledUnknown'>;
	/** Current record of the attempt, with events of an attempt; replaces the record with the same attempt id. */
	attempt?: AttemptRecord | undefined;
	reason?: RefusalReason | undefined;
	retryAfterMs?: number | undefined;
	/** Stored outcome, with `answered`. */
	outcome?: Outcome | undefined;
	/** Time in ms until the deadline, with `admitted`. */
	deadlineInMs?: number | undefined;
};

/** Action for the task that runs the request. */
export type RequestCommand =
	| {type: 'startDeadline'; at: number}
	| {type: 'cancelDeadline'}
	/** Cancel the attempt on its backend server and withdraw or release its permit. */
	| {type: 'cancelAttempt'; attemptId: string}
	/** Report the outcome; issued exactly once per request. */
	| {type: 'finish'; outcome: Outcome};

/** Properties of a request that affect its outcome; see `OutcomeOptions`. */
export type RequestLifecycleOptions = {isIdempotent: boolean};

/** States of a request in order of the transition table. */
export const requestStates = Object.keys(requestTransitions) as RequestState[];

const settledEvents: Record<OutcomeKind, RequestEventType> = {
	[outcomeKinds.completed]: 'settledCompleted',
	[outcomeKinds.notRun]: 'settledNotRun',
	[outcomeKinds.failed]: 'settledFailed',
	[outcomeKinds.unknown]: 'settledUnknown',
};

/** Reasons of events that end a request without a reason of their own. */
const reasonsByEndEvent: Partial<Record<RequestEventType, RefusalReason>> = {
	deadline: refusalReasons.deadlineExceeded,
	callerGone: refusalReasons.callerGone,
	claimUnknown: refusalReasons.claimOutcomeUnknown,
};

/** State machine of one request, from receipt to its single final outcome. */
export class RequestLifecycle {
	readonly #lifecycle = new Lifecycle<RequestState, RequestEventType>(requestTransitions, 'received');
	readonly #attempts = new Map<string, AttemptRecord>();
	#hasDeadline = false;

	constructor(private readonly options: RequestLifecycleOptions) {}

	get state(): RequestState {
		return this.#lifecycle.current;
	}

	get isFinal(): boolean {
		return this.#lifecycle.isFinal;
	}

	/** Attempts in order of their start. */
	get attempts(): AttemptRecord[] {
		return [...this.#attempts.values()];
	}

	/** Stores the record of an attempt without an event, for example when its first byte is sent. */
	recordAttempt(attempt: AttemptRecord): void {
		if (!this.isFinal) {
			this.#attempts.set(attempt.attemptId, attempt);
		}
	}

	/** Applies an event and returns the actions to take. Events without a transition in the current state are ignored. */
	handle(event: RequestEvent, now: number): RequestCommand[] {
		const previousState = this.state;
		if (!this.#lifecycle.handle(event.type)) {
			return [];
		}

		if (event.attempt !== undefined) {
			this.#attempts.set(event.attempt.attemptId, event.attempt);
		}

		if (event.type === 'admitted') {
			this.#hasDeadline = true;
			return [{type: 'startDeadline', at: now + (event.deadlineInMs ?? 0)}];
		}

		return this.state === 'closing' ? this.#endRequest(event, previousState) : [];
	}

	#endRequest(event: RequestEvent, previousState: RequestState): RequestCommand[] {
		const outcome = this.#computeOutcome(event);
		this.#lifecycle.handle(settledEvents[outcome.kind]);
		const commands: RequestCommand[] = [];
		const current = this.attempts.at(-1);
		if (current !== undefined && attemptStates.has(previousState) && event.attempt === undefined) {
			commands.push({type: 'cancelAttempt', attemptId: current.attemptId});
		}

		if (this.#hasDeadline) {
			commands.push({type: 'cancelDeadline'});
		}

		return [...commands, {type: 'finish', outcome}];
	}

	#computeOutcome(event: RequestEvent): Outcome {
		if (event.outcome !== undefined) {
			return event.outcome;
		}

		const computed = event.type === 'claimUnknown'
			? {kind: outcomeKinds.unknown}
			: computeOutcome(this.attempts, this.options);
		if (computed.kind === outcomeKinds.completed) {
			return computed;
		}

		const reason = event.reason ?? reasonsByEndEvent[event.type] ?? computed.reason;
		return {kind: computed.kind, reason, retryAfterMs: event.retryAfterMs};
	}
}

/** States in which the current attempt must be cancelled when the request ends. */
const attemptStates: ReadonlySet<RequestState> = new Set(['waitingForPermit', 'dispatching', 'streaming']);
