import {BinaryHeap} from '@knapweedrack/core';

type Event = {at: number; order: number; run: () => void};

/** Discrete-event clock in ms; events of the same time run in the order in which they were scheduled. */
export class VirtualClock {
	readonly #events = new BinaryHeap<Event>((left, right) => left.at - right.at || left.order - right.order);
	#now = 0;
	#order = 0;

	get now(): number {
		return this.#now;
	}

	/** Runs a function at the given time, or at the current time if that has passed. */
	schedule(at: number, run: () => void): void {
		this.#events.add({at: Math.max(at, this.#now), order: this.#order++, run});
	}

	/** Runs a function after a delay in ms. */
	scheduleIn(delayMs: number, run: () => void): void {
		this.schedule(this.#now + delayMs, run);
	}

	/** Runs a function periodically, the first time after `firstMs`; it cannot be cancelled. */
	scheduleEvery(periodMs: number, run: () => void, firstMs = periodMs): void {
		this.scheduleIn(firstMs, () => {
			run();
			this.scheduleEvery(periodMs, run);
		});
	}

	/** Runs events until a condition holds or the time limit is reached. */
	run(until: number, isDone: () => boolean): void {
		for (let next = this.#events.getFirst(); next !== undefined && next.at <= until && !isDone(); next = this.#events.getFirst()) {
			this.#events.removeFirst();
			this.#now = next.at;
			next.run();
		}
	}
}
