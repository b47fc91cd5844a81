import type {WireCodec} from '../contracts.js';
import type {BackendConnections} from '../exchange/backend-connections.js';
import {misdirectedStatus} from '../front/attempt-result.js';

/** Timeout of the check, in ms; another incarnation refuses at once. */
const checkTimeoutMs = 300;

/** A backend server with the path of its health check. */
export type CheckedServer = {id: string; address: string; healthPath: string};

/** Sends a health check to a backend server; resolves to true when another incarnation at its address refuses it. */
export const checkReplaced = async (
	{connections, wire}: {connections: BackendConnections; wire: Pick<WireCodec, 'encodeDispatch'>},
	{id, address, healthPath}: CheckedServer,
): Promise<boolean> => {
	const connection = connections.acquire({id, address}, Number.POSITIVE_INFINITY);
	if (connection === undefined) {
		return false;
	}

	try {
		const {statusCode, body} = await connection.dispatcher.request({
			method: 'GET', path: healthPath, signal: AbortSignal.timeout(checkTimeoutMs),
			headers: wire.encodeDispatch([], {
				serverId: id, remainingMs: checkTimeoutMs, workspace: undefined, helpers: [], urgency: undefined, lastEventId: undefined,
			}),
		});
		await body.dump();
		return statusCode === misdirectedStatus;
	} catch {
		// Not logged here: a check that fails shows nothing, and the lost attempt is logged.
		return false;
	} finally {
		connection.release();
	}
};
