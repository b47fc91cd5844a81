import {
	outcomeKinds, refusalReasons, type ClaimOutcome, type Outcome,
} from '@knapweedrack/core';
import type {LimitAnswer, TimerService} from '../contracts.js';
import {AttemptLoop} from './attempt-loop.js';
import type {CallerContext} from './caller-context.js';
import {ClaimSession, type ClaimSubject} from './claim-session.js';
import {sendRefusal, type AuthenticatedCaller, type Exchange} from './exchange.js';
import {createRefusal, type Refusal} from './refusal.js';
import {refusalMessages} from './refusal-messages.js';
import {RequestTask} from './request-task.js';
import type {RequestWork} from './request-work.js';
import {waitForAbort} from './wait-for-abort.js';

/** The parts of a request in which completions and service calls differ. */
export type RequestDefinition = {
	/** Prompt length in tokens; selects the first token target and is recorded in the daily report. */
	promptTokens: number;
	/** Tokens charged to the limits of the workspace at admission. */
	costTokens: number;
	isIdempotent: boolean;
	/** Claim on the single execution; undefined without an idempotency key. */
	claim?: {
		subject: ClaimSubject;
		/** Accepts the stored outcome of an earlier request with the same key and returns the outcome of this request. */
		acceptStoredOutcome: (outcome: ClaimOutcome) => Outcome;
		/** Returns the outcome to store in the claim at the end. */
		describe: (outcome: Outcome) => ClaimOutcome;
	} | undefined;
	/** Creates the work; `session` is undefined without a claim. */
	createWork: (task: RequestTask, session: ClaimSession | undefined) => RequestWork;
	/** Sends the final answer to the caller. */
	sendOutcome: (outcome: Outcome) => void;
	/** Counts the tokens used, which are known only at the end and correct the charge at admission. */
	countUsedTokens: (outcome: Outcome) => number;
	/** Monotonic time in ms of the first token; undefined before it. */
	getFirstTokenAt: () => number | undefined;
};

const findFirstTokenTargetMs = ({plan}: AuthenticatedCaller, promptTokens: number): number | undefined =>
	plan.firstTokenTargets.find(target => target.upToTokens === undefined || promptTokens <= target.upToTokens)?.targetMs;

/** A request with its final outcome, as input of the daily report. */
type FinishedRequest = {exchange: Exchange; caller: AuthenticatedCaller; definition: RequestDefinition; outcome: Outcome};

const recordSummary = (context: CallerContext, {exchange, caller, definition, outcome}: FinishedRequest): void => {
	const {summary, timer, metrics} = context.services;
	const firstTokenAt = definition.getFirstTokenAt();
	const firstTokenMs = firstTokenAt === undefined ? undefined : firstTokenAt - exchange.arrivedAt;
	const firstTokenTargetMs = findFirstTokenTargetMs(caller, definition.promptTokens);
	const durationMs = timer.now() - exchange.arrivedAt;
	if (firstTokenMs !== undefined) {
		metrics.recordDuration('request.first_token', firstTokenMs);
	}

	metrics.recordDuration('request.duration', durationMs);
	if (outcome.kind === outcomeKinds.completed) {
		metrics.count('request.completed');
	}

	summary.record({
		workspaceId: caller.workspace.id,
		promptTokens: definition.promptTokens,
		outcome: outcome.kind,
		reason: outcome.reason,
		firstTokenMs,
		firstTokenTargetMs,
		durationMs,
		isLate: outcome.reason === refusalReasons.deadlineExceeded
			|| (firstTokenMs !== undefined && firstTokenTargetMs !== undefined && firstTokenMs > firstTokenTargetMs),
	});
};

/** A refusal before admission, with the prompt length in tokens for the daily report. */
export type RefusedRequest = Pick<Refusal, 'reason' | 'message' | 'retryAfterMs' | 'param'> & {promptTokens: number};

/** Sends the refusal of an authenticated request before its admission and records it for the daily report. */
export const refuseBeforeAdmission = (context: CallerContext, exchange: Exchange, caller: AuthenticatedCaller, refused: RefusedRequest): void => {
	const {reason, message, retryAfterMs, param, promptTokens} = refused;
	sendRefusal(context, exchange, createRefusal(reason, message, {retryAfterMs, param}));
	context.services.summary.record({
		workspaceId: caller.workspace.id,
		promptTokens,
		outcome: outcomeKinds.notRun,
		reason,
		durationMs: context.services.timer.now() - exchange.arrivedAt,
		isLate: false,
	});
};

const runWithClaim = async (context: CallerContext, task: RequestTask, definition: RequestDefinition, claim: NonNullable<RequestDefinition['claim']>): Promise<void> => {
	const session = new ClaimSession(context, claim.subject);
	task.apply({type: 'claimRequired'});
	const result = await session.open();
	task.recordStep('claim', {...result});
	if (result.type === 'answer') {
		task.apply({type: 'answered', outcome: claim.acceptStoredOutcome(result.outcome)});
		return;
	}

	if (result.type === 'refused') {
		const {reason, retryAfterMs} = result;
		task.apply({type: result.outcome === outcomeKinds.unknown ? 'claimUnknown' : 'refused', reason, retryAfterMs});
		return;
	}

	try {
		task.apply({type: 'claimed'});
		await new AttemptLoop(context, task, definition.createWork(task, session)).run();
	} finally {
		// Has no effect when the request already has its final outcome.
		task.apply({type: 'refused', reason: refusalReasons.internal});
		await session.recordOutcome(claim.describe(await task.done));
	}
};

const runTask = async (context: CallerContext, task: RequestTask, definition: RequestDefinition): Promise<void> => {
	try {
		if (definition.claim === undefined) {
			task.apply({type: 'claimSkipped'});
			await new AttemptLoop(context, task, definition.createWork(task, undefined)).run();
		} else {
			await runWithClaim(context, task, definition, definition.claim);
		}
	} catch (error) {
		task.recordStep('internal_error', {message: error instanceof Error ? error.message : 'unknown error'});
	} finally {
		// Has no effect when the request already has its final outcome.
		task.apply({type: 'refused', reason: refusalReasons.internal});
	}
};

/** Computes the time in ms from the arrival of a request to its deadline. */
const computeDeadlineMs = ({headers, plan}: AuthenticatedCaller): number => Math.min(headers.deadlineMs ?? plan.deadlineMs, plan.deadlineMs);

/** Starts a wait of `delayMs`, to be stopped once its result is not needed any more. */
const waitForDeadline = (timer: TimerService, delayMs: number): {promise: Promise<'late'>; stop: () => void} => {
	let stop!: () => void;
	const promise = new Promise<'late'>(resolve => {
		stop = timer.schedule(Math.max(0, delayMs), () => {
			resolve('late');
		});
	});
	return {promise, stop};
};

/** Requests the admission by the limits of the workspace until the deadline, or until the listener closes; an admission that comes later is released. */
const requestAdmission = async (context: CallerContext, exchange: Exchange, caller: AuthenticatedCaller, {costTokens}: RequestDefinition): Promise<LimitAnswer> => {
	const {limits, timer} = context.services;
	const answer = limits.tryAdmit(caller.workspace, caller.plan, {tokens: costTokens});
	const closing = waitForAbort(context.closingSignal);
	const deadline = waitForDeadline(timer, exchange.arrivedAt + computeDeadlineMs(caller) - timer.now());
	const first = await Promise.race([answer, closing.promise, deadline.promise]);
	closing.stop();
	deadline.stop();
	if (typeof first === 'object') {
		return first;
	}

	void releaseLateAdmission(answer);
	return first === 'late'
		? {type: 'refused', reason: refusalReasons.deadlineExceeded, retryAfterMs: 1000}
		: {type: 'refused', reason: refusalReasons.entryStopping, retryAfterMs: 0};
};

const releaseLateAdmission = async (answer: Promise<LimitAnswer>): Promise<void> => {
	const late = await answer;
	if (late.type === 'admitted') {
		late.release(0);
	}
};

/** Runs one authenticated request from the check of its limits to its final answer. */
export const runRequest = async (context: CallerContext, exchange: Exchange, caller: AuthenticatedCaller, definition: RequestDefinition): Promise<void> => {
	const limit = await requestAdmission(context, exchange, caller, definition);
	if (limit.type === 'refused') {
		refuseBeforeAdmission(context, exchange, caller, {
			reason: limit.reason, message: refusalMessages[limit.reason], retryAfterMs: limit.retryAfterMs, promptTokens: definition.promptTokens,
		});
		return;
	}

	await runAdmitted(context, exchange, caller, {definition, limit});
};

type Admission = {definition: RequestDefinition; limit: Extract<LimitAnswer, {type: 'admitted'}>};

const runAdmitted = async (context: CallerContext, exchange: Exchange, caller: AuthenticatedCaller, {definition, limit}: Admission): Promise<void> => {
	const task = new RequestTask(context.services, {
		requestId: exchange.requestId,
		workspace: caller.workspace,
		plan: caller.plan,
		priority: caller.headers.priority,
		arrivedAt: exchange.arrivedAt,
		deadlineMs: computeDeadlineMs(caller),
		isIdempotent: definition.isIdempotent,
		firstTokenTargetMs: findFirstTokenTargetMs(caller, definition.promptTokens),
	});
	const handleClose = () => {
		if (!exchange.response.writableFinished) {
			task.apply({type: 'callerGone'});
		}
	};

	context.tasks.add(task);
	context.services.metrics.count('request.accepted');
	exchange.response.once('close', handleClose);
	let outcome: Outcome = {kind: outcomeKinds.failed, reason: refusalReasons.internal};
	try {
		task.applyAdmission();
		if (exchange.response.closed) {
			handleClose();
		}

		context.runInBackground(async () => runTask(context, task, definition));
		outcome = await task.done;
		definition.sendOutcome(outcome);
	} finally {
		context.tasks.delete(task);
		limit.release(definition.countUsedTokens(outcome));
		task.recordStep('outcome', {...outcome});
		recordSummary(context, {
			exchange, caller, definition, outcome,
		});
	}
};
