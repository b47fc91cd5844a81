import type {EngineOrder} from '@knapweedrack/protocol';
import {request as sendRequest} from 'undici';
import {z} from 'zod';

const exportTimeoutMs = 5000;
const exportAnswerSchema = z.object({tokens: z.number(), digest: z.string()});
const transferAnswerSchema = z.object({durationMs: z.number()});

/** Segment of another engine. */
export type ExportedSegment = z.infer<typeof exportAnswerSchema>;

/** Reads a KV segment from the engine that holds it; undefined when that fails. */
export const fetchSegment = async (address: string, requestId: string, index: number): Promise<ExportedSegment | undefined> => {
	try {
		const {statusCode, body} = await sendRequest(`http://${address}/admin/v1/kv/export`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({requestId, index}),
			headersTimeout: exportTimeoutMs,
			bodyTimeout: exportTimeoutMs,
		});
		const answer = await body.json();
		return statusCode === 200 ? exportAnswerSchema.parse(answer) : undefined;
	} catch {
		return undefined;
	}
};

/** Asks the weight store for a transfer; returns its duration in ms, undefined when it was refused. */
export const fetchTransfer = async (platform: string, order: EngineOrder, serverId: string): Promise<number | undefined> => {
	try {
		const {statusCode, body} = await sendRequest(`http://${platform}/v1/weights/transfers`, {
			method: 'POST',
			headers: {'content-type': 'application/json', 'x-instance-id': serverId},
			body: JSON.stringify({name: order.target, version: order.version ?? '', serverId}),
		});
		const answer = await body.json();
		return statusCode === 200 ? transferAnswerSchema.parse(answer).durationMs : undefined;
	} catch {
		return undefined;
	}
};
