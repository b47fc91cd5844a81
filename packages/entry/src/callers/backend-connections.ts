import {Agent, Client, type Dispatcher} from 'undici';

/** One call to a backend server. */
export type BackendCall = {
	address: string;
	method: string;
	path: string;
	headers?: Record<string, string | string[]> | undefined;
	body?: string | Uint8Array | undefined;
	signal?: AbortSignal | undefined;
	/** Opens a new connection for this call, so that no byte is sent on an idle connection that the server is closing. */
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

// The request's deadline limits the time of a call; the timeouts of undici would abort long prefills.
const clientOptions = {
	headersTimeout: 0,
	bodyTimeout: 0,
	// One request at a time on a connection, so that a broken connection affects only one request.
	pipelining: 1,
	connect: {timeout: connectTimeoutMs},
};

/** Connections to backend servers; the HTTP client never retries a call. */
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
