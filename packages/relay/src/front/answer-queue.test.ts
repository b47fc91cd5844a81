import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import {expect} from 'chai';
import fc from 'fast-check';
import type {MemoryHold} from '@knapweedrack/core';
import {AnswerQueue} from './answer-queue.js';

const highWaterBytes = 16 * 1024;
const pieceBytes = 64 * 1024;
const limits = {holdBytes: 256 * 1024, pauseMs: 300, stallMs: 2000};

/** A response whose caller takes bytes when the test says so. */
class FakeResponse extends EventEmitter { // eslint-disable-line unicorn/prefer-event-target -- As in Node.js.
	socket: object | null = {};
	writableLength = 0;
	writableEnded = false;
	writableNeedDrain = false;
	readonly written: Buffer[] = [];

	write(bytes: Buffer): boolean {
		this.written.push(bytes);
		this.writableLength += bytes.length;
		this.writableNeedDrain = this.writableLength >= highWaterBytes;
		return !this.writableNeedDrain;
	}

	end(): void {
		this.writableEnded = true;
	}

	/** Takes all that was written. */
	take(): void {
		this.writableLength = 0;
		if (this.writableEnded) {
			this.emit('finish');
		} else if (this.writableNeedDrain) {
			this.writableNeedDrain = false;
			this.emit('drain');
		}
	}
}

/** A hold of at most `limit` bytes. */
const createHold = (limit = Number.POSITIVE_INFINITY): MemoryHold & {isReleased: boolean} => {
	const hold = {
		bytes: 0,
		isReleased: false,
		tryAdd(bytes: number): boolean {
			const hasRoom = hold.bytes + bytes <= limit;
			hold.bytes += hasRoom ? bytes : 0;
			return hasRoom;
		},
		remove(bytes: number): void {
			expect(bytes).to.be.at.most(hold.bytes);
			hold.bytes -= bytes;
		},
		release(): void {
			hold.bytes = 0;
			hold.isReleased = true;
		},
	};
	return hold;
};

/** A clock whose timers run when the test moves it on. */
class FakeTimer {
	time = 0;
	#scheduled: Array<{at: number; run: (now: number) => void}> = [];

	now = (): number => this.time;

	subscribe = (): (() => void) => () => undefined;

	schedule = (delayMs: number, run: (now: number) => void): (() => void) => {
		const entry = {at: this.time + delayMs, run};
		this.#scheduled.push(entry);
		return () => {
			this.#scheduled = this.#scheduled.filter(other => other !== entry);
		};
	};

	async advance(durationMs: number): Promise<void> {
		const end = this.time + durationMs;
		for (let next = this.#findNext(end); next !== undefined; next = this.#findNext(end)) {
			this.time = Math.max(this.time, next.at);
			this.#scheduled = this.#scheduled.filter(entry => entry !== next);
			next.run(this.time);
			await passTurn();
		}

		this.time = end;
	}

	#findNext(end: number): {at: number; run: (now: number) => void} | undefined {
		return this.#scheduled.filter(({at}) => at <= end).toSorted((a, b) => a.at - b.at)[0];
	}
}

const passTurn = async (value?: string): Promise<string | undefined> => new Promise(resolve => {
	setImmediate(() => {
		resolve(value);
	});
});

describe('AnswerQueue', () => {
	let response: FakeResponse;
	let timer: FakeTimer;
	let closed: string[];

	const create = (hold: MemoryHold = createHold()): AnswerQueue => new AnswerQueue({
		response: response as unknown as ServerResponse, timer, limits, hold,
		notifyStalled() {
			closed.push('stalled');
			response.emit('close');
		},
		notifyNoRoom() {
			closed.push('noRoom');
			response.emit('close');
		},
	});

	beforeEach(() => {
		response = new FakeResponse();
		timer = new FakeTimer();
		closed = [];
	});

	describe('for a caller that takes its answer', () => {
		// Guards against answers of ordinary callers that depend on the room that a crowd has left in the ledger.
		it('needs no memory', async () => {
			const queue = create(createHold(0));
			for (let count = 0; count < 20; count++) {
				expect(queue.write(Buffer.alloc(30_000))).to.equal(true);
				expect(queue.write(Buffer.alloc(30_000))).to.equal(true);
				response.take();
				await passTurn();
			}

			queue.end();
			response.take();
			await timer.advance(10 * limits.stallMs);
			expect(closed).to.deep.equal([]);
		});
	});

	describe('for a caller that is behind', () => {
		// Guards against bytes that are lost, doubled or in another order, and against memory that is not returned.
		it('passes on every byte in order and returns its memory', async () => {
			const step = fc.record({bytes: fc.integer({min: 1, max: 200_000}), takes: fc.nat(3), waits: fc.boolean()});
			await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 12}), async steps => {
				response = new FakeResponse();
				const hold = createHold();
				const queue = create(hold);
				const expected: Buffer[] = [];
				for (const [index, {bytes, takes, waits}] of steps.entries()) {
					const part = Buffer.alloc(bytes, index + 1);
					expected.push(part);
					expect(queue.write(part)).to.equal(true);
					if (waits) {
						await passTurn();
					}

					for (let count = 0; count < takes; count++) {
						response.take();
					}

					expect(response.writableLength).to.be.at.most(pieceBytes + highWaterBytes);
					expect(hold.bytes).to.equal(queue.reader.heldBytes);
				}

				queue.end();
				while (!response.writableEnded) {
					await passTurn();
					response.take();
				}

				response.take();
				expect(Buffer.concat(response.written).equals(Buffer.concat(expected))).to.equal(true);
				expect(hold.bytes).to.equal(0);
				expect(hold.isReleased).to.equal(true);
			}), {seed: 31, numRuns: 200});
		});

		// Guards against a part that is written although there is no memory for it.
		it('takes no part that the ledger has no room for', async () => {
			const queue = create(createHold(100_000));
			queue.write(Buffer.alloc(60_000));
			await passTurn();
			expect(queue.write(Buffer.alloc(50_000))).to.equal(false);
			expect(queue.write(Buffer.alloc(40_000))).to.equal(true);
			expect(queue.reader.heldBytes).to.equal(100_000);
		});

		// Guards against written bytes that the ledger never counts.
		it('is closed when there is no memory for written bytes that are not taken', async () => {
			const queue = create(createHold(0));
			queue.write(Buffer.alloc(20_000));
			await passTurn();
			expect(closed).to.deep.equal(['noRoom']);
		});

		// Guards against a stream that continues while its caller still has bytes to take, or never.
		it('tells when everything is taken, and when the caller has gone', async () => {
			const queue = create();
			queue.write(Buffer.alloc(100_000));
			const taken = queue.waitUntilTaken();
			response.take();
			expect(await Promise.race([taken, passTurn('waiting')])).to.equal('waiting');
			response.take();
			expect(await Promise.race([taken, passTurn('waiting')])).to.equal(undefined);
			queue.write(Buffer.alloc(100_000));
			const waiting = queue.waitUntilTaken();
			response.emit('close');
			await waiting;
		});
	});

	describe('for a caller that takes nothing', () => {
		// Guards against connections and memory that a caller keeps for ever, and against closing one that takes a part in time.
		it('is stalled after the limit, counted from what was taken last', async () => {
			const queue = create();
			queue.write(Buffer.alloc(200_000));
			await timer.advance(limits.stallMs - 1);
			response.take();
			await timer.advance(limits.stallMs - 1);
			expect(closed).to.deep.equal([]);
			await timer.advance(1);
			expect(closed).to.deep.equal(['stalled']);
		});

		// Guards against a short answer that waits unseen, because it was written without a hold.
		it('is stalled also after a short answer that has ended', async () => {
			const queue = create();
			queue.write(Buffer.alloc(100));
			await timer.advance(5000);
			queue.end();
			await timer.advance(limits.stallMs - 1);
			expect(closed).to.deep.equal([]);
			await timer.advance(1);
			expect(closed).to.deep.equal(['stalled']);
		});

		// Guards against callers that are closed because an answer before this one on their connection takes long.
		it('is not stalled while the answer waits behind another one', async () => {
			response.socket = null;
			const queue = create();
			queue.write(Buffer.alloc(100_000));
			await timer.advance(5 * limits.stallMs);
			expect(closed).to.deep.equal([]);
			response.socket = {};
			await timer.advance(2 * limits.stallMs);
			expect(closed).to.deep.equal(['stalled']);
		});
	});
});
