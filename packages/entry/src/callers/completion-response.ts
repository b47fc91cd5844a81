/* eslint-disable @typescript-eslint/naming-convention -- the names are those of the completions protocol */
import type {CompletionKind} from './completion-request.js';

/** Facts common to all chunks of one answer. */
export type AnswerIdentity = {
	kind: CompletionKind;
	requestId: string;
	model: string;
	/** Unix time in seconds. */
	createdAt: number;
};

/** Verified totals of an answer. */
export type AnswerTotals = {
	promptTokens: number;
	completionTokens: number;
	/** Xxhash64 in hex over the text. */
	checksum: string;
	finishReason: string;
};

/** Extension field of a chunk sent to a caller. */
export type ChunkExtension = {seq: number; chunks?: number; tokens?: number; checksum?: string};

const objects = {
	chat: {whole: 'chat.completion', chunk: 'chat.completion.chunk', prefix: 'chatcmpl-'},
	text: {whole: 'text_completion', chunk: 'text_completion', prefix: 'cmpl-'},
} as const;

const buildUsage = ({promptTokens, completionTokens}: AnswerTotals) => ({
	prompt_tokens: promptTokens,
	completion_tokens: completionTokens,
	total_tokens: promptTokens + completionTokens,
});

const buildChunkChoice = (kind: CompletionKind, text: string, finishReason: string | null, isFirst: boolean) => kind === 'chat'
	? {
		index: 0, delta: isFirst ? {role: 'assistant', content: text} : {content: text}, logprobs: null, finish_reason: finishReason,
	}
	: {
		index: 0, text, logprobs: null, finish_reason: finishReason,
	};

const buildEnvelope = ({kind, requestId, model, createdAt}: AnswerIdentity) => ({
	id: `${objects[kind].prefix}${requestId}`, object: objects[kind].chunk, created: createdAt, model,
});

/** Builds the chunk of one piece of text; `finishReason` is set in the last one with text. */
export const buildChunk = (identity: AnswerIdentity, text: string, finishReason: string | null, extension: ChunkExtension) => ({
	...buildEnvelope(identity),
	choices: [buildChunkChoice(identity.kind, text, finishReason, extension.seq === 0)],
	knapweedrack: extension,
});

/** Builds the usage chunk that ends a stream when the caller requested it. */
export const buildUsageChunk = (identity: AnswerIdentity, totals: AnswerTotals, extension: ChunkExtension) => ({
	...buildEnvelope(identity), choices: [], usage: buildUsage(totals), knapweedrack: extension,
});

/** Builds a whole answer. */
export const buildWholeAnswer = (identity: AnswerIdentity, text: string, totals: AnswerTotals) => ({
	...buildEnvelope(identity),
	object: objects[identity.kind].whole,
	choices: [identity.kind === 'chat'
		? {
			index: 0, message: {role: 'assistant', content: text, refusal: null}, logprobs: null, finish_reason: totals.finishReason,
		}
		: {
			index: 0, text, logprobs: null, finish_reason: totals.finishReason,
		}],
	usage: buildUsage(totals),
	knapweedrack: {
		seq: 0, chunks: 1, tokens: totals.completionTokens, checksum: totals.checksum,
	},
});

/** Formats one SSE event. */
export const formatSseData = (value: unknown) => `data: ${JSON.stringify(value)}\n\n`;

/** Formats the SSE event that ends a failed stream. */
export const formatSseError = (value: unknown) => `event: error\ndata: ${JSON.stringify(value)}\n\n`;
