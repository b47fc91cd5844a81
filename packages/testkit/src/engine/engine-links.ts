import type {EngineOrder, GenerateRequest} from '@knapweedrack/protocol';
import {request as sendRequest} from 'undici';
import {z} from 'zod';

const exportTimeoutMs = 5000;
const exportAnswerSchema = z.object({tokens: z.number(), digest: z.string()});
const transferAnswerSchema = z.object({durationMs: z.number()});

type ExportedSegment = z.infer<typeof exportAnswerSchema>;

/** Total tokens and, in prompt order, the digests of the segments imported from other engines. */
export type ImportedSegments = {tokens: number; digests: string[]};

/** Imports segments from the engines that hold them; undefined when a segment is missing or its engine does not answer. */
export const fetchSegments = async (requestId: string, segments: NonNullable<GenerateRequest['segments']>): Promise<ImportedSegments | undefined> => {
	const imported: ImportedSegments = {tokens: 0, digests: []};
	for (const segment of segments) {
		const answer = await fetchSegment(segment.address, requestId, segment.index);
		if (!answer) {
			return undefined;
		}

		imported.tokens += answer.tokens;
		imported.digests.push(answer.digest);
	}

	return imported;
};

const fetchSegment = async (address: string, requestId: string, index: number): Promise<ExportedSegment | undefined> => {
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

/** Requests a transfer from the weight store; returns its duration in ms, or undefined when the store refuses it or does not answer. */
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
