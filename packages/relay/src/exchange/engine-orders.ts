import type {IncomingHttpHeaders} from 'node:http';
import type {EngineOrderCodec} from '../contracts.js';
import type {BackendConnection} from './backend-connections.js';

/** Timeout for the answer to an order, in ms; engines answer within one pass. */
const orderTimeoutMs = 600;

/** Result of an order; `unknown` when no answer arrived. */
export type OrderResult = 'done' | 'refused' | 'unknown';

/** An order to an engine; `notifyAnswer` is called with the head of its answer. */
export type EngineOrder = {serverId: string; body: string; notifyAnswer: (status: number, headers: IncomingHttpHeaders) => void};

/** Sends an order to an engine and releases the connection. An order with the result `unknown` may still be executed. */
export const sendOrder = async (connection: BackendConnection, codec: EngineOrderCodec, order: EngineOrder): Promise<OrderResult> => {
	try {
		const {statusCode, headers, body} = await connection.dispatcher.request({
			method: 'POST', path: codec.path, headers: codec.encodeHeaders(order.serverId), body: order.body, signal: AbortSignal.timeout(orderTimeoutMs),
		});
		order.notifyAnswer(statusCode, headers);
		await body.dump();
		return statusCode === 200 ? 'done' : 'refused';
	} catch {
		// Not logged here: the calling function logs the result together with its order.
		return 'unknown';
	} finally {
		connection.release();
	}
};
