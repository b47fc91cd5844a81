import {runAfterInput} from '../exchange/run-after-input.js';

/**
 * Bodies in very small parts, which take turns. One read of 64 KiB has up to 11,000 chunks of one byte, which cost some 30 ms; a
 * crowd would otherwise keep the process from everything else. One of them goes on after each round of the event loop.
 */
export class SmallPartQueue {
	readonly #waiting = new Set<() => void>();
	#isScheduled = false;

	/** Calls the subscriber when it is its turn; returns a function that withdraws it. */
	subscribe(subscriber: () => void): () => void {
		const runTurn = (): void => {
			subscriber();
		};

		this.#waiting.add(runTurn);
		this.#schedule();
		return () => {
			this.#waiting.delete(runTurn);
		};
	}

	#schedule(): void {
		if (!this.#isScheduled && this.#waiting.size > 0) {
			this.#isScheduled = true;
			runAfterInput(() => {
				this.#isScheduled = false;
				this.#runNext();
			});
		}
	}

	#runNext(): void {
		const [turn] = this.#waiting;
		if (turn !== undefined) {
			this.#waiting.delete(turn);
			turn();
		}

		this.#schedule();
	}
}
