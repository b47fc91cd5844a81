import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {SlowReader, type MemoryHold, type SlowReaderLimits} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {runAfterInput} from '../exchange/run-after-input.js';

/** Bytes that are written to a response at once, so that each part that its caller takes is seen. */
const pieceBytes = 64 * 1024;

/** Dependencies of an answer queue. */
export type AnswerQueueOptions = {
	response: ServerResponse;
	timer: TimerService;
	limits: SlowReaderLimits;
	/** Memory for the bytes that the caller has not taken; released with the queue. */
	hold: MemoryHold;
	/** Called once when the caller has taken nothing for `limits.stallMs`. */
	notifyStalled: () => void;
	/** Called when there is no memory for a part that was written and that the caller has not taken. */
	notifyNoRoom: () => void;
};

/** Bytes of an answer on their way to its caller, held in the ledger until the operating system has taken them. */
export class AnswerQueue {
	readonly #options: AnswerQueueOptions;
	readonly #reader: SlowReader;
	readonly #roomSubscribers = new Set<() => void>();
	#parts: Buffer[] = [];
	/** Bytes written to the response since it was last empty; they are held until it is empty again. */
	#writtenBytes = 0;
	#isEnding = false;
	/** Time since which an ended answer waits for its caller; undefined before its end. */
	#endedAt: number | undefined;
	#isOver = false;
	#cancelStallTimer: (() => void) | undefined;
	#cancelHolding: (() => void) | undefined;

	constructor(options: AnswerQueueOptions) {
		this.#options = options;
		this.#reader = new SlowReader(options.limits);
		const {response} = options;
		response.on('drain', () => {
			this.#handleDrain();
		});
		for (const event of ['finish', 'close']) {
			response.once(event, () => {
				this.#release();
			});
		}
	}

	/** What the caller has not taken, for decisions. */
	get reader(): Pick<SlowReader, 'heldBytes' | 'isFull' | 'decide' | 'computePauseLeftMs'> {
		return this.#reader;
	}

	/** Adds a part of the answer; returns false, without any change, when the caller is behind and there is no memory for it. */
	write(bytes: Buffer): boolean {
		const {response, hold} = this.#options;
		if (this.#isOver || bytes.length === 0) {
			return true;
		}

		if (this.#parts.length === 0 && this.#writtenBytes === 0 && response.writableLength + bytes.length <= pieceBytes) {
			this.#writeUnheld(bytes);
			return true;
		}

		if (!hold.tryAdd(bytes.length)) {
			return false;
		}

		this.#reader.add(bytes.length, this.#options.timer.now());
		this.#parts.push(bytes);
		this.#flush();
		this.#watchStall();
		return true;
	}

	/** Ends the answer after the bytes of the queue; the queue is held until the caller has taken them. */
	end(): void {
		this.#isEnding = true;
		if (this.#parts.length === 0 && !this.#isOver) {
			this.#endResponse();
		}
	}

	/** Calls the subscriber each time the caller has taken a part and the queue is below its bound; returns a function that unsubscribes. */
	subscribeToRoom(subscriber: () => void): () => void {
		this.#roomSubscribers.add(subscriber);
		return () => {
			this.#roomSubscribers.delete(subscriber);
		};
	}

	/** Resolves when the caller has taken everything, or its connection is closed. */
	async waitUntilTaken(): Promise<void> {
		return new Promise(resolve => {
			if (this.#isOver || this.#reader.heldBytes === 0) {
				resolve();
				return;
			}

			const unsubscribe = this.subscribeToRoom(() => {
				if (this.#isOver || this.#reader.heldBytes === 0) {
					unsubscribe();
					resolve();
				}
			});
		});
	}

	/** Writes bytes that the operating system mostly takes at once; they are held only when it does not. */
	#writeUnheld(bytes: Buffer): void {
		if (!this.#options.response.write(bytes)) {
			this.#scheduleHold();
		}
	}

	/** Holds what is left of unheld bytes after the socket could be written to. */
	#scheduleHold(): void {
		const {response, hold, timer, notifyNoRoom} = this.#options;
		this.#cancelHolding ??= runAfterInput(() => {
			this.#cancelHolding = undefined;
			const bytes = response.writableLength;
			if (this.#isOver || this.#writtenBytes > 0 || bytes === 0) {
				return;
			}

			if (!hold.tryAdd(bytes)) {
				notifyNoRoom();
				return;
			}

			this.#writtenBytes += bytes;
			this.#reader.add(bytes, timer.now());
			this.#watchStall();
		});
	}

	#handleDrain(): void {
		if (this.#isOver) {
			return;
		}

		this.#take(this.#writtenBytes);
		this.#writtenBytes = 0;
		this.#flush();
		if (!this.#reader.isFull) {
			this.#notifyRoom();
		}
	}

	/** Writes pieces while the response takes them at once. */
	#flush(): void {
		const {response} = this.#options;
		while (this.#parts.length > 0 && !response.writableNeedDrain) {
			const part = this.#parts.shift()!;
			const piece = part.subarray(0, pieceBytes);
			if (part.length > pieceBytes) {
				this.#parts.unshift(part.subarray(pieceBytes));
			}

			if (response.write(piece)) {
				this.#take(piece.length);
			} else {
				this.#writtenBytes += piece.length;
			}
		}

		if (this.#isEnding && this.#parts.length === 0) {
			this.#endResponse();
		}
	}

	#endResponse(): void {
		const {response} = this.#options;
		if (response.writableEnded) {
			return;
		}

		response.end();
		this.#endedAt = this.#options.timer.now();
		this.#watchStall();
	}

	#take(bytes: number): void {
		if (bytes > 0) {
			this.#options.hold.remove(bytes);
			this.#reader.take(bytes, this.#options.timer.now());
		}
	}

	#notifyRoom(): void {
		for (const subscriber of this.#roomSubscribers) {
			subscriber();
		}
	}

	/** Watches until the caller has taken all bytes that wait now, and an ended answer until it has finished. */
	#watchStall(): void {
		const leftMs = this.#computeStallLeftMs();
		if (this.#cancelStallTimer === undefined && !this.#isOver && leftMs !== Number.POSITIVE_INFINITY) {
			this.#cancelStallTimer = this.#options.timer.schedule(leftMs, () => {
				// After the process was busy, what the caller has taken meanwhile is seen first.
				this.#cancelStallTimer = runAfterInput(() => {
					this.#checkStall();
				});
			});
		}
	}

	#computeStallLeftMs(): number {
		const {timer, limits} = this.#options;
		const now = timer.now();
		return this.#reader.heldBytes === 0 && this.#endedAt !== undefined
			? Math.max(0, this.#endedAt + limits.stallMs - now)
			: this.#reader.computeStallLeftMs(now);
	}

	#checkStall(): void {
		const {timer, response, notifyStalled} = this.#options;
		this.#cancelStallTimer = undefined;
		// An answer behind another one on its connection can't be taken yet.
		if (response.socket === null) {
			this.#reader.take(0, timer.now());
			this.#endedAt &&= timer.now();
		}

		if (this.#computeStallLeftMs() <= 0) {
			notifyStalled();
		} else {
			this.#watchStall();
		}
	}

	#release(): void {
		this.#isOver = true;
		this.#parts = [];
		this.#cancelStallTimer?.();
		this.#cancelStallTimer = undefined;
		this.#cancelHolding?.();
		this.#options.hold.release();
		this.#notifyRoom();
	}
}
