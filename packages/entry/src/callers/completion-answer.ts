import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {AnswerSink} from './engine-attempt.js';
import {
	buildChunk, buildUsageChunk, buildWholeAnswer, formatSseData, formatSseError, type AnswerIdentity, type AnswerTotals,
} from './completion-response.js';

/** Collects a whole answer, or sends a streamed answer chunk by chunk. */
export class CompletionAnswer implements AnswerSink {
	readonly isStreamed: boolean;
	totals: AnswerTotals | undefined;
	firstTokenAt: number | undefined;
	#parts: string[] = [];
	#lastText = '';
	#seq = 0;
	#isCorked = false;

	constructor(
		private readonly response: ServerResponse,
		private readonly identity: AnswerIdentity,
		private readonly options: {isStreamed: boolean; hasUsageChunk: boolean; now: () => number},
	) {
		this.isStreamed = options.isStreamed;
	}

	get text(): string {
		return this.#parts.join('');
	}

	reset(): void {
		this.#parts = [];
		this.totals = undefined;
	}

	async write(text: string): Promise<void> {
		this.firstTokenAt ??= this.options.now();
		this.#parts.push(text);
		if (this.options.isStreamed && !this.#writeChunk(text, null)) {
			await this.#waitForDrain();
		}
	}

	cork(): void {
		if (!this.#isCorked && !this.response.destroyed) {
			this.#isCorked = true;
			this.response.cork();
		}
	}

	uncork(): void {
		if (this.#isCorked) {
			this.#isCorked = false;
			this.response.uncork();
		}
	}

	acceptEnd(text: string, totals: AnswerTotals): void {
		this.firstTokenAt ??= this.options.now();
		this.#parts.push(text);
		this.#lastText = text;
		this.totals = totals;
	}

	/** Accepts the stored answer of an earlier request; a stream carries its text in one chunk. */
	acceptStored(text: string, totals: AnswerTotals): void {
		this.reset();
		this.acceptEnd(text, totals);
	}

	/** Sends a whole verified answer, or the last chunks of a streamed one. */
	send(): void {
		const {response, identity, totals, options} = this;
		if (response.destroyed || totals === undefined) {
			return;
		}

		if (!options.isStreamed) {
			const body = JSON.stringify(buildWholeAnswer(identity, this.text, totals));
			response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-request-id': identity.requestId});
			response.end(body);
			return;
		}

		this.cork();
		const chunks = this.#seq + (options.hasUsageChunk ? 2 : 1);
		const summary = {chunks, tokens: totals.completionTokens, checksum: totals.checksum};
		this.#writeChunk(this.#lastText, totals.finishReason, options.hasUsageChunk ? {} : summary);
		if (options.hasUsageChunk) {
			response.write(formatSseData(buildUsageChunk(identity, totals, {seq: this.#seq, ...summary})));
		}

		response.end('data: [DONE]\n\n');
		this.uncork();
	}

	/** Ends a stream that cannot be completed with an error event and without the end marker. */
	sendError(body: unknown): void {
		if (!this.response.destroyed) {
			this.response.end(formatSseError(body));
		}
	}

	#writeChunk(text: string, finishReason: string | null, summary: {chunks?: number; tokens?: number; checksum?: string} = {}): boolean {
		const {response, identity} = this;
		if (!response.headersSent) {
			response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-request-id': identity.requestId});
		}

		const chunk = buildChunk(identity, text, finishReason, {seq: this.#seq, ...summary});
		this.#seq++;
		return response.write(formatSseData(chunk));
	}

	/** Applies backpressure, so that a slow caller slows the engine's stream instead of filling the memory of the entry. */
	async #waitForDrain(): Promise<void> {
		const {response} = this;
		this.uncork();
		if (response.destroyed || !response.writableNeedDrain) {
			return;
		}

		return new Promise(resolve => {
			const handleEnd = () => {
				response.off('drain', handleEnd);
				response.off('close', handleEnd);
				resolve();
			};

			response.once('drain', handleEnd);
			response.once('close', handleEnd);
		});
	}
}
