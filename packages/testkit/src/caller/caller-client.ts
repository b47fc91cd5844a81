import {performance} from 'node:perf_hooks';
import {Agent, request as sendRequest, type Dispatcher} from 'undici';
import {z} from 'zod';
import {readEventStream} from './event-stream.js';

/** Credential of a workspace and the entries to contact first. */
export type CallerOptions = {
	/** `host:port` of the entries that are tried when no fetched list of entries is valid. */
	entries: readonly string[];
	credential: string;
	/** Sends everything to the first of `entries` instead of fetching the list of entries for each model. */
	isPinned?: boolean | undefined;
};

/** One streamed chat completion; without `deadlineMs` the deadline of the workspace's plan applies. */
export type CompletionCall = {
	model: string;
	prompt: string;
	maxTokens: number;
	deadlineMs?: number | undefined;
	requestId?: string | undefined;
};

/** Outcome of one call as the caller observed it. Times are in ms since the request was sent. */
export type CallResult = {
	/** `completed`, or the outcome of a refusal or failure; `unknown` when the connection was lost. */
	outcome: string;
	reason?: string | undefined;
	retryAfterMs?: number | undefined;
	status?: number | undefined;
	text: string;
	firstTokenMs?: number | undefined;
	durationMs: number;
	entry: string;
};

/** One call of a service that is not a language model. */
export type ServiceCall = {
	method: Dispatcher.HttpMethod;
	/** Service name and path, such as `work-orders/releases`. */
	path: string;
	body?: string | undefined;
	idempotencyKey?: string | undefined;
};

const refusalSchema = z.object({
	error: z.looseObject({
		outcome: z.string().optional(), reason: z.string().optional(), retryAfterMs: z.number().optional(),
	}),
});
const entriesSchema = z.object({
	entries: z.array(z.object({address: z.string(), failureDomain: z.string()})),
	keepMs: z.number(),
});
const chunkSchema = z.looseObject({
	choices: z.array(z.looseObject({delta: z.looseObject({content: z.string().nullish()}).optional()})).optional(),
	error: z.unknown().optional(),
});

type FetchedEntries = {addresses: string[]; expiresAt: number};

/** Caller that fetches from an entry the list of entries to use for a model and keeps the list for the time that the answer states. */
export class CallerClient {
	readonly #agent = new Agent({pipelining: 0, headersTimeout: 0, bodyTimeout: 0});
	readonly #entriesByModel = new Map<string, FetchedEntries>();

	constructor(private readonly options: CallerOptions) {}

	/** Addresses for a model in order of preference; when an entry does not answer, the next one is tried. */
	async findEntries(model: string): Promise<string[]> {
		if (this.options.isPinned) {
			return [...this.options.entries];
		}

		const known = this.#entriesByModel.get(model);
		if (known !== undefined && known.expiresAt > performance.now()) {
			return known.addresses;
		}

		for (const address of [...known?.addresses ?? [], ...this.options.entries]) {
			const fetched = await this.#tryFetchEntries(address, model);
			if (fetched !== undefined && fetched.addresses.length > 0) {
				this.#entriesByModel.set(model, fetched);
				return fetched.addresses;
			}
		}

		return [...this.options.entries];
	}

	/** Sends a streamed chat completion and reads the answer to its end. */
	async sendCompletion(call: CompletionCall): Promise<CallResult> {
		const [entry] = await this.findEntries(call.model);
		const sentAt = performance.now();
		try {
			const response = await sendRequest(`http://${entry!}/v1/chat/completions`, {
				method: 'POST',
				dispatcher: this.#agent,
				headers: this.#createHeaders({
					'x-request-deadline-ms': call.deadlineMs?.toString(), 'x-request-id': call.requestId,
				}),
				body: JSON.stringify({
					// eslint-disable-next-line @typescript-eslint/naming-convention -- field of the completions protocol
					model: call.model, stream: true, max_tokens: call.maxTokens, messages: [{role: 'user', content: call.prompt}],
				}),
			});
			if (response.statusCode !== 200) {
				return {...await readRefusal(response), durationMs: performance.now() - sentAt, entry: entry!};
			}

			return {...await readAnswer(response, sentAt), durationMs: performance.now() - sentAt, entry: entry!};
		} catch (error) {
			this.#entriesByModel.delete(call.model);
			return {
				outcome: 'unknown', reason: (error as Error).message, text: '', durationMs: performance.now() - sentAt, entry: entry!,
			};
		}
	}

	/** Calls a plain service; the entries are fetched with an empty model name, because such a call has no model. */
	async sendServiceCall(call: ServiceCall): Promise<CallResult> {
		const [entry] = await this.findEntries('');
		const sentAt = performance.now();
		try {
			const response = await sendRequest(`http://${entry!}/v1/services/${call.path}`, {
				method: call.method,
				dispatcher: this.#agent,
				headers: this.#createHeaders({'idempotency-key': call.idempotencyKey}),
				body: call.body,
			});
			if (response.statusCode >= 400) {
				return {...await readRefusal(response), durationMs: performance.now() - sentAt, entry: entry!};
			}

			return {
				outcome: 'completed', status: response.statusCode, text: await response.body.text(), durationMs: performance.now() - sentAt, entry: entry!,
			};
		} catch (error) {
			return {
				outcome: 'unknown', reason: (error as Error).message, text: '', durationMs: performance.now() - sentAt, entry: entry!,
			};
		}
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #tryFetchEntries(address: string, model: string): Promise<FetchedEntries | undefined> {
		try {
			const response = await sendRequest(`http://${address}/v1/entries?model=${encodeURIComponent(model)}`, {
				dispatcher: this.#agent, headers: this.#createHeaders({}),
			});
			const answer = entriesSchema.parse(await response.body.json());
			return {
				addresses: answer.entries.map(each => each.address), expiresAt: performance.now() + answer.keepMs,
			};
		} catch {
			return undefined;
		}
	}

	#createHeaders(extra: Record<string, string | undefined>): Record<string, string> {
		const headers: Record<string, string> = {
			authorization: `Bearer ${this.options.credential}`, 'content-type': 'application/json',
		};
		for (const [name, value] of Object.entries(extra)) {
			if (value !== undefined) {
				headers[name] = value;
			}
		}

		return headers;
	}
}

const readRefusal = async (response: Dispatcher.ResponseData): Promise<Omit<CallResult, 'durationMs' | 'entry'>> => {
	const text = await response.body.text();
	const parsed = refusalSchema.safeParse(parseJson(text));
	const fields = parsed.success ? parsed.data.error : {};
	return {
		outcome: fields.outcome ?? 'unknown', reason: fields.reason, retryAfterMs: fields.retryAfterMs, status: response.statusCode, text,
	};
};

const readAnswer = async (response: Dispatcher.ResponseData, sentAt: number): Promise<Omit<CallResult, 'durationMs' | 'entry'>> => {
	let text = '';
	let firstTokenMs: number | undefined;
	for await (const data of readEventStream(response.body)) {
		if (data === '[DONE]') {
			return {
				outcome: 'completed', status: 200, text, firstTokenMs,
			};
		}

		const json = parseJson(data);
		const failure = refusalSchema.safeParse(json);
		if (failure.success) {
			const {outcome, reason, retryAfterMs} = failure.data.error;
			return {
				outcome: outcome ?? 'unknown', reason, retryAfterMs, status: 200, text, firstTokenMs,
			};
		}

		const content = chunkSchema.parse(json).choices?.[0]?.delta?.content ?? '';
		if (content !== '') {
			firstTokenMs ??= performance.now() - sentAt;
			text += content;
		}
	}

	return {
		outcome: 'unknown', reason: 'the answer stream ended without [DONE]', status: 200, text, firstTokenMs,
	};
};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
