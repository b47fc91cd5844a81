import createDebug from 'debug';
import {Agent, request} from 'undici';
import type {EngineReport} from '@knapweedrack/core';
import {engineReportSchema} from '@knapweedrack/protocol';
import type {TimerService} from '../contracts.js';
import {runWithDeadline} from '../timer/timer-service.js';

const debug = createDebug('knapweedrack:engine');

const callTimeoutMs = 1000;

/** Sends status and cancel calls to engines. */
export type EngineClient = {
	/** Undefined when the engine does not answer or its answer is invalid. */
	fetchStatus: (address: string) => Promise<EngineReport | undefined>;
	/** Cancels a request on an engine; returns whether the engine answered with status 200 and valid JSON. */
	cancel: (address: string, requestId: string) => Promise<boolean>;
	close: () => Promise<void>;
};

/** Creates the client of the engines that this entry owns. */
export const createEngineClient = (timer: TimerService): EngineClient => {
	const agent = new Agent({connections: 2, connect: {timeout: callTimeoutMs}});
	const send = async (method: 'GET' | 'POST', url: string): Promise<unknown> => {
		try {
			return await runWithDeadline(timer, callTimeoutMs, async signal => {
				const {statusCode, body} = await request(url, {method, dispatcher: agent, signal});
				const text = await body.text();
				return statusCode === 200 ? JSON.parse(text) as unknown : undefined;
			});
		} catch (error) {
			debug('%s %s failed: %s', method, url, (error as Error).message);
			return undefined;
		}
	};

	return {
		fetchStatus: async address => engineReportSchema.safeParse(await send('GET', `http://${address}/admin/v1/status`)).data,
		cancel: async (address, requestId) =>
			await send('POST', `http://${address}/admin/v1/requests/${encodeURIComponent(requestId)}/cancel`) !== undefined,
		close: async () => agent.destroy(),
	};
};
