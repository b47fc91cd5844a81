import type {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {AnswerHead} from '../exchange/attempt.js';
import {selectAnswerHeaders, writeHead} from './caller-answer.js';

/** The answer to one request of a caller: at most one head, and an end that is complete or visibly broken. */
export class AnswerWriter {
	#isStarted = false;
	#isOver = false;

	/** `isStopping`: true once callers should move to other entries. */
	constructor(private readonly response: ServerResponse, private readonly isStopping: () => boolean) {
		response.on('close', () => {
			this.#isOver = true;
		});
	}

	/** True while no head was written and the caller waits. */
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

	/** Calls the subscriber when the caller leaves before the end of the answer. */
	subscribeToCallerGone(subscriber: () => void): void {
		this.response.on('close', () => {
			if (!this.response.writableFinished) {
				subscriber();
			}
		});
	}

	/** Calls the subscriber each time the caller can take more bytes. */
	subscribeToDrain(subscriber: () => void): () => void {
		this.response.on('drain', subscriber);
		return () => {
			this.response.off('drain', subscriber);
		};
	}

	/** Begins to pass on a backend server's answer. */
	start(head: AnswerHead): void {
		this.#isStarted = true;
		writeHead(this.response, {
			status: head.status, statusText: head.statusText, headers: selectAnswerHeaders(head.headers), close: this.isStopping(),
		});
	}

	/** Passes on a part of the body; false when the caller cannot take more for now. */
	write(bytes: Buffer): boolean {
		return this.#isOver || this.response.write(bytes);
	}

	/** Ends an answer that was passed on completely. */
	end(): void {
		this.#isOver = true;
		this.response.end();
	}

	/** Passes on a whole answer at once. */
	writeWhole(head: AnswerHead, body: Buffer): void {
		this.start(head);
		this.#isOver = true;
		this.response.end(body);
	}

	/** Ends with an answer of the entry itself; an answer that has begun is cut instead, so that it does not look complete. */
	writeOwnAnswer(status: number, headers: OutgoingHttpHeaders): void {
		const wasStarted = this.#isStarted;
		this.#isOver = true;
		if (wasStarted) {
			this.response.destroy();
			return;
		}

		writeHead(this.response, {status, headers: {...headers, 'content-length': 0}, close: this.isStopping()});
		this.response.end();
	}
}
