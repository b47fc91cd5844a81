/** What to do with a backend server's answer whose caller may read slowly. */
export const readingDecisions = {
	/** Read on. */
	read: 'read',
	/** Leave the answer unread for now. */
	pause: 'pause',
	/** End the attempt after the last complete event; another one continues when the caller has taken everything. */
	detach: 'detach',
	/** End the answer visibly incomplete. */
	cut: 'cut',
} as const;
/** One of `readingDecisions`. */
export type ReadingDecision = (typeof readingDecisions)[keyof typeof readingDecisions];

/** Limits for one answer. */
export type SlowReaderLimits = {
	/** Bytes not taken by the caller from which on the answer is not read. */
	holdBytes: number;
	/** Longest time for which the answer stays unread, in ms; shorter than the time after which backend servers cut such an answer. */
	pauseMs: number;
	/** Time without a byte taken after which the caller's connection is closed, in ms. */
	stallMs: number;
};

/** The answer at the time of a decision. */
export type AnswerCondition = {
	/** True when another attempt can continue the answer after what was passed on. */
	isResumable: boolean;
	/** False when there is no memory for the part that has just arrived. */
	hasRoom: boolean;
};

/** Follows what a caller has not taken of its answer. All times are on one clock, in ms. */
export class SlowReader {
	#heldBytes = 0;
	/** Time since which the bound has been reached; undefined below it. */
	#fullSince: number | undefined;
	/** Time since which the caller has taken nothing although bytes waited; undefined while none wait. */
	#stalledSince: number | undefined;

	constructor(private readonly limits: SlowReaderLimits) {}

	/** Bytes that the caller has not taken. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** True while no further part is to be read for the caller. */
	get isFull(): boolean {
		return this.#fullSince !== undefined;
	}

	/** Records bytes that wait for the caller. */
	add(bytes: number, now: number): void {
		this.#heldBytes += bytes;
		this.#stalledSince ??= now;
		if (this.#heldBytes >= this.limits.holdBytes) {
			this.#fullSince ??= now;
		}
	}

	/** Records bytes that the caller has taken. */
	take(bytes: number, now: number): void {
		this.#heldBytes = Math.max(0, this.#heldBytes - bytes);
		this.#stalledSince = this.#heldBytes === 0 ? undefined : now;
		if (this.#heldBytes < this.limits.holdBytes) {
			this.#fullSince = undefined;
		}
	}

	/** Decides what to do with the answer; after `detach` and `cut` no further part of this attempt is added. */
	decide(now: number, {isResumable, hasRoom}: AnswerCondition): ReadingDecision {
		if (hasRoom && this.#fullSince === undefined) {
			return readingDecisions.read;
		}

		if (hasRoom && this.computePauseLeftMs(now) > 0) {
			return readingDecisions.pause;
		}

		return isResumable ? readingDecisions.detach : readingDecisions.cut;
	}

	/** Time until a paused answer is detached or cut, in ms; infinite below the bound. */
	computePauseLeftMs(now: number): number {
		return this.#fullSince === undefined ? Number.POSITIVE_INFINITY : Math.max(0, this.#fullSince + this.limits.pauseMs - now);
	}

	/** Time until the caller's connection is closed, in ms; infinite while nothing waits for it. */
	computeStallLeftMs(now: number): number {
		return this.#stalledSince === undefined ? Number.POSITIVE_INFINITY : Math.max(0, this.#stalledSince + this.limits.stallMs - now);
	}
}
