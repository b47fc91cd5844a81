import {
	attemptResults, FrameValidator, refusalReasons, type AttemptRecord, type BackendServerDescription, type Frame, type RefusalReason,
} from '@knapweedrack/core';
import {
	engineChunkSchema, type EngineChunk, type EngineError, type GenerateRequest,
} from '@knapweedrack/protocol';
import {isConnectFailure, type BackendAnswer} from './backend-connections.js';
import type {CallerContext} from './caller-context.js';
import type {AnswerTotals} from './completion-response.js';
import {createTextHash} from './content-hash.js';
import type {RequestTask} from './request-task.js';
import type {AttemptEnd, PermittedAttempt} from './request-work.js';
import {SseReader} from './sse-reader.js';

/** Receives the verified answer of an attempt. */
export type AnswerSink = {
	/** Discards the text of an earlier attempt; called only while nothing has been sent to the caller. */
	reset: () => void;
	/** Accepts verified text; resolves when the sink can accept more. */
	write: (text: string) => Promise<void> | void;
	/** True when written text is sent to the caller at once. */
	isStreamed: boolean;
	/** Buffers output until `uncork`, so that frames that arrive together are sent together. */
	cork: () => void;
	uncork: () => void;
	/** Accepts the last text and the totals of the complete answer. */
	acceptEnd: (text: string, totals: AnswerTotals) => void;
};

/** Request of one generation and the sink for its answer. */
export type Generation = {
	request: GenerateRequest;
	sink: AnswerSink;
	fingerprint: string;
	/** Tokens to prefill, for the estimate of the prefill rate; 0 when the time to first token does not show that rate. */
	prefillTokens: number;
};

const maxCancelAttempts = 3;
const cancelRetryMs = 500;
/** Maximum number of bytes after the last frame (usually the end marker) that are discarded so that the connection can be reused. */
const discardLimitBytes = 16_384;

type StreamEnd =
	| {type: 'complete'}
	| {type: 'corrupt'; reason: RefusalReason}
	/** The connection ended or failed before the last frame. */
	| {type: 'broken'}
	/** The request ended before the stream. */
	| {type: 'stopped'};

/** Runs one generation on one engine and passes the text of verified frames to the sink. */
export class EngineAttempt {
	readonly #validator: FrameValidator;
	readonly #reader = new SseReader();
	readonly #attempt: AttemptRecord;
	readonly #server: BackendServerDescription;
	#sentAt = 0;
	#firstTokenMs: number | undefined;
	#finishReason = 'stop';

	constructor(
		private readonly context: CallerContext,
		private readonly task: RequestTask,
		private readonly permitted: PermittedAttempt,
		private readonly generation: Generation,
	) {
		this.#attempt = permitted.attempt;
		this.#server = permitted.server;
		this.#validator = new FrameValidator(task.requestId, this.#attempt.attemptId, createTextHash());
	}

	async run(): Promise<AttemptEnd> {
		const {context, generation} = this;
		context.addRunningFingerprint(this.#server.id, generation.fingerprint);
		try {
			const end = await this.#run();
			return {...end, firstTokenMs: this.#firstTokenMs};
		} finally {
			context.removeRunningFingerprint(this.#server.id, generation.fingerprint);
		}
	}

	async #run(): Promise<AttemptEnd> {
		const {context, task, generation} = this;
		generation.sink.reset();
		this.#sentAt = context.services.timer.now();
		// Bytes may have been sent until an error shows that no connection was opened.
		this.#attempt.sentBytes = true;
		let reply: Awaited<ReturnType<CallerContext['engines']['sendGenerate']>>;
		try {
			reply = await context.engines.sendGenerate(this.#server.address, generation.request, task.signal);
		} catch (error) {
			return this.#handleSendFailure(error);
		}

		if (reply.type === 'refused') {
			return this.#handleRefusal(reply.error);
		}

		return this.#handleStreamEnd(await this.#readStream(reply.answer));
	}

	async #handleSendFailure(error: unknown): Promise<AttemptEnd> {
		if (isConnectFailure(error)) {
			this.#attempt.sentBytes = false;
			return {result: attemptResults.notStarted, reason: refusalReasons.backendFailed};
		}

		return this.#handleStreamEnd(this.task.signal.aborted ? {type: 'stopped'} : {type: 'broken'});
	}

	#handleRefusal(error: EngineError | undefined): AttemptEnd {
		if (error?.started === false) {
			this.#attempt.refusedByServer = true;
			return {result: attemptResults.notStarted, reason: refusalReasons.backendRefused, retryAfterMs: error.retryAfterMs};
		}

		this.#cancelOnEngine();
		return {result: attemptResults.failed, reason: refusalReasons.backendFailed};
	}

	async #readStream({body}: BackendAnswer): Promise<StreamEnd> {
		// Destroying the body can emit an error event, which would end the process without a listener.
		body.on('error', () => undefined);
		try {
			// The body is not destroyed on return, so that its connection can be reused.
			for await (const bytes of body.iterator({destroyOnReturn: false})) {
				const end = await this.#acceptBytes(bytes as Uint8Array);
				if (end?.type === 'complete') {
					this.context.runInBackground(async () => body.dump({limit: discardLimitBytes}));
					return end;
				}

				if (end !== undefined) {
					body.destroy();
					return end;
				}
			}
		} catch (error) {
			if (this.task.signal.aborted) {
				return {type: 'stopped'};
			}

			return error instanceof TypeError || error instanceof RangeError || error instanceof SyntaxError
				? {type: 'corrupt', reason: refusalReasons.streamCorrupt}
				: {type: 'broken'};
		}

		return this.task.signal.aborted ? {type: 'stopped'} : {type: 'broken'};
	}

	async #acceptBytes(bytes: Uint8Array): Promise<StreamEnd | undefined> {
		const {sink} = this.generation;
		sink.cork();
		try {
			for (const data of this.#reader.accept(bytes)) {
				const end = await this.#acceptEvent(data);
				if (end !== undefined) {
					return end;
				}
			}
		} finally {
			sink.uncork();
		}

		return undefined;
	}

	async #acceptEvent(data: string): Promise<StreamEnd | undefined> {
		if (this.task.isFinal) {
			return {type: 'stopped'};
		}

		// The end marker before the last frame means that the answer is incomplete.
		if (data === '[DONE]') {
			return {type: 'broken'};
		}

		const parsed = engineChunkSchema.safeParse(JSON.parse(data));
		return parsed.success ? this.#acceptChunk(parsed.data) : {type: 'corrupt', reason: refusalReasons.streamCorrupt};
	}

	async #acceptChunk(chunk: EngineChunk): Promise<StreamEnd | undefined> {
		const frame: Frame = {...chunk.knapweedrack, text: chunk.text};
		const decision = this.#validator.accept(frame);
		if (decision.type === 'discard') {
			this.context.services.metrics.count('stream.frame_discarded');
			return undefined;
		}

		if (decision.type === 'corrupt') {
			return {type: 'corrupt', reason: refusalReasons.streamCorrupt};
		}

		this.#recordFirstToken();
		this.#finishReason = chunk.finishReason ?? this.#finishReason;
		if (decision.type === 'next') {
			await this.#passText(decision.text);
			return undefined;
		}

		this.#attempt.completed = true;
		this.generation.sink.acceptEnd(decision.text, {
			promptTokens: decision.promptTokens, completionTokens: decision.completionTokens, checksum: decision.checksum, finishReason: this.#finishReason,
		});
		return {type: 'complete'};
	}

	async #passText(text: string): Promise<void> {
		const {sink} = this.generation;
		if (sink.isStreamed) {
			this.#attempt.passedOn = true;
		}

		await sink.write(text);
	}

	#recordFirstToken(): void {
		if (this.#firstTokenMs !== undefined) {
			return;
		}

		const {context, task, permitted, generation} = this;
		this.#firstTokenMs = context.services.timer.now() - this.#sentAt;
		context.services.permits.recordFirstToken(permitted.permit);
		context.recordPrefill(generation.prefillTokens, this.#firstTokenMs);
		if (generation.sink.isStreamed) {
			task.apply({type: 'firstFrame', attempt: this.#attempt});
		}
	}

	async #handleStreamEnd(end: StreamEnd): Promise<AttemptEnd> {
		if (end.type === 'complete') {
			return {result: attemptResults.completed};
		}

		this.#cancelOnEngine();
		if (end.type === 'stopped') {
			return {result: attemptResults.cancelled};
		}

		if (end.type === 'corrupt') {
			return {result: attemptResults.failed, reason: end.reason};
		}

		const hasCrashed = await this.#checkCrash();
		return {
			result: hasCrashed ? attemptResults.crashed : attemptResults.failed,
			reason: this.#attempt.passedOn || this.#firstTokenMs !== undefined ? refusalReasons.streamIncomplete : refusalReasons.backendFailed,
		};
	}

	/** Reports a crash to the quarantine when the engine does not answer or has restarted since the permit was granted; resolves with true for a crash. */
	async #checkCrash(): Promise<boolean> {
		const {context, permitted, generation} = this;
		const runningFingerprints = context.listRunningFingerprints(this.#server.id);
		const report = await context.engines.fetchStatus(this.#server.address);
		if (report?.bootId === permitted.permit.bootId) {
			return false;
		}

		await context.services.quarantine.report({
			fingerprint: generation.fingerprint,
			attemptId: this.#attempt.attemptId,
			serverId: this.#server.id,
			bootId: permitted.permit.bootId || undefined,
			result: 'crashed',
			runningFingerprints,
		});
		return true;
	}

	#cancelOnEngine(): void {
		this.context.runInBackground(async () => cancelOnEngine(this.context, this.#server.address, this.task.requestId));
	}
}

/** Cancels a request on an engine in up to `maxCancelAttempts` calls, because the engine holds KV memory as long as it keeps the request. */
export const cancelOnEngine = async (context: CallerContext, address: string, requestId: string): Promise<void> => {
	for (let attempt = 1; attempt <= maxCancelAttempts; attempt++) {
		try {
			const reply = await context.engines.cancel(address, requestId);
			if (reply.type === 'ok') {
				return;
			}
		} catch (error) {
			// An engine that accepts no connection has ended and holds no memory.
			if (isConnectFailure(error)) {
				return;
			}
		}

		await context.waitFor(cancelRetryMs);
	}
};
