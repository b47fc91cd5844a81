import type {Buffer} from 'node:buffer';
import {request, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {ClockReading, StatePosition} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {configureSocket} from '../exchange/connection-opener.js';
import {runAfterInput} from '../exchange/run-after-input.js';
import {
	encodeFeedMessage, FeedMessageReader, type FeedMessage, type FeedMessageOf,
} from './feed-message.js';
import {feedProtocol} from './feed-server.js';

/** Questions whose answers are accepted; older answers say nothing that a newer one does not. */
const openQuestionLimit = 16;

/** Reasons for the end of a feed. */
export const feedEnds = {
	closed: 'closed', refused: 'refused', lost: 'lost', silent: 'silent', late: 'late', unreadable: 'unreadable',
} as const;

/** One of `feedEnds`. */
export type FeedEnd = keyof typeof feedEnds;

/** Address, times and receivers of a feed. */
export type FeedClientOptions = {
	entryId: string;
	reader: {id: string; peerAddress: string};
	timer: TimerService;
	readClocks: () => ClockReading;
	/** Positions of the copies that this entry has, by watch. */
	positions: Record<string, StatePosition>;
	/** Time for the connection and the first state, in ms. */
	openMs: number;
	/** Interval of the questions for the ages, in ms. */
	askMs: number;
	/** Time without a message after which the reader counts as lost, in ms. */
	silenceMs: number;
	handleUpdate: (message: FeedMessageOf<'update'>) => void;
	handleSynced: () => void;
	/** Called with the ages and the clocks at the time of the question: the reader computed the ages after that. */
	handleAges: (message: FeedMessageOf<'ages'>, askedAt: ClockReading) => void;
	/** Called once, unless `close` was called before. */
	handleEnd: (reason: FeedEnd) => void;
};

/** Follows the state of the store through another entry. */
export class FeedClient {
	readonly #options: FeedClientOptions;
	readonly #messages = new FeedMessageReader();
	/** Clocks at the time of each question, by its number. */
	readonly #questions = new Map<number, ClockReading>();
	readonly #cancels: Array<() => void> = [];
	/** Handlers of the messages of a reader. */
	readonly #handlers: {[Type in FeedMessage['type']]?: (message: FeedMessageOf<Type>) => void} = {
		update: message => {
			this.#options.handleUpdate(message);
		},
		synced: () => {
			this.#isSynced = true;
			this.#options.handleSynced();
			this.ask();
		},
		ages: message => {
			const askedAt = this.#questions.get(message.at);
			if (askedAt !== undefined) {
				this.#options.handleAges(message, askedAt);
			}
		},
		lost: () => {
			this.#end(feedEnds.lost);
		},
	};

	#question = 0;
	#socket: Socket | undefined;
	#lastMessageAt: number;
	#isEnded = false;
	#isSynced = false;
	readonly #destroyRequest: () => void;

	constructor(options: FeedClientOptions) {
		this.#options = options;
		const {reader, timer, openMs, askMs} = options;
		this.#lastMessageAt = timer.now();
		const [host, port] = reader.peerAddress.split(':');
		const asked = request({
			host, port, method: 'GET', path: '/state', agent: false, headers: {connection: 'upgrade', upgrade: feedProtocol},
		});
		this.#destroyRequest = () => {
			asked.destroy();
		};

		asked.on('error', () => {
			this.#end(feedEnds.closed);
		});
		asked.on('response', response => {
			response.resume();
			this.#end(feedEnds.refused);
		});
		asked.on('upgrade', (_response: IncomingMessage, socket: Socket, head) => {
			socket.unshift(head);
			this.#open(socket);
		});
		asked.end();
		this.#cancels.push(
			timer.schedule(openMs, () => {
				if (!this.#isSynced) {
					this.#end(feedEnds.late);
				}
			}),
			timer.subscribe(askMs, () => {
				this.ask();
			}),
		);
	}

	/** Id of the entry that is followed. */
	get readerId(): string {
		return this.#options.reader.id;
	}

	/** Closes the connection; no handler is called any more. */
	close(): void {
		this.#isEnded = true;
		for (const cancel of this.#cancels) {
			cancel();
		}

		this.#destroyRequest();
		this.#socket?.destroy();
	}

	/** Asks the reader for the ages of its state. */
	ask(): void {
		const {readClocks} = this.#options;
		if (!this.#isSynced || this.#isEnded) {
			return;
		}

		if (this.#isSilent()) {
			// When this process was busy or suspended, answers that came in time may still wait at the socket.
			runAfterInput(() => {
				if (this.#isSilent()) {
					this.#end(feedEnds.silent);
				}
			});
		}

		this.#question++;
		this.#questions.set(this.#question, readClocks());
		this.#questions.delete(this.#question - openQuestionLimit);
		this.#socket?.write(encodeFeedMessage({type: 'ask', at: this.#question}));
	}

	#open(socket: Socket): void {
		const {entryId, positions} = this.#options;
		this.#socket = socket;
		socket.on('error', () => undefined);
		if (this.#isEnded) {
			socket.destroy();
			return;
		}

		configureSocket(socket);
		socket.on('data', (bytes: Buffer) => {
			this.#receive(bytes);
		});
		socket.on('close', () => {
			this.#end(feedEnds.closed);
		});
		socket.write(encodeFeedMessage({type: 'follow', entryId, positions}));
	}

	#receive(bytes: Buffer): void {
		const messages = this.#messages.read(bytes);
		if (messages === undefined) {
			this.#end(feedEnds.unreadable);
			return;
		}

		for (const message of messages) {
			if (this.#isEnded) {
				return;
			}

			this.#lastMessageAt = this.#options.timer.now();
			this.#handleMessage(message);
		}
	}

	#handleMessage(message: FeedMessage): void {
		const handle = this.#handlers[message.type] as ((message: FeedMessage) => void) | undefined;
		if (handle === undefined) {
			this.#end(feedEnds.unreadable);
			return;
		}

		handle(message);
	}

	#isSilent(): boolean {
		return this.#options.timer.now() - this.#lastMessageAt > this.#options.silenceMs;
	}

	#end(reason: FeedEnd): void {
		if (!this.#isEnded) {
			this.close();
			this.#options.handleEnd(reason);
		}
	}
}
