import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {
	attemptResults, computeOutcome, outcomeKinds, refusalReasons,
	type AttemptRecord, type ClaimOutcome, type Outcome, type ServiceDescription,
} from '@knapweedrack/core';
import {isConnectFailure, type BackendAnswer} from './backend-connections.js';
import {readBody} from './body-reader.js';
import type {CallerContext} from './caller-context.js';
import {hashRequest, type ClaimSession} from './claim-session.js';
import {estimateTokens} from './completion-request.js';
import {bodyTimeoutMs} from './completion-handler.js';
import {
	authenticate, isRefusal, sendRefusal, toRefusal, type AuthenticatedCaller, type Exchange,
} from './exchange.js';
import {createRefusal, type Refusal} from './refusal.js';
import {refusalMessages} from './refusal-messages.js';
import {refuseBeforeAdmission, runRequest, type RequestDefinition} from './request-flow.js';
import type {RequestTask} from './request-task.js';
import type {AttemptEnd, PermittedAttempt, RequestWork} from './request-work.js';

const requestLimitBytes = 4_000_000;
const answerLimitBytes = 16_000_000;
const storedAnswerLimitBytes = 500_000;
/** Time in ms past the deadline during which a late answer of a non-idempotent call is still awaited, to store it in the claim. */
const lateAnswerWaitMs = 30_000;

// Headers that are not forwarded: those of one connection, those that the entry sets itself, and the credential.
const droppedRequestHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
	'expect',
	'content-length',
	'authorization',
	'cookie',
	'x-request-id',
	'x-attempt-id',
	'idempotency-key',
	'x-request-deadline-ms',
	'x-request-priority',
]);
const passedAnswerHeaders = new Set(['content-type', 'content-language', 'etag', 'last-modified', 'location', 'cache-control', 'retry-after', 'vary']);

/** A service call after validation. */
type ServiceCall = {
	service: ServiceDescription;
	method: string;
	/** Path and query at the service. */
	path: string;
	body: Buffer;
	isIdempotent: boolean;
};

type ServiceAnswer = {status: number; headers: Record<string, string>; body: Buffer};

/** Splits `/v1/services/SERVICE/PATH?QUERY`; undefined for paths that leave the root of the service. */
export const parseServicePath = (url: string): {service: string; path: string} | undefined => {
	const match = /^\/v1\/services\/(?<service>[\w.\-]+)(?<path>\/[\u0021-\u007E]*)$/v.exec(url);
	const path = match?.groups?.path;
	if (path === undefined || /(?:^|\/|%2f)(?:\.|%2e){2}(?:\/|%2f|[?]|$)/iv.test(path)) {
		return undefined;
	}

	return {service: match!.groups!.service!, path};
};

const readCall = async (context: CallerContext, {request}: Exchange, {view, plan, headers}: AuthenticatedCaller): Promise<ServiceCall | Refusal> => {
	const target = parseServicePath(request.url ?? '');
	const service = target === undefined ? undefined : view.configuration.services.find(each => each.name === target.service);
	if (target === undefined || service === undefined) {
		request.resume();
		return target === undefined
			? createRefusal(refusalReasons.badRequest, 'the path of a service call is /v1/services/SERVICE/PATH without ".." segments')
			: createRefusal(refusalReasons.unknownService, `the service "${target.service}" does not exist`);
	}

	const method = request.method ?? 'GET';
	const isIdempotent = service.idempotentMethods.includes(method);
	if (!plan.services.includes(service.name)) {
		request.resume();
		return createRefusal(refusalReasons.modelNotInPlan, refusalMessages.model_not_in_plan);
	}

	if (!isIdempotent && headers.idempotencyKey === undefined) {
		request.resume();
		return createRefusal(refusalReasons.idempotencyKeyMissing, `${method} on "${service.name}" must not be repeated and needs an idempotency-key header`, {param: 'idempotency-key'});
	}

	const body = await readBody(request, {limitBytes: requestLimitBytes, timeoutMs: bodyTimeoutMs, closingSignal: context.closingSignal}, context.services.timer);
	return body.ok
		? {
			service, method, path: target.path, body: body.value, isIdempotent,
		}
		: body.error;
};

const selectRequestHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
	const connectionTokens = new Set((headers.connection ?? '').toLowerCase().split(',').map(token => token.trim()));
	const filtered: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !droppedRequestHeaders.has(name) && !connectionTokens.has(name)) {
			filtered[name] = value;
		}
	}

	return filtered;
};

const readAnswer = async (answer: BackendAnswer): Promise<ServiceAnswer | undefined> => {
	const parts: Buffer[] = [];
	let length = 0;
	for await (const part of answer.body) {
		length += (part as Buffer).length;
		if (length > answerLimitBytes) {
			return undefined;
		}

		parts.push(part as Buffer);
	}

	const headers: Record<string, string> = {};
	for (const [name, value] of Object.entries(answer.headers)) {
		if (typeof value === 'string' && passedAnswerHeaders.has(name)) {
			headers[name] = value;
		}
	}

	return {status: answer.statusCode, headers, body: Buffer.concat(parts)};
};

// The byte order mark is kept, so that a stored answer equals the first one.
// eslint-disable-next-line @typescript-eslint/naming-convention
const decoder = new TextDecoder('utf8', {fatal: true, ignoreBOM: true});

const decodeText = (body: Buffer): string | undefined => {
	try {
		return body.length > storedAnswerLimitBytes ? undefined : decoder.decode(body);
	} catch {
		return undefined;
	}
};

/** One service call: its attempts, its claim and its answer. */
class ServiceRequest {
	#answer: ServiceAnswer | undefined;
	#answeredAt: number | undefined;
	#task: RequestTask | undefined;

	constructor(
		private readonly context: CallerContext,
		private readonly exchange: Exchange,
		private readonly caller: AuthenticatedCaller,
		private readonly call: ServiceCall,
	) {}

	createDefinition(): RequestDefinition {
		const tokens = Math.max(1, estimateTokens(this.call.path) + Math.ceil(this.call.body.length / 4));
		return {
			promptTokens: tokens,
			costTokens: tokens,
			isIdempotent: this.call.isIdempotent,
			claim: this.#createClaim(),
			createWork: (task, session) => this.#createWork(task, session),
			sendOutcome: outcome => {
				this.#sendOutcome(outcome);
			},
			countUsedTokens: outcome => outcome.kind === outcomeKinds.notRun ? 0 : tokens,
			getFirstTokenAt: () => this.#answeredAt,
		};
	}

	#createClaim(): RequestDefinition['claim'] {
		const {caller, call} = this;
		const {idempotencyKey} = caller.headers;
		if (idempotencyKey === undefined) {
			return undefined;
		}

		return {
			subject: {
				workspaceId: caller.workspace.id,
				idempotencyKey,
				bodyDigest: hashRequest(call.method, call.service.name, call.path, call.body),
			},
			acceptStoredOutcome: outcome => this.#acceptStoredOutcome(outcome),
			describe: () => this.#describeClaim(),
		};
	}

	#acceptStoredOutcome(outcome: ClaimOutcome): Outcome {
		if (outcome.kind === outcomeKinds.completed && outcome.body !== undefined && outcome.status !== undefined) {
			this.#answer = {
				status: outcome.status, headers: outcome.contentType === undefined ? {} : {'content-type': outcome.contentType}, body: Buffer.from(outcome.body),
			};
			return {kind: outcomeKinds.completed};
		}

		return {kind: outcomeKinds.unknown, reason: refusalReasons.claimOutcomeUnknown};
	}

	/** Computes the outcome from the attempts after they have ended, which can be later than the answer to the caller. */
	#describeClaim(): ClaimOutcome {
		if (this.#answer !== undefined) {
			return {
				kind: outcomeKinds.completed, status: this.#answer.status, contentType: this.#answer.headers['content-type'], body: decodeText(this.#answer.body),
			};
		}

		const {kind, reason} = computeOutcome(this.#task?.attempts ?? [], {isIdempotent: this.call.isIdempotent});
		// An idempotent call that failed may run again under the same key.
		return {kind: this.call.isIdempotent ? outcomeKinds.notRun : kind, reason};
	}

	#createWork(task: RequestTask, session: ClaimSession | undefined): RequestWork {
		this.#task = task;
		const {call} = this;
		return {
			serves: call.service.name,
			isIdempotent: call.isIdempotent,
			cost: {
				promptTokens: 0, decodeTokens: 0, maxTokens: 0, blocks: [],
			},
			run: async permitted => this.#runAttempt(task, permitted),
			confirmDispatch: call.isIdempotent || session === undefined ? undefined : async () => session.recordDispatch(),
		};
	}

	async #runAttempt(task: RequestTask, {server, attempt}: PermittedAttempt): Promise<AttemptEnd> {
		const {call, context, exchange, caller} = this;
		const signal = this.#createSignal(task);
		attempt.sentBytes = true;
		try {
			const reply = await context.connections.send({
				address: server.address,
				method: call.method,
				path: call.path,
				headers: {
					...selectRequestHeaders(exchange.request.headers),
					'x-request-id': task.requestId,
					'x-attempt-id': attempt.attemptId,
					...(call.isIdempotent ? {} : {'idempotency-key': caller.headers.idempotencyKey!}),
				},
				body: call.body.length === 0 ? undefined : call.body,
				signal: signal.signal,
				isOnFreshConnection: !call.isIdempotent,
			});
			return await this.#acceptReply(task, attempt, reply);
		} catch (error) {
			return this.#describeFailure(attempt, error, signal.signal);
		} finally {
			signal.stop();
		}
	}

	/** Creates the signal of a call. A non-idempotent call is not aborted when its caller disconnects, so that its outcome becomes known. */
	#createSignal(task: RequestTask): {signal: AbortSignal; stop: () => void} {
		if (this.call.isIdempotent) {
			return {signal: task.signal, stop() {/* The task owns the signal. */}};
		}

		const controller = new AbortController();
		const abort = () => {
			controller.abort();
		};

		const stopTimer = this.context.services.timer.schedule(Math.max(0, task.remainingMs) + lateAnswerWaitMs, abort);
		this.context.closingSignal.addEventListener('abort', abort, {once: true});
		return {
			signal: controller.signal,
			stop: () => {
				stopTimer();
				this.context.closingSignal.removeEventListener('abort', abort);
			},
		};
	}

	#describeFailure(attempt: AttemptRecord, error: unknown, signal: AbortSignal): AttemptEnd {
		if (isConnectFailure(error)) {
			attempt.sentBytes = false;
			return {result: attemptResults.notStarted, reason: refusalReasons.backendFailed};
		}

		return signal.aborted
			? {result: attemptResults.cancelled}
			// After a broken connection it is unknown whether the call was executed.
			: {result: attemptResults.crashed, reason: refusalReasons.backendFailed};
	}

	async #acceptReply(task: RequestTask, attempt: AttemptRecord, reply: BackendAnswer): Promise<AttemptEnd> {
		if (reply.headers['x-request-id'] !== task.requestId || reply.headers['x-attempt-id'] !== attempt.attemptId) {
			reply.body.on('error', () => undefined).destroy();
			// The call may have been executed, but the server has not crashed, so no crash is reported to its owner.
			return {result: attemptResults.cancelled, reason: refusalReasons.streamCorrupt};
		}

		if (reply.statusCode === 503 && reply.headers['x-started'] === 'false') {
			await reply.body.dump();
			attempt.refusedByServer = true;
			return {result: attemptResults.notStarted, reason: refusalReasons.backendRefused};
		}

		const answer = await readAnswer(reply);
		if (answer === undefined) {
			return {result: attemptResults.cancelled, reason: refusalReasons.streamIncomplete};
		}

		this.#answer = answer;
		this.#answeredAt = this.context.services.timer.now();
		attempt.completed = true;
		return {result: attemptResults.completed};
	}

	#sendOutcome(outcome: Outcome): void {
		const {context, exchange} = this;
		if (outcome.kind !== outcomeKinds.completed || this.#answer === undefined) {
			sendRefusal(context, exchange, toRefusal(outcome));
			return;
		}

		const {status, headers, body} = this.#answer;
		if (!exchange.response.destroyed) {
			exchange.response.writeHead(status, {...headers, 'content-length': body.length, 'x-request-id': exchange.requestId});
			exchange.response.end(body);
		}
	}
}

/** Serves `ANY /v1/services/:service/*path`. */
export const handleServiceCall = async (context: CallerContext, exchange: Exchange): Promise<void> => {
	const caller = authenticate(context, exchange);
	if (isRefusal(caller)) {
		exchange.request.resume();
		sendRefusal(context, exchange, caller);
		return;
	}

	const call = await readCall(context, exchange, caller);
	if (isRefusal(call)) {
		refuseBeforeAdmission(context, exchange, caller, {...call, promptTokens: 0});
		return;
	}

	await runRequest(context, exchange, caller, new ServiceRequest(context, exchange, caller, call).createDefinition());
};
