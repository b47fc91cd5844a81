import {Buffer} from 'node:buffer';
import {
	isLongPrompt, outcomeKinds, refusalReasons, type ClaimOutcome, type Outcome,
} from '@knapweedrack/core';
import {z} from 'zod';
import {parseJsonBody, readBody} from './body-reader.js';
import type {CallerContext} from './caller-context.js';
import {hashRequest} from './claim-session.js';
import {CompletionAnswer} from './completion-answer.js';
import {parseCompletionRequest, type CompletionKind, type CompletionRequest} from './completion-request.js';
import {hashFingerprint, hashPrefixBlocks} from './content-hash.js';
import {EngineAttempt} from './engine-attempt.js';
import {
	authenticate, buildRefusalBody, isRefusal, sendRefusal, toRefusal, type AuthenticatedCaller, type Exchange,
} from './exchange.js';
import {createRefusal, type Refusal} from './refusal.js';
import {refusalMessages} from './refusal-messages.js';
import {refuseBeforeAdmission, runRequest, type RequestDefinition} from './request-flow.js';
import type {RequestTask} from './request-task.js';
import type {
	AttemptEnd, GroupPrompt, PermittedAttempt, RequestWork,
} from './request-work.js';

/** Longest time in ms that a body may take to arrive. */
export const bodyTimeoutMs = 30_000;
const bodyOverheadBytes = 262_144;
/** Four bytes per token, doubled because JSON escapes at most double the bytes of usual text. */
const bodyBytesPerToken = 8;
const storedAnswerLimitBytes = 500_000;

const storedAnswerSchema = z.object({
	text: z.string(),
	totals: z.object({
		promptTokens: z.number(), completionTokens: z.number(), checksum: z.string(), finishReason: z.string(),
	}),
});

const checkModel = ({view, plan}: AuthenticatedCaller, request: CompletionRequest): Refusal | undefined => {
	if (!view.configuration.plans.some(each => each.models.includes(request.model))) {
		return createRefusal(refusalReasons.unknownModel, `the model "${request.model}" does not exist`, {param: 'model'});
	}

	if (!plan.models.includes(request.model)) {
		return createRefusal(refusalReasons.modelNotInPlan, refusalMessages.model_not_in_plan, {param: 'model'});
	}

	return request.promptTokens > plan.longestPromptTokens
		? createRefusal(refusalReasons.promptTooLong, `the prompt has about ${request.promptTokens} tokens; the plan permits ${plan.longestPromptTokens}`)
		: undefined;
};

const readCompletion = async (context: CallerContext, {request}: Exchange, caller: AuthenticatedCaller, kind: CompletionKind): Promise<CompletionRequest | Refusal> => {
	const body = await readBody(request, {
		limitBytes: (caller.plan.longestPromptTokens * bodyBytesPerToken) + bodyOverheadBytes, timeoutMs: bodyTimeoutMs, closingSignal: context.closingSignal,
	}, context.services.timer);
	const json = body.ok ? parseJsonBody(body.value) : body;
	const parsed = json.ok ? parseCompletionRequest(kind, json.value) : json;
	if (!parsed.ok) {
		return parsed.error;
	}

	return checkModel(caller, parsed.value) ?? parsed.value;
};

/** One completion: its work on engines, its claim and its answer. */
class Completion {
	readonly #answer: CompletionAnswer;
	readonly #fingerprint: string;
	readonly #blocks: string[];

	constructor(
		private readonly context: CallerContext,
		private readonly exchange: Exchange,
		private readonly caller: AuthenticatedCaller,
		private readonly request: CompletionRequest,
	) {
		const {timer} = context.services;
		this.#fingerprint = hashFingerprint(request.model, request.prompt);
		this.#blocks = hashPrefixBlocks(request.prompt);
		this.#answer = new CompletionAnswer(exchange.response, {
			kind: request.kind, requestId: exchange.requestId, model: request.model, createdAt: Math.floor(Date.now() / 1000),
		}, {isStreamed: request.isStreamed, hasUsageChunk: request.hasUsageChunk, now: timer.now});
	}

	createDefinition(): RequestDefinition {
		const {request} = this;
		return {
			promptTokens: request.promptTokens,
			costTokens: request.promptTokens + request.maxTokens,
			isIdempotent: true,
			claim: this.#createClaim(),
			createWork: task => this.#createWork(task),
			sendOutcome: outcome => {
				this.#sendOutcome(outcome);
			},
			countUsedTokens: outcome => this.#countUsedTokens(outcome),
			getFirstTokenAt: () => this.#answer.firstTokenAt,
		};
	}

	#createClaim(): RequestDefinition['claim'] {
		const {caller, exchange, request} = this;
		const {idempotencyKey} = caller.headers;
		if (idempotencyKey === undefined) {
			return undefined;
		}

		return {
			subject: {
				workspaceId: caller.workspace.id,
				idempotencyKey,
				bodyDigest: hashRequest('POST', exchange.request.url ?? '', request.model, String(request.maxTokens), request.prompt),
			},
			acceptStoredOutcome: outcome => this.#acceptStoredOutcome(outcome),
			describe: outcome => this.#describeClaim(outcome),
		};
	}

	#acceptStoredOutcome(outcome: ClaimOutcome): Outcome {
		const stored = storedAnswerSchema.safeParse(JSON.parse(outcome.body ?? 'null'));
		if (!stored.success) {
			return {kind: outcomeKinds.unknown, reason: refusalReasons.claimOutcomeUnknown};
		}

		this.#answer.acceptStored(stored.data.text, stored.data.totals);
		return {kind: outcomeKinds.completed};
	}

	/** Describes the outcome to store. A completion without a stored answer may run again, because a second run has no further effect. */
	#describeClaim(outcome: Outcome): ClaimOutcome {
		const {totals, text} = this.#answer;
		if (outcome.kind !== outcomeKinds.completed || totals === undefined || Buffer.byteLength(text) > storedAnswerLimitBytes) {
			return {kind: outcomeKinds.notRun, reason: outcome.reason};
		}

		return {
			kind: outcomeKinds.completed, status: 200, contentType: 'application/json', body: JSON.stringify({text, totals}),
		};
	}

	#createWork(task: RequestTask): RequestWork {
		const {context, request} = this;
		if (isLongPrompt(request.promptTokens)) {
			const entries = Math.max(1, context.services.membership.listEntries(undefined, undefined).entries.length);
			// Every entry receives about the same share of the long prompts, so the total of the fleet is estimated as the tokens
			// of this entry times the number of entries.
			context.longPromptPool.recordOffered(request.promptTokens * entries, context.services.timer.now());
		}

		return {
			serves: request.model,
			isIdempotent: true,
			fingerprint: this.#fingerprint,
			prompt: request.prompt,
			cost: {
				promptTokens: request.promptTokens,
				decodeTokens: context.estimateDecodeTokens(request.model, request.maxTokens),
				maxTokens: request.maxTokens,
				blocks: this.#blocks,
			},
			run: async permitted => this.#runAttempt(task, permitted, undefined),
			runOnGroup: async (permitted, group) => this.#runAttempt(task, permitted, group),
		};
	}

	async #runAttempt(task: RequestTask, permitted: PermittedAttempt, group: GroupPrompt | undefined): Promise<AttemptEnd> {
		const {context, request} = this;
		const {permit, server} = permitted;
		const cachedBlocks = context.prefixIndex.countMatching(server.id, this.#blocks, context.services.timer.now());
		const attempt = new EngineAttempt(context, task, permitted, {
			sink: this.#answer,
			fingerprint: this.#fingerprint,
			prefillTokens: group === undefined && cachedBlocks === 0 ? request.promptTokens : 0,
			request: {
				requestId: task.requestId,
				attemptId: permit.attemptId,
				model: request.model,
				prompt: group?.prompt ?? request.prompt,
				maxTokens: request.maxTokens,
				priority: permit.enginePriority,
				deadlineInMs: Math.max(1, task.remainingMs),
				bootId: permit.bootId === '' ? undefined : permit.bootId,
				fencingNumber: context.services.permits.getFencingNumber(permit),
				segments: group?.segments,
			},
		});
		const end = await attempt.run();
		if (end.firstTokenMs !== undefined && group === undefined) {
			context.prefixIndex.recordStored(server.id, permit.bootId, this.#blocks, context.services.timer.now());
		}

		return end;
	}

	#sendOutcome(outcome: Outcome): void {
		const {context, exchange, request} = this;
		if (outcome.kind === outcomeKinds.completed) {
			context.recordDecodeTokens(request.model, this.#answer.totals?.completionTokens ?? 1);
			this.#answer.send();
			return;
		}

		const refusal = toRefusal(outcome);
		if (exchange.response.headersSent) {
			context.services.metrics.countRefusal(refusal.reason);
			this.#answer.sendError(buildRefusalBody(context, exchange, refusal));
			return;
		}

		sendRefusal(context, exchange, refusal);
	}

	#countUsedTokens(outcome: Outcome): number {
		if (outcome.kind === outcomeKinds.notRun) {
			return 0;
		}

		const {totals} = this.#answer;
		return totals === undefined ? this.request.promptTokens : totals.promptTokens + totals.completionTokens;
	}
}

/** Serves `POST /v1/chat/completions` and `POST /v1/completions`. */
export const handleCompletion = async (context: CallerContext, exchange: Exchange, kind: CompletionKind): Promise<void> => {
	const caller = authenticate(context, exchange);
	if (isRefusal(caller)) {
		exchange.request.resume();
		sendRefusal(context, exchange, caller);
		return;
	}

	const request = await readCompletion(context, exchange, caller, kind);
	if (isRefusal(request)) {
		refuseBeforeAdmission(context, exchange, caller, {...request, promptTokens: 0});
		return;
	}

	await runRequest(context, exchange, caller, new Completion(context, exchange, caller, request).createDefinition());
};
