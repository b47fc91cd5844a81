import {
	createTRPCClient, createWSClient, TRPCClientError, wsLink, type TRPCClient,
} from '@trpc/client';
import {WebSocket} from 'ws';
import {z} from 'zod';
import {createError, createOk, type Result} from '@knapweedrack/core';
import type {PeerRouter} from '@knapweedrack/protocol';

/** Why an entry did not answer. */
export type EntryFailure = {kind: 'unreachable' | 'refused'; message: string};

const statusSchema = z.looseObject({
	entryId: z.string().optional(),
	configurationRevision: z.number().optional(),
	availabilityRevision: z.number().optional(),
	state: z.string().optional(),
	/** False while the entry cannot reach the object API. */
	reachesStore: z.boolean().optional(),
	/** False when the entry stopped admitting requests because its configuration has not been confirmed recently. */
	isConfigurationFresh: z.boolean().optional(),
});
/** Fields of the answer to `operations.status` that the command line reads. */
export type EntryStatus = z.infer<typeof statusSchema>;

const explainSchema = z.array(z.object({step: z.string(), detail: z.record(z.string(), z.unknown())}));
/** Answer to `operations.explain`: the steps of one request at one entry. */
export type ExplainSteps = z.infer<typeof explainSchema>;

const peerPath = '/peer';
const reconnectMs = 200;
/** Without this limit, a listener that accepts the connection but never responds would keep the handshake open forever. */
const handshakeTimeoutMs = 1000;

/** Connection to the peer listener of one entry, for the operations that the command line calls. */
export class EntryClient {
	readonly #socket: ReturnType<typeof createWSClient>;
	readonly #client: TRPCClient<PeerRouter>;
	#latestSocket: WebSocket | undefined;
	#connectError: Error | undefined;
	#abortCalls = new AbortController();

	constructor(readonly address: string, secret: string) {
		const recordError = (error: Error): void => {
			this.#connectError = error;
			// The library reconnects forever, so a failed connection aborts the running calls at once.
			this.#abortCalls.abort(error);
			this.#abortCalls = new AbortController();
		};

		const recordSocket = (socket: WebSocket): void => {
			this.#latestSocket = socket;
		};

		const socketClass = class extends WebSocket {
			constructor(url: string | URL) {
				super(url, {perMessageDeflate: false, handshakeTimeout: handshakeTimeoutMs});
				this.on('error', recordError);
				recordSocket(this);
			}
		};
		this.#socket = createWSClient({
			url: `ws://${address}${peerPath}`,
			connectionParams: () => ({secret}),
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The option's name is given by the library.
			WebSocket: socketClass as unknown as typeof globalThis.WebSocket,
			retryDelayMs: () => reconnectMs,
		});
		this.#client = createTRPCClient<PeerRouter>({links: [wsLink({client: this.#socket})]});
	}

	async getStatus(timeoutMs: number): Promise<Result<EntryStatus, EntryFailure>> {
		return this.#run(timeoutMs, async signal => statusSchema.parse(await this.#client.operations.status.query(undefined, {signal})));
	}

	/** Queries the steps of a request; undefined when the entry does not know the request. */
	async queryExplanation(requestId: string, timeoutMs: number): Promise<Result<ExplainSteps | undefined, EntryFailure>> {
		return this.#run(timeoutMs, async signal => explainSchema.nullish().parse(await this.#client.operations.explain.query(requestId, {signal})) ?? undefined);
	}

	/** Ends the connection at once; the library's own close waits for a connection that is still being opened. */
	close(): void {
		void closeQuietly(this.#socket);
		this.#latestSocket?.terminate();
	}

	async #run<Value>(timeoutMs: number, call: (signal: AbortSignal) => Promise<Value>): Promise<Result<Value, EntryFailure>> {
		const signal = AbortSignal.any([AbortSignal.timeout(timeoutMs), this.#abortCalls.signal]);
		try {
			return createOk(await call(signal));
		} catch (error) {
			const code = error instanceof TRPCClientError ? (error.data as {code?: string} | undefined)?.code : undefined;
			if (signal.aborted) {
				return createError({kind: 'unreachable', message: this.#connectError?.message ?? `no answer within ${timeoutMs} ms`});
			}

			return createError({kind: code === undefined ? 'unreachable' : 'refused', message: (error as Error).message});
		}
	}
}

const closeQuietly = async (client: ReturnType<typeof createWSClient>): Promise<void> => {
	try {
		await client.close();
	} catch {
		// The connection ended while it was being opened.
	}
};
