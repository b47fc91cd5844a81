import createDebug from 'debug';
import {
	createTRPCClient, createWSClient, TRPCClientError, wsLink, type TRPCClient,
} from '@trpc/client';
import {WebSocket} from 'ws';
import {createError, createOk, type Result} from '@knapweedrack/core';
import {
	peerBatchLimit, type PeerRouter, type PermitRelease, type PermitWithdrawal,
} from '@knapweedrack/protocol';
import type {Metrics, TimerService} from '../contracts.js';
import {counterNames} from '../metrics/metric-names.js';
import {runWithDeadline} from '../timer/timer-service.js';
import {peerMessageLimitBytes, peerPath} from './peer-server.js';
import type {PeerSecrets} from './peer-secrets.js';
import type {createTrafficMeter} from './traffic-meter.js';

const debug = createDebug('knapweedrack:peer-client');

const handshakeTimeoutMs = 1000;
const firstReconnectDelayMs = 50;
const maxReconnectDelayMs = 2000;
/** Maximum number of calls in progress with one peer, because a peer that does not answer must not accumulate calls without bound. */
const callsInProgressLimit = 5000;
const openTimeoutMs = 1000;
/** A paused peer is detected within twice this time; most connections carry heartbeats and need no ping. */
const pingIntervalMs = 1500;
const pongWaitMs = 1500;
const batchDelayMs = 10;
const batchTimeoutMs = 1000;
/** A release that is older than the lifetime of a permit has no effect at the owner. */
const releaseRetentionMs = 10_000;

/** Failure of a call to a peer; `refused` when the peer answered with an error. */
export type PeerFailure = {kind: 'unreachable' | 'unauthorized' | 'refused'; message: string};

/** Typed caller of one entry's procedures. */
export type PeerCaller = TRPCClient<PeerRouter>;

/** Dependencies that all connections to peers share. */
export type PeerClientOptions = {
	secrets: PeerSecrets;
	timer: TimerService;
	metrics: Metrics;
	traffic: ReturnType<typeof createTrafficMeter>;
};

type Connection = {caller: PeerCaller; close: () => void};

/** Connection to one entry, with batches of releases and withdrawals. */
export class PeerClient {
	readonly #options: PeerClientOptions;
	#connection: Connection;
	#client: ReturnType<typeof createWSClient> | undefined;
	#callsInProgress = 0;
	#isClosed = false;
	#isConnectionRefused = false;
	#openWaiters: Array<() => void> = [];
	#isOpen = false;
	readonly #releases: Array<{release: PermitRelease; at: number}> = [];
	readonly #withdrawals: PermitWithdrawal[] = [];
	#cancelScheduledBatches: (() => void) | undefined;

	constructor(readonly address: string, options: PeerClientOptions) {
		this.#options = options;
		this.#connection = this.#openConnection();
	}

	/** True when the last attempt to connect was refused: no process listens on the address. */
	get isConnectionRefused(): boolean {
		return this.#isConnectionRefused;
	}

	/** Runs one call; without a connection within a second or an answer within `timeoutMs` the peer counts as unreachable. */
	async run<Answer>(timeoutMs: number, call: (caller: PeerCaller, signal: AbortSignal) => Promise<Answer>): Promise<Result<Answer, PeerFailure>> {
		if (this.#callsInProgress >= callsInProgressLimit || this.#isClosed) {
			return createError({kind: 'unreachable', message: this.#isClosed ? 'the connection to the peer is closed' : 'too many calls to the peer are in progress'});
		}

		this.#callsInProgress++;
		try {
			if (!await this.#waitUntilOpen(Math.min(timeoutMs, openTimeoutMs))) {
				return createError({kind: 'unreachable', message: 'there is no connection to the peer'});
			}

			return createOk(await runWithDeadline(this.#options.timer, timeoutMs, async signal => call(this.#connection.caller, signal)));
		} catch (error) {
			return createError(this.#acceptError(error));
		} finally {
			this.#callsInProgress--;
		}
	}

	/** Sends a release with the next batch; it is retained until the peer confirms it or it has no effect any more. */
	release(release: PermitRelease): void {
		this.#releases.push({release, at: this.#options.timer.now()});
		this.#scheduleBatches(batchDelayMs);
	}

	/**
	 * Sends a withdrawal with the next batch. A lost withdrawal is not sent again: the request stays in the queue until its
	 * deadline, or a permit that was granted holds capacity until it expires.
	 */
	withdraw(withdrawal: PermitWithdrawal): void {
		this.#withdrawals.push(withdrawal);
		this.#scheduleBatches(batchDelayMs);
	}

	/** Sends the next batches and closes the connection. */
	async close(): Promise<void> {
		this.#cancelScheduledBatches?.();
		await this.#sendBatches();
		this.#isClosed = true;
		this.#cancelScheduledBatches?.();
		this.#connection.close();
	}

	async #waitUntilOpen(timeoutMs: number): Promise<boolean> {
		if (!this.#isOpen) {
			await new Promise<void>(resolve => {
				const cancel = this.#options.timer.schedule(timeoutMs, () => {
					resolve();
				});
				this.#openWaiters.push(() => {
					cancel();
					resolve();
				});
			});
		}

		return this.#isOpen;
	}

	#setOpen(): void {
		this.#isOpen = true;
		this.#isConnectionRefused = false;
		const waiters = this.#openWaiters;
		this.#openWaiters = [];
		for (const notify of waiters) {
			notify();
		}
	}

	#scheduleBatches(delayMs: number): void {
		if (this.#cancelScheduledBatches !== undefined || this.#isClosed) {
			return;
		}

		this.#cancelScheduledBatches = this.#options.timer.schedule(delayMs, () => {
			void this.#sendBatches();
		});
	}

	async #sendBatches(): Promise<void> {
		this.#cancelScheduledBatches = undefined;
		const withdrawals = this.#withdrawals.splice(0, peerBatchLimit);
		if (withdrawals.length > 0) {
			await this.run(batchTimeoutMs, async (caller, signal) => caller.permits.withdraw.mutate(withdrawals, {signal}));
		}

		await this.#sendReleases();
		if (this.#releases.length + this.#withdrawals.length > 0) {
			this.#scheduleBatches(batchDelayMs);
		}
	}

	async #sendReleases(): Promise<void> {
		const batch = this.#releases.splice(0, peerBatchLimit);
		if (batch.length === 0) {
			return;
		}

		const result = await this.run(batchTimeoutMs, async (caller, signal) => caller.permits.release.mutate(batch.map(({release}) => release), {signal}));
		if (!result.ok) {
			const oldest = this.#options.timer.now() - releaseRetentionMs;
			const kept = batch.filter(({at}) => at > oldest);
			this.#options.metrics.count(counterNames.releaseDropped, batch.length - kept.length);
			this.#releases.unshift(...kept);
		}
	}

	#acceptError(error: unknown): PeerFailure {
		const message = error instanceof Error ? error.message : String(error);
		const code = error instanceof TRPCClientError ? (error.data as {code?: string} | undefined)?.code : undefined;
		if (code === 'UNAUTHORIZED') {
			// A connection keeps the secret with which it was opened. Once the peer has removed that secret, a new connection is needed.
			this.#connection.close();
			this.#isOpen = false;
			this.#connection = this.#openConnection();
			return {kind: 'unauthorized', message};
		}

		return {kind: code === undefined ? 'unreachable' : 'refused', message};
	}

	#openConnection(): Connection {
		const {secrets, metrics, traffic} = this.#options;
		const {address} = this;
		const setRefused = (isRefused: boolean) => {
			this.#isConnectionRefused = isRefused;
		};

		const socketClass = class extends WebSocket {
			constructor(url: string | URL) {
				super(url, {perMessageDeflate: false, maxPayload: peerMessageLimitBytes, handshakeTimeout: handshakeTimeoutMs});
				this.on('upgrade', ({socket}) => {
					traffic.add(socket);
				});
				this.on('error', error => {
					setRefused((error as NodeJS.ErrnoException).code === 'ECONNREFUSED');
				});
			}

			/** Terminates the socket, because calls in progress must fail at once and the closing handshake with a paused peer takes 30 s. */
			override close(): void {
				this.terminate();
			}
		};
		const client = createWSClient({
			url: `ws://${address}${peerPath}`,
			connectionParams: () => ({secret: secrets.current}),
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The option's name is given by the library.
			WebSocket: socketClass as unknown as typeof globalThis.WebSocket,
			retryDelayMs: attempt => Math.min(firstReconnectDelayMs * (2 ** attempt), maxReconnectDelayMs),
			keepAlive: {enabled: true, intervalMs: pingIntervalMs, pongTimeoutMs: pongWaitMs},
			onOpen: () => {
				if (client !== this.#client) {
					return;
				}

				this.#setOpen();
				metrics.count(counterNames.peerConnected);
				debug('connected to %s', address);
			},
			onClose: () => {
				if (client !== this.#client) {
					return;
				}

				this.#isOpen = false;
				metrics.count(counterNames.peerDisconnected);
				debug('connection to %s closed', address);
			},
		});
		this.#client = client;
		return {
			caller: createTRPCClient<PeerRouter>({links: [wsLink({client})]}),
			close() {
				void closeClient(client);
			},
		};
	}
}

const closeClient = async (client: ReturnType<typeof createWSClient>): Promise<void> => {
	try {
		await client.close();
	} catch (error) {
		debug('a peer connection was closed before it was open: %s', (error as Error).message);
	}
};
