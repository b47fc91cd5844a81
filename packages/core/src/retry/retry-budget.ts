/** Settings of a retry budget. */
export type RetryBudgetOptions = {
	/** Retries allowed per recent success. */
	share?: number;
	/** Retries allowed per window without any success, so that an idle entry can still retry. */
	minRetries?: number;
	windowMs?: number;
};

type Slot = {index: number; successes: number; retries: number};

const slotCount = 10;

/** Bounds retries to a share of recent successes, so that an outage does not multiply the load. */
export class RetryBudget {
	readonly #share: number;
	readonly #minRetries: number;
	readonly #slotMs: number;
	readonly #slots: Slot[] = Array.from({length: slotCount}, () => ({index: -1, successes: 0, retries: 0}));

	constructor(options: RetryBudgetOptions = {}) {
		this.#share = options.share ?? 0.2;
		this.#minRetries = options.minRetries ?? 3;
		this.#slotMs = (options.windowMs ?? 10_000) / slotCount;
	}

	/** Counts a request that completed. */
	recordSuccess(now: number): void {
		this.#getSlot(now).successes++;
	}

	/** True when one more retry is within the budget. */
	isAvailable(now: number): boolean {
		return this.#countRetries(now) + 1 <= this.#computeAllowance(now);
	}

	/** Takes one retry from the budget; false when it is exhausted. */
	tryConsume(now: number): boolean {
		if (!this.isAvailable(now)) {
			return false;
		}

		this.#getSlot(now).retries++;
		return true;
	}

	#computeAllowance(now: number): number {
		const successes = this.#listRecent(now).reduce((sum, slot) => sum + slot.successes, 0);
		return this.#minRetries + (this.#share * successes);
	}

	#countRetries(now: number): number {
		return this.#listRecent(now).reduce((sum, slot) => sum + slot.retries, 0);
	}

	#listRecent(now: number): Slot[] {
		const oldest = Math.floor(now / this.#slotMs) - slotCount + 1;
		return this.#slots.filter(slot => slot.index >= oldest);
	}

	#getSlot(now: number): Slot {
		const index = Math.floor(now / this.#slotMs);
		const slot = this.#slots[index % slotCount]!;
		if (slot.index !== index) {
			Object.assign(slot, {index, successes: 0, retries: 0});
		}

		return slot;
	}
}
