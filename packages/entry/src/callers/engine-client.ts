import {Buffer} from 'node:buffer';
import type {EngineReport} from '@knapweedrack/core';
import {
	engineErrorSchema, engineReportSchema,
	type EngineError, type GenerateRequest, type ReservationRequest, type SegmentRequest,
} from '@knapweedrack/protocol';
import type {BackendAnswer, BackendConnections} from './backend-connections.js';

const adminTimeoutMs = 2000;
/** Maximum number of bytes that are read of the body of a failure. */
const errorLimitBytes = 65_536;

/** Answer of an engine to a call other than a stream. */
export type EngineReply = {type: 'ok'} | {type: 'refused'; status: number; error: EngineError | undefined};

/** Reads a body as JSON; throws for a body over the limit, whose connection is closed. */
const readJson = async ({body}: BackendAnswer, limitBytes: number): Promise<unknown> => {
	// Destroying the body can emit an error event, which would end the process without a listener.
	body.on('error', () => undefined);
	const parts: Uint8Array[] = [];
	let length = 0;
	for await (const part of body) {
		parts.push(part as Uint8Array);
		length += (part as Uint8Array).length;
		if (length > limitBytes) {
			throw new RangeError(`the body is longer than ${limitBytes} bytes`);
		}
	}

	return JSON.parse(Buffer.concat(parts).toString('utf8'));
};

const readError = async (answer: BackendAnswer): Promise<EngineError | undefined> => {
	try {
		const parsed = engineErrorSchema.safeParse(await readJson(answer, errorLimitBytes));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
};

/** Calls of the engine protocol. */
export class EngineClient {
	constructor(private readonly connections: BackendConnections) {}

	/** Starts a generation; the body of an accepted one is an event stream. */
	async sendGenerate(address: string, request: GenerateRequest, signal: AbortSignal): Promise<{type: 'stream'; answer: BackendAnswer} | Extract<EngineReply, {type: 'refused'}>> {
		const answer = await this.#send(address, 'POST', '/v1/generate', {body: request, signal});
		if (answer.statusCode === 200) {
			return {type: 'stream', answer};
		}

		return {type: 'refused', status: answer.statusCode, error: await readError(answer)};
	}

	/** Prefills one segment of a prompt under a reservation. */
	async sendSegment(address: string, request: SegmentRequest, signal: AbortSignal): Promise<EngineReply> {
		return this.#sendForReply(address, 'POST', '/admin/v1/segments', {body: request, signal});
	}

	/** Reserves KV memory; a second call for the same request replaces the first. */
	async reserve(address: string, request: ReservationRequest): Promise<EngineReply> {
		return this.#sendForReply(address, 'POST', '/admin/v1/reservations', {body: request, signal: AbortSignal.timeout(adminTimeoutMs)});
	}

	/** Frees the reservation, segments and imports of a request. */
	async release(address: string, requestId: string): Promise<EngineReply> {
		return this.#sendForReply(address, 'DELETE', `/admin/v1/reservations/${encodeURIComponent(requestId)}`, {signal: AbortSignal.timeout(adminTimeoutMs)});
	}

	/** Cancels all work of a request and frees its memory. */
	async cancel(address: string, requestId: string): Promise<EngineReply> {
		return this.#sendForReply(address, 'POST', `/admin/v1/requests/${encodeURIComponent(requestId)}/cancel`, {signal: AbortSignal.timeout(adminTimeoutMs)});
	}

	/** Fetches the status; undefined when the engine does not answer or the answer is not valid. */
	async fetchStatus(address: string): Promise<EngineReport | undefined> {
		try {
			const answer = await this.#send(address, 'GET', '/admin/v1/status', {signal: AbortSignal.timeout(adminTimeoutMs)});
			const parsed = engineReportSchema.safeParse(await answer.body.json());
			return parsed.success ? parsed.data : undefined;
		} catch {
			return undefined;
		}
	}

	async #sendForReply(address: string, method: string, path: string, call: {body?: unknown; signal: AbortSignal}): Promise<EngineReply> {
		const answer = await this.#send(address, method, path, call);
		if (answer.statusCode === 200) {
			await answer.body.dump();
			return {type: 'ok'};
		}

		return {type: 'refused', status: answer.statusCode, error: await readError(answer)};
	}

	async #send(address: string, method: string, path: string, {body, signal}: {body?: unknown; signal: AbortSignal}): Promise<BackendAnswer> {
		return this.connections.send({
			address, method, path, signal,
			headers: body === undefined ? undefined : {'content-type': 'application/json'},
			body: body === undefined ? undefined : JSON.stringify(body),
		});
	}
}
