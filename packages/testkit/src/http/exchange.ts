import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import debug from 'debug';
import type {z} from 'zod';

const log = debug('knapweedrack:testkit');

/** Incoming request with the fields that the router adds. */
export type ExchangeRequest = IncomingMessage & {
	path: string;
	params: Record<string, string>;
	query: Record<string, string | string[]>;
};

/** One request and its response. */
export type Exchange = {
	request: ExchangeRequest;
	response: ServerResponse;
};

/** Handles one exchange; the handler sends the answer. */
export type ExchangeHandler = (exchange: Exchange) => Promise<void> | void;

/** Adapts a handler to the router; an unexpected error ends the exchange with status 500. */
export const toRouteHandler = (handler: ExchangeHandler) => (request: unknown, response: unknown): void => {
	const exchange = {request: request as ExchangeRequest, response: response as ServerResponse};
	void runHandler(exchange, handler);
};

const runHandler = async (exchange: Exchange, handler: ExchangeHandler): Promise<void> => {
	try {
		await handler(exchange);
	} catch (error) {
		// Reading the body fails when the caller or a fault closes the connection.
		log('handler of %s failed: %O', exchange.request.url, error);
		if (exchange.response.headersSent) {
			exchange.response.destroy();
		} else {
			sendJson(exchange, 500, {error: 'internal', message: String(error)});
		}
	}
};

/** Sends a JSON answer; does nothing when the response has begun or the connection is closed. */
export const sendJson = ({response}: Exchange, status: number, body: unknown, headers: Record<string, string> = {}): void => {
	if (response.destroyed || response.headersSent) {
		return;
	}

	const bytes = Buffer.from(JSON.stringify(body));
	response.writeHead(status, {...headers, 'content-type': 'application/json', 'content-length': bytes.length});
	response.end(bytes);
};

/** Closes the connection without an answer. */
export const closeConnection = ({request}: Exchange): void => {
	request.socket.destroy();
};

/** Reads the body to its end; undefined when it is longer than the limit in bytes. */
export const readBody = async ({request}: Exchange, limitBytes: number): Promise<Buffer | undefined> => {
	const parts: Buffer[] = [];
	let length = 0;
	for await (const part of request) {
		length += (part as Buffer).length;
		if (length <= limitBytes) {
			parts.push(part as Buffer);
		}
	}

	return length > limitBytes ? undefined : Buffer.concat(parts);
};

/** Parses JSON; undefined when the text is not JSON. */
export const parseJson = (text: string): {value: unknown} | undefined => {
	try {
		return {value: JSON.parse(text) as unknown};
	} catch {
		return undefined;
	}
};

/** Validated body, or the first problem found in it. */
export type ParsedBody<Value> = {ok: true; value: Value} | {ok: false; message: string};

/** Reads a JSON body and validates it with a schema; unknown fields are errors when the schema is strict. */
export const readJsonBody = async <Schema extends z.ZodType>(exchange: Exchange, schema: Schema, limitBytes: number): Promise<ParsedBody<z.infer<Schema>>> => {
	const body = await readBody(exchange, limitBytes);
	if (!body) {
		return {ok: false, message: `the body is longer than ${limitBytes} bytes`};
	}

	const json = parseJson(body.toString('utf8'));
	if (!json) {
		return {ok: false, message: 'the body is not JSON'};
	}

	const parsed = schema.safeParse(json.value);
	if (parsed.success) {
		return {ok: true, value: parsed.data};
	}

	const [issue] = parsed.error.issues;
	return {ok: false, message: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`};
};

/** Finds one query parameter; undefined when it is absent or repeated. */
export const findParameter = ({request}: Exchange, name: string): string | undefined => {
	const value = request.query[name];
	return typeof value === 'string' ? value : undefined;
};

/** Finds one header; undefined when it is absent. */
export const findHeader = ({request}: Exchange, name: string): string | undefined => {
	const value = request.headers[name];
	return typeof value === 'string' ? value : undefined;
};
