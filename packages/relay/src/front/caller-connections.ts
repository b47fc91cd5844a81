import process from 'node:process';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	connectionBytes, memoryKinds, type MemoryHold, type MemoryLedger,
} from '@knapweedrack/core';

/** Memory of a request that waits for its turn, beside its head and body, in bytes. */
const waitingRequestBytes = 3 * 1024;
/** Waiting requests from which on a connection is not read. */
const pausedRequests = 16;
/** Most requests that wait on a connection. What arrives in one read cannot be refused one by one, and the connection is closed beyond this. */
const waitingRequestLimit = 256;
/** Time for which the limit of connections is used before it is computed again, in ms. */
const limitAgeMs = 1000;

/** Reasons for which a connection is closed. */
export const closeReasons = {
	connectionLimit: 'connectionLimit', idleConnection: 'idleConnection', waitingRequests: 'waitingRequests',
} as const;
/** One of `closeReasons`. */
export type CloseReason = (typeof closeReasons)[keyof typeof closeReasons];

/** A request that is started once the answers before it were taken; `cancel` is called when its connection closes before that. */
export type Turn = {request: IncomingMessage; response: ServerResponse; start: () => void; cancel: () => void};

type WaitingTurn = Turn & {bodyBytes?: number};

type Connection = {
	socket: Socket;
	hold: MemoryHold;
	current: ServerResponse | undefined;
	waiting: WaitingTurn[];
	isPaused: boolean;
	/** Bytes read when the last answer ended; more have arrived when a head is in arrival. */
	bytesReadAtIdle: number;
};

/** Dependencies of the connections of callers. */
export type CallerConnectionOptions = {
	memory: MemoryLedger;
	now: () => number;
	/** Returns the most connections of callers that may be open now. */
	computeLimit: () => number;
	/** Called when a connection is closed because of a limit. */
	notifyClosed: (reason: CloseReason) => void;
};

/** Number of connections by state. */
export type ConnectionCounts = {busy: number; idle: number; head: number};

/** Connections of callers: limits their number, and handles the requests of each one in turn. */
export class CallerConnections {
	readonly #connections = new Map<Socket, Connection>();
	/** Connections without a request after an answer, in the order in which they became idle. */
	readonly #idle = new Set<Connection>();
	#busy = 0;
	#limit = {connections: 0, computedAt: Number.NEGATIVE_INFINITY};

	constructor(private readonly options: CallerConnectionOptions) {}

	/** Number of connections by state; `head` are those of which no request was read yet. */
	count(): ConnectionCounts {
		return {busy: this.#busy, idle: this.#idle.size, head: this.#connections.size - this.#busy - this.#idle.size};
	}

	/** Adds a new connection; closes an idle one for it, or the new one when none is idle. */
	accept(socket: Socket): void {
		const hold = this.options.memory.open({kind: memoryKinds.head, workspace: undefined});
		const limit = this.#getLimit();
		while ((this.#connections.size >= limit || !hold.tryAdd(connectionBytes))) {
			if (!this.#closeIdle()) {
				hold.release();
				this.options.notifyClosed(closeReasons.connectionLimit);
				socket.destroy();
				return;
			}
		}

		const connection: Connection = {
			socket, hold, current: undefined, waiting: [], isPaused: false, bytesReadAtIdle: 0,
		};
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#remove(connection);
		});
	}

	/** Starts a request now, or when the caller has taken the answers before it. */
	handle(turn: Turn): void {
		const connection = this.#connections.get(turn.request.socket);
		if (connection === undefined) {
			turn.cancel();
			turn.request.socket.destroy();
			return;
		}

		if (connection.current === undefined) {
			this.#start(connection, turn);
			return;
		}

		if (connection.waiting.length >= waitingRequestLimit || !connection.hold.tryAdd(waitingRequestBytes)) {
			turn.cancel();
			this.#closeOver(connection);
			return;
		}

		connection.waiting.push(turn);
		// The rest of what was read arrives first, within this call of the parser.
		process.nextTick(() => {
			this.#holdWaiting(connection, turn);
		});
	}

	#start(connection: Connection, {response, start}: Turn): void {
		this.#idle.delete(connection);
		connection.current = response;
		this.#busy++;
		response.once('close', () => {
			this.#end(connection);
		});
		start();
	}

	#end(connection: Connection): void {
		if (connection.current === undefined) {
			return;
		}

		connection.current = undefined;
		this.#busy--;
		if (!this.#connections.has(connection.socket) || connection.socket.destroyed) {
			return;
		}

		const next = connection.waiting.shift();
		if (next !== undefined) {
			connection.hold.remove(waitingRequestBytes + (next.bodyBytes ?? 0));
		}

		if (connection.isPaused && connection.waiting.length < pausedRequests) {
			connection.isPaused = false;
			connection.socket.resume();
		}

		if (next === undefined) {
			connection.bytesReadAtIdle = connection.socket.bytesRead;
			this.#idle.add(connection);
		} else {
			this.#start(connection, next);
		}
	}

	/** Bounds what a waiting request holds: its body is kept in one piece, and the connection is not read until its turn. */
	#holdWaiting(connection: Connection, turn: WaitingTurn): void {
		const {request} = turn;
		if (connection.socket.destroyed || !connection.waiting.includes(turn)) {
			return;
		}

		if (request.readableLength > 0) {
			// Each chunk is an object that costs some hundred bytes, also for a body in chunks of one byte.
			const part: unknown = request.read();
			if (part !== null) {
				request.unshift(part);
			}
		}

		if (!connection.hold.tryAdd(request.readableLength)) {
			this.#closeOver(connection);
			return;
		}

		turn.bodyBytes = request.readableLength;
		if (!request.complete || connection.waiting.length >= pausedRequests) {
			connection.isPaused = true;
			connection.socket.pause();
		}
	}

	#closeOver(connection: Connection): void {
		if (!connection.socket.destroyed) {
			this.options.notifyClosed(closeReasons.waitingRequests);
			connection.socket.destroy();
		}
	}

	/** Closes the connection that has been idle for longest; false when none is. */
	#closeIdle(): boolean {
		for (const connection of this.#idle) {
			if (connection.socket.bytesRead === connection.bytesReadAtIdle) {
				this.options.notifyClosed(closeReasons.idleConnection);
				this.#remove(connection);
				connection.socket.destroy();
				return true;
			}
		}

		return false;
	}

	#remove(connection: Connection): void {
		if (!this.#connections.delete(connection.socket)) {
			return;
		}

		this.#idle.delete(connection);
		connection.hold.release();
		for (const {cancel} of connection.waiting.splice(0)) {
			cancel();
		}
	}

	#getLimit(): number {
		const now = this.options.now();
		if (now - this.#limit.computedAt >= limitAgeMs) {
			this.#limit = {connections: this.options.computeLimit(), computedAt: now};
		}

		return this.#limit.connections;
	}
}
