/* eslint-disable @typescript-eslint/naming-convention -- the names are those of the completions protocol */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {
	createError, createOk, refusalReasons, type Result,
} from '@knapweedrack/core';
import {createRefusal, type Refusal} from './refusal.js';

/** Forms of the completions protocol. */
export type CompletionKind = 'chat' | 'text';

/** A completion request after validation. */
export type CompletionRequest = {
	kind: CompletionKind;
	model: string;
	/** Prompt as sent to engines. */
	prompt: string;
	/** Prompt length in tokens: UTF-8 bytes / 4, rounded up. */
	promptTokens: number;
	maxTokens: number;
	isStreamed: boolean;
	/** True when a streamed answer ends with a usage chunk. */
	hasUsageChunk: boolean;
};

/** Limit of generated tokens when the request sets none. */
export const defaultMaxTokens = 512;
const maxTokensLimit = 131_072;

const tokenLimit = z.number().int().min(1).max(maxTokensLimit).nullish();
// Engines support no sampling parameters. Values that equal the usual defaults are accepted. Other values are refused
// rather than ignored, because the answer would not be what the caller requested.
const acceptOnly = (...values: unknown[]) => z.unknown().optional().refine(
	value => value === undefined || value === null || values.includes(value),
	`is not supported${values.length > 0 ? ` except as ${values.join(' or ')}` : ''}`,
);

const commonShape = {
	model: z.string().min(1).max(200),
	max_tokens: tokenLimit,
	stream: z.boolean().nullish(),
	stream_options: z.strictObject({include_usage: z.boolean().optional(), include_obfuscation: z.literal(false).optional()}).nullish(),
	n: acceptOnly(1),
	temperature: acceptOnly(1),
	top_p: acceptOnly(1),
	presence_penalty: acceptOnly(0),
	frequency_penalty: acceptOnly(0),
	logprobs: acceptOnly(false),
	user: z.string().max(1000).nullish(),
	metadata: z.record(z.string(), z.string()).nullish(),
};

const textPart = z.strictObject({type: z.literal('text'), text: z.string()});
const messageSchema = z.strictObject({
	role: z.enum(['system', 'developer', 'user', 'assistant']),
	content: z.union([z.string(), z.array(textPart).min(1)]),
	name: z.string().max(200).optional(),
});

const chatSchema = z.strictObject({
	...commonShape,
	messages: z.array(messageSchema).min(1),
	max_completion_tokens: tokenLimit,
	store: acceptOnly(false),
});

const textSchema = z.strictObject({
	...commonShape,
	prompt: z.union([z.string(), z.array(z.string()).length(1)]),
	best_of: acceptOnly(1),
	echo: acceptOnly(false),
});

type Message = z.infer<typeof messageSchema>;

const renderContent = ({content}: Message) => typeof content === 'string' ? content : content.map(part => part.text).join('');

/** Renders messages as one prompt; equal message prefixes give equal prompt prefixes, which engines cache. */
const renderMessages = (messages: readonly Message[]) => `${messages.map(message => `<|${message.role}|>\n${renderContent(message)}\n`).join('')}<|assistant|>\n`;

/** Estimates tokens as UTF-8 bytes / 4, rounded up. */
export const estimateTokens = (text: string) => Math.ceil(Buffer.byteLength(text) / 4);

const refuse = (error: z.ZodError) => {
	const issue = error.issues[0]!;
	const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
	const param = [...issue.path, ...(unknownKey === undefined ? [] : [unknownKey])].join('.');
	const message = unknownKey === undefined ? `${param === '' ? 'body' : param}: ${issue.message}` : `${param} is not supported`;
	return createError(createRefusal(refusalReasons.badRequest, message, {param: param === '' ? undefined : param}));
};

const buildRequest = (kind: CompletionKind, prompt: string, common: z.infer<typeof chatSchema> | z.infer<typeof textSchema>): CompletionRequest => ({
	kind,
	model: common.model,
	prompt,
	promptTokens: Math.max(1, estimateTokens(prompt)),
	maxTokens: ('max_completion_tokens' in common ? common.max_completion_tokens : undefined) ?? common.max_tokens ?? defaultMaxTokens,
	isStreamed: common.stream ?? false,
	hasUsageChunk: common.stream_options?.include_usage ?? false,
});

/** Validates a body of `POST /v1/chat/completions` or `POST /v1/completions`. */
export const parseCompletionRequest = (kind: CompletionKind, body: unknown): Result<CompletionRequest, Refusal> => {
	if (kind === 'chat') {
		const parsed = chatSchema.safeParse(body);
		return parsed.success ? createOk(buildRequest(kind, renderMessages(parsed.data.messages), parsed.data)) : refuse(parsed.error);
	}

	const parsed = textSchema.safeParse(body);
	if (!parsed.success) {
		return refuse(parsed.error);
	}

	const {prompt} = parsed.data;
	return createOk(buildRequest(kind, typeof prompt === 'string' ? prompt : prompt[0]!, parsed.data));
};
