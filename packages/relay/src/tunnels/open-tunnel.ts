import {once} from 'node:events';
import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {createError, createOk, type Result} from '@knapweedrack/core';
import {configureSocket, startTimeout} from '../exchange/connection-opener.js';

/** Header with the id of the entry that asks for a tunnel. */
export const tunnelSenderHeader = 'knapweedrack-entry';
/** Header with the value `1` when the server may be one that wants no requests from the entry that opens the tunnel. */
export const ignoresRefusalHeader = 'knapweedrack-ignores-refusal';
/** Header with the id that the asking entry gives to the tunnel. */
export const tunnelIdHeader = 'knapweedrack-tunnel';
/** Path under which the entry that passes a tunnel on tells whether its backend server has ended it; followed by the id. */
export const tunnelEndPath = '/tunnels/';
/** Header of a refusal with the code of the error, as of the operating system where there is one. */
export const tunnelErrorHeader = 'knapweedrack-error';

/** A tunnel that was not opened. */
export class TunnelError extends Error {
	constructor(readonly code: string, message: string) {
		super(message);
	}
}

/** Asks another entry to open a connection to a backend server (`host:port`) and to pass its bytes in both directions. */
export const openTunnel = async ({peerAddress, entryId, tunnelId, address, timeoutMs, ignoresRefusal = false}: {
	/** `host:port` of the other entry. */
	peerAddress: string;
	/** Id of this entry. */
	entryId: string;
	/** Unique id of the tunnel, for `confirmTunnelEnd`. */
	tunnelId: string;
	address: string;
	/** Time for both connections together, in ms. */
	timeoutMs: number;
	/** True when the tunnel is opened although the server wants no requests now. */
	ignoresRefusal?: boolean;
}): Promise<Result<Socket, Error>> => {
	const [host, port] = peerAddress.split(':');
	const timeout = startTimeout(timeoutMs);
	let asked: ClientRequest | undefined;
	try {
		asked = request({
			host, port, method: 'CONNECT', path: address, agent: false,
			headers: {[tunnelSenderHeader]: entryId, [tunnelIdHeader]: tunnelId, ...(ignoresRefusal && {[ignoresRefusalHeader]: '1'})},
		});
		// Without a listener, an error after the deadline would end the process.
		asked.on('error', () => undefined);
		asked.end();
		const [answer, socket] = await once(asked, 'connect', {signal: timeout.signal}) as [IncomingMessage, Socket];
		socket.on('error', () => undefined);
		if (answer.statusCode !== 200) {
			socket.destroy();
			return createError(new TunnelError(String(answer.headers[tunnelErrorHeader] ?? 'TUNNEL_REFUSED'), `${peerAddress} has opened no tunnel: status ${answer.statusCode}`));
		}

		configureSocket(socket);
		return createOk(socket);
	} catch (error) {
		asked?.destroy();
		return createError(new TunnelError('TUNNEL_PEER_LOST', `no tunnel through ${peerAddress}: ${(error as Error).message}`));
	} finally {
		timeout.cancel();
	}
};

/**
 * Asks the entry that passed a tunnel on whether the backend server ended it regularly, after all its bytes were passed on. The operating
 * system closes the connections of a process that is killed in the same way, so a closed tunnel alone does not show this. Entries of
 * earlier builds confirm nothing.
 */
export const confirmTunnelEnd = async ({peerAddress, tunnelId, timeoutMs}: {peerAddress: string; tunnelId: string; timeoutMs: number}): Promise<boolean> => {
	const [host, port] = peerAddress.split(':');
	const timeout = startTimeout(timeoutMs);
	let asked: ClientRequest | undefined;
	try {
		asked = request({
			host, port, path: `${tunnelEndPath}${tunnelId}`, agent: false,
		});
		asked.on('error', () => undefined);
		asked.end();
		const [answer] = await once(asked, 'response', {signal: timeout.signal}) as [IncomingMessage];
		answer.resume();
		return answer.statusCode === confirmedStatus;
	} catch {
		// The caller logs the attempt whose answer is not confirmed.
		return false;
	} finally {
		asked?.destroy();
		timeout.cancel();
	}
};

const confirmedStatus = 200;
