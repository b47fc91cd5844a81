import type {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {AnswerHead} from '../exchange/attempt.js';
import {closeIncompleteAnswer, selectAnswerHeaders, writeHead} from './caller-answer.js';

/** Writes the answer to one caller request: at most one head, then either a complete body or a visibly aborted connection. */
export class AnswerWriter {
	#isStarted = false;
	#isOver = false;
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

	/** Calls the subscriber each time the write buffer to the caller has drained; returns a function that unsubscribes. */
	subscribeToDrain(subscriber: () => void): () => void {
		this.response.on('drain', subscriber);
		return () => {
			this.response.off('drain', subscriber);
		};
	}

	/** Writes the head of a backend server's answer. */
	start(head: AnswerHead): void {
		this.#isStarted = true;
		writeHead(this.response, {
			status: head.status, statusText: head.statusText, headers: selectAnswerHeaders(head.headers), close: this.isStopping(),
		});
	}

	/** Writes a part of the body; returns false when the caller should drain first. */
	write(bytes: Buffer): boolean {
		return this.#isOver || this.response.write(bytes);
	}

	/** Ends an answer whose body was forwarded completely. */
	end(): void {
		this.#isOver = true;
		this.response.end();
	}

	/** Writes the head and the whole body of an answer, and ends it. */
	writeWhole(head: AnswerHead, body: Buffer): void {
		this.start(head);
		this.#isOver = true;
		this.response.end(body);
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
