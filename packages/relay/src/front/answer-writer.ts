import type {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {MemoryHold, ReadingDecision} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {AnswerHead} from '../exchange/attempt.js';
import {AnswerQueue} from './answer-queue.js';
import {closeIncompleteAnswer, selectAnswerHeaders, writeHead} from './caller-answer.js';

/** Bytes of an answer not taken by its caller from which on its backend server is not read. */
const answerHoldBytes = 1024 * 1024;
/** Longest time for which an answer is not read, in ms; backend servers cut an answer that is unread for some seconds. */
const answerPauseMs = 3000;

/** Why the connection of a slow caller is closed before the end of its answer, as logged and counted. */
export const untakenReasons = {
	/** The caller has taken nothing for the time limit of its route. */
	stalled: 'stalled',
	/** There is no memory for a part that the caller has not taken. */
	noMemory: 'no_memory',
	/** The caller has stayed behind at the bound of its answer, which no other attempt can continue. */
	behind: 'behind',
} as const;
/** One of `untakenReasons`. */
export type UntakenReason = (typeof untakenReasons)[keyof typeof untakenReasons];

/** Caller of an admitted request. */
export type AnswerCaller = {
	timer: TimerService;
	/** Memory for what the caller has not taken; the writer releases it. */
	hold: MemoryHold;
	/** Time in which the caller must take a part of its answer, in ms. */
	stallMs: number;
	/** Called when the connection is closed because of how the caller reads. */
	notifyClosed: (reason: UntakenReason) => void;
};

/** Writes the answer to one caller request: at most one head, then either a complete body or a visibly aborted connection. */
export class AnswerWriter {
	#isStarted = false;
	#isOver = false;
	#caller: AnswerCaller | undefined;
	#queue: AnswerQueue | undefined;
	#closesConnection = false;

	/** `isStopping` returns true once callers should move to other entries. */
	constructor(private readonly response: ServerResponse, private readonly isStopping: () => boolean) {
		response.on('close', () => {
			this.#isOver = true;
		});
	}

	/** True while no head has been written and the caller is still connected. */
	get isOpen(): boolean {
		return !this.#isStarted && !this.#isOver;
	}

	/** True while the body of an answer is being written. */
	get canContinue(): boolean {
		return this.#isStarted && !this.#isOver;
	}

	/** True once the answer has ended or the caller has left. */
	get isOver(): boolean {
		return this.#isOver;
	}

	/** Has the connection closed after the entry's own answer. */
	closeConnection(): void {
		this.#closesConnection = true;
	}

	/** Calls the subscriber when the connection closes before the answer is complete. */
	subscribeToCallerGone(subscriber: () => void): void {
		this.response.on('close', () => {
			if (!this.response.writableFinished) {
				subscriber();
			}
		});
	}

	/** Sets the caller for which the answer of a backend server is held; called before such an answer. */
	setCaller(caller: AnswerCaller): void {
		this.#caller = caller;
		this.#queue = new AnswerQueue({
			response: this.response, timer: caller.timer, hold: caller.hold,
			limits: {holdBytes: answerHoldBytes, pauseMs: answerPauseMs, stallMs: caller.stallMs},
			notifyStalled: () => {
				this.cut(untakenReasons.stalled);
			},
			notifyNoRoom: () => {
				this.cut(untakenReasons.noMemory);
			},
		});
	}

	/** True while nothing more is to be read for the caller. */
	get isFull(): boolean {
		return this.#queue?.reader.isFull ?? false;
	}

	/** Decides what to do with the answer that is forwarded; `hasRoom` is false when its latest part was not written. */
	decideReading(now: number, condition: {isResumable: boolean; hasRoom: boolean}): ReadingDecision {
		return this.#queue!.reader.decide(now, condition);
	}

	/** Time for which the answer may stay unread, in ms. */
	computePauseLeftMs(now: number): number {
		return this.#queue!.reader.computePauseLeftMs(now);
	}

	/** Calls the subscriber each time the caller has taken a part and more may be read for it; returns a function that unsubscribes. */
	subscribeToRoom(subscriber: () => void): () => void {
		return this.#queue!.subscribeToRoom(subscriber);
	}

	/** Resolves when the caller has taken everything, or its connection is closed. */
	async waitUntilTaken(): Promise<void> {
		await this.#queue?.waitUntilTaken();
	}

	/** Writes the head of a backend server's answer. */
	start(head: AnswerHead): void {
		this.#isStarted = true;
		writeHead(this.response, {
			status: head.status, statusText: head.statusText, headers: selectAnswerHeaders(head.headers), close: this.isStopping(),
		});
	}

	/** Writes a part of the body; returns false, without writing, when there is no memory for it. */
	write(bytes: Buffer): boolean {
		return this.#isOver || this.#queue!.write(bytes);
	}

	/** Ends an answer whose body was forwarded completely. */
	end(): void {
		this.#isOver = true;
		this.#queue!.end();
	}

	/** Writes the head and the whole body of an answer, and ends it; without memory for the body, closes the connection instead. */
	writeWhole(head: AnswerHead, body: Buffer): void {
		this.start(head);
		this.#isOver = true;
		if (this.#queue!.write(body)) {
			this.#queue!.end();
		} else {
			this.cut(untakenReasons.noMemory);
		}
	}

	/** Closes the connection, so that the answer does not look complete. */
	cut(reason: UntakenReason): void {
		this.#isOver = true;
		this.#caller!.notifyClosed(reason);
		closeIncompleteAnswer(this.response);
	}

	/**
	 * Ends the request with the entry's own answer. If another answer has begun, closes the connection instead, so that the answer
	 * does not look complete.
	 */
	writeOwnAnswer(status: number, headers: OutgoingHttpHeaders): void {
		const wasStarted = this.#isStarted;
		this.#isOver = true;
		if (wasStarted) {
			closeIncompleteAnswer(this.response);
			return;
		}

		writeHead(this.response, {status, headers: {...headers, 'content-length': 0}, close: this.#closesConnection || this.isStopping()});
		this.response.end();
	}
}
