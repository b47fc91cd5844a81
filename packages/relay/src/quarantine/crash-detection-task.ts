import {LostAttempts, type LostAttempt} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {waitFor} from '@knapweedrack/entry/timer-service';
import type {BackendConnections} from '../exchange/backend-connections.js';
import {openDirectConnection, type SocketOpener} from '../exchange/connection-opener.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {KnownServer} from '../store-state/store-state-task.js';

/** Time within which the other connections to a server that has ended are seen to close, in ms. */
const closeSpreadMs = 20;

/** What showed that a backend server has ended. */
export const crashEvidence = {
	/** Its address refuses connections. */
	refused: 'connection refused',
	/** Another incarnation answers at its address. */
	misdirected: 'another incarnation answered',
	/** The store no longer lists it, or lists another incarnation. */
	store: 'no longer listed',
} as const;
/** Value of `crashEvidence`. */
export type CrashEvidence = (typeof crashEvidence)[keyof typeof crashEvidence];

/** How an attempt was lost. */
export const lossKinds = {
	/** The backend server, or the network, ended the connection. */
	connection: 'connection',
	/** The connection was closed at the end of an answer without a length, by a backend server that still ran. */
	close: 'close',
	/** No answer came before the attempt was cancelled. */
	silence: 'silence',
} as const;
/** Value of `lossKinds`. */
export type LossKind = (typeof lossKinds)[keyof typeof lossKinds];

/** Dependencies of the crash detection task. */
export type CrashDetectionOptions = {
	timer: TimerService;
	metrics: RelayMetrics;
	connections: BackendConnections;
	openSocket: SocketOpener;
	/** Resolves to false when a refused connection may be the fault of the links of this entry. */
	confirmEnd: (server: {id: string; address: string}) => Promise<boolean>;
	/** Resolves to true when another incarnation answers at the address of a backend server. */
	checkReplaced: (server: {id: string; address: string}) => Promise<boolean>;
	/** Returns a backend server as the store lists it. */
	findServer: (serverId: string) => KnownServer | undefined;
	/** Called for each lost attempt whose backend server has ended. */
	notifyCrash: (attempt: LostAttempt, evidence: CrashEvidence) => void;
	/** Called for each attempt that was lost with its connection, before its backend server is checked. */
	notifyLoss: (attempt: LostAttempt) => void;
	/** Called after that check, and after `notifyCrash` when the backend server has ended. */
	notifyChecked: (attempt: LostAttempt) => void;
};

/** Finds out whether the backend servers that lost attempts have ended. */
export class CrashDetectionTask {
	readonly #options: CrashDetectionOptions;
	readonly #lost = new LostAttempts();
	/** Running checks whether a server was replaced, by its id. */
	readonly #checks = new Map<string, Promise<boolean>>();

	constructor(options: CrashDetectionOptions) {
		this.#options = options;
	}

	/** Attempts that were lost just now on servers which may have ended. */
	listUnsettled(): LostAttempt[] {
		return this.#lost.listUnsettled();
	}

	/** Resolves to true unless a backend server that has closed a connection has ended: it refuses a new one, and not because of the links of this entry. */
	async confirmRunning(server: {id: string; address: string}): Promise<boolean> {
		const {connections, openSocket, confirmEnd} = this.#options;
		const failure = await tryConnect(openSocket, server.address, connections.connectTimeoutMs);
		return failure !== 'ECONNREFUSED' || !(await confirmEnd(server));
	}

	/** Records an attempt that was lost, or may have been; after the end of its connection, checks the backend server. */
	async recordLoss(attempt: LostAttempt, address: string, kind: LossKind): Promise<void> {
		const {timer, metrics, notifyLoss, notifyChecked} = this.#options;
		const settle = this.#lost.add(attempt, timer.now());
		if (kind !== lossKinds.silence) {
			notifyLoss(attempt);
			const evidence = await this.#findEvidence({id: attempt.serverId, address});
			if (evidence !== undefined) {
				this.#report(attempt.serverId, evidence);
			}

			notifyChecked(attempt);
		}

		metrics.countEvent(`attempt.lost_${kind}`);
		settle();
	}

	/** Records an answer to a request that was sent at `sentAt`: the backend server has not ended before. */
	recordAnswer(serverId: string, sentAt: number): void {
		this.#lost.removeAnswered(serverId, sentAt);
	}

	/** Records that a request to the address of a backend server showed that this server has ended. */
	recordEnd(serverId: string, evidence: CrashEvidence): void {
		this.#report(serverId, evidence);
	}

	/** Checks the backend servers that lost attempts against the list of the store, after a change of that list. */
	handleServers(): void {
		for (const serverId of this.#lost.listServers()) {
			const listed = this.#options.findServer(serverId);
			this.#report(serverId, crashEvidence.store, listed === undefined ? undefined : listed.bootId ?? serverId);
		}
	}

	#report(serverId: string, evidence: CrashEvidence, bootId?: string): void {
		const {timer, notifyCrash} = this.#options;
		for (const attempt of this.#lost.removeEnded(serverId, timer.now(), bootId)) {
			notifyCrash(attempt, evidence);
		}
	}

	/** Looks for evidence that a backend server without an open connection has ended. */
	async #findEvidence(server: {id: string; address: string}): Promise<CrashEvidence | undefined> {
		const {timer, connections, openSocket, confirmEnd} = this.#options;
		await waitFor(timer, closeSpreadMs);
		if (connections.countOpen(server.id) > 0) {
			return undefined;
		}

		const failure = await tryConnect(openSocket, server.address, connections.connectTimeoutMs);
		if (failure === 'ECONNREFUSED') {
			return await confirmEnd(server) ? crashEvidence.refused : undefined;
		}

		return failure === undefined && await this.#checkReplaced(server) ? crashEvidence.misdirected : undefined;
	}

	/** Checks a server once for all attempts that it lost at the same time, since the check takes a slot. */
	async #checkReplaced(server: {id: string; address: string}): Promise<boolean> {
		const check = this.#checks.get(server.id) ?? this.#options.checkReplaced(server);
		this.#checks.set(server.id, check);
		const isReplaced = await check;
		this.#checks.delete(server.id);
		return isReplaced;
	}
}

/** Opens a TCP connection and closes it again; returns the code of the error, or undefined when it was accepted. */
const tryConnect = async (openSocket: SocketOpener, address: string, timeoutMs: number): Promise<string | undefined> => {
	const opened = await openDirectConnection(openSocket, address, timeoutMs);
	if (opened.ok) {
		opened.value.socket.destroy();
		return undefined;
	}

	return (opened.error as NodeJS.ErrnoException).code ?? opened.error.message;
};
