import {
	outcomeKinds, RequestLifecycle, type AttemptRecord, type Outcome, type Plan, type Priority, type RequestCommand, type RequestEvent, type Workspace,
} from '@knapweedrack/core';
import type {EntryServices} from '../contracts.js';

/** Facts of a request that passed authentication. */
export type RequestFacts = {
	requestId: string;
	workspace: Workspace;
	plan: Plan;
	priority: Priority;
	/** Monotonic time in ms at which the headers arrived. */
	arrivedAt: number;
	/** Time in ms from arrival to the deadline. */
	deadlineMs: number;
	isIdempotent: boolean;
	/** Target for the first token in ms from arrival; undefined when the plan has none. */
	firstTokenTargetMs?: number | undefined;
};

/** One request from authentication to its final outcome. */
export class RequestTask {
	/** Resolves with the final outcome; clean-up may continue after that. */
	readonly done: Promise<Outcome>;
	readonly deadlineAt: number;
	readonly #lifecycle: RequestLifecycle;
	readonly #abort = new AbortController();
	#resolveDone!: (outcome: Outcome) => void;
	#cancelDeadline: (() => void) | undefined;

	constructor(private readonly services: EntryServices, readonly facts: RequestFacts) {
		this.#lifecycle = new RequestLifecycle({isIdempotent: facts.isIdempotent});
		this.deadlineAt = facts.arrivedAt + facts.deadlineMs;
		this.done = new Promise(resolve => {
			this.#resolveDone = resolve;
		});
	}

	get requestId(): string {
		return this.facts.requestId;
	}

	/** Aborts when the request ends in any way other than by its complete answer. */
	get signal(): AbortSignal {
		return this.#abort.signal;
	}

	get isFinal(): boolean {
		return this.#lifecycle.isFinal;
	}

	get attempts(): AttemptRecord[] {
		return this.#lifecycle.attempts;
	}

	/** Time in ms until the deadline. */
	get remainingMs(): number {
		return this.deadlineAt - this.services.timer.now();
	}

	/** Time in ms until the first token is due; the queues of backend servers are ordered by it. */
	get firstTokenRemainingMs(): number {
		const {arrivedAt, firstTokenTargetMs, deadlineMs} = this.facts;
		return arrivedAt + (firstTokenTargetMs ?? deadlineMs) - this.services.timer.now();
	}

	/** Applies an event of the request's lifecycle; events after the final outcome have no effect. */
	apply(event: RequestEvent): void {
		const now = this.services.timer.now();
		for (const command of this.#lifecycle.handle(event, now)) {
			this.#runCommand(command, now);
		}
	}

	/** Starts the deadline timer after the limits admitted the request. */
	applyAdmission(): void {
		this.apply({type: 'admitted', deadlineInMs: Math.max(0, this.remainingMs)});
	}

	/** Adds an attempt by reference, so that the outcome is computed from its current state. */
	recordAttempt(attempt: AttemptRecord): void {
		this.#lifecycle.recordAttempt(attempt);
	}

	/** Records a step for `explain`. */
	recordStep(step: string, detail: Record<string, unknown>): void {
		this.services.explain.record(this.requestId, {step, detail});
	}

	#runCommand(command: RequestCommand, now: number): void {
		const handlers: {[Type in RequestCommand['type']]: (command: Extract<RequestCommand, {type: Type}>) => void} = {
			startDeadline: ({at}) => {
				this.#startDeadline(at - now);
			},
			cancelDeadline: () => {
				this.#cancelDeadline?.();
			},
			cancelAttempt: () => {
				this.#abort.abort();
			},
			finish: ({outcome}) => {
				this.#endRequest(outcome);
			},
		};
		handlers[command.type](command as never);
	}

	#startDeadline(delayMs: number): void {
		this.#cancelDeadline = this.services.timer.schedule(delayMs, () => {
			this.apply({type: 'deadline', retryAfterMs: 1000});
		});
	}

	#endRequest(outcome: Outcome): void {
		if (outcome.kind !== outcomeKinds.completed) {
			this.#abort.abort();
		}

		this.#resolveDone(outcome);
	}
}
