import {Agent, Client, type Dispatcher} from 'undici';

/** Sent and received parts of one call to a backend server. */
export type BackendCall = {
	address: string;
	method: string;
	path: string;
	headers?: Record<string, string | string[]> | undefined;
	body?: string | Uint8Array | undefined;
	signal?: AbortSignal | undefined;
	/** Opens a connection of its own, so that no byte leaves on a connection that the server is closing. */
	isOnFreshConnection?: boolean | undefined;
};

/** An answer whose body is still to be read. */
export type BackendAnswer = Dispatcher.ResponseData;

const connectTimeoutMs = 2000;
const connectionsPerServer = 512;

const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND']);

/** True when a call failed before a connection existed, so that no byte was sent. */
export const isConnectFailure = (error: unknown): boolean => {
	const {code, syscall} = (error ?? {}) as {code?: string; syscall?: string};
	return code !== undefined && connectErrorCodes.has(code) && (syscall === undefined || syscall === 'connect');
};

// Time limits are set by the request's deadline; undici's own would end long prefills.
const clientOptions = {
	headersTimeout: 0,
	bodyTimeout: 0,
	// One request at a time on a connection: a cut connection then concerns one request only.
	pipelining: 1,
	connect: {timeout: connectTimeoutMs},
};

/** Connections to backend servers; nothing is sent twice by the HTTP client. */
export class BackendConnections {
	readonly #agent = new Agent({...clientOptions, connections: connectionsPerServer, keepAliveTimeout: 4000});

	/** Sends one call; rejects when the connection fails or the signal aborts. */
	async send({address, isOnFreshConnection, ...call}: BackendCall): Promise<BackendAnswer> {
		const origin = `http://${address}`;
		const options = {
			...call, method: call.method, signal: call.signal ?? null, body: call.body ?? null,
		};
		if (!isOnFreshConnection) {
			return this.#agent.request({...options, origin});
		}

		const client = new Client(origin, clientOptions);
		try {
			const answer = await client.request({...options, reset: true});
			answer.body.once('close', () => {
				void client.destroy();
			});
			return answer;
		} catch (error) {
			void client.destroy();
			throw error;
		}
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
