/** Bound on repeated arrivals at the backend servers of a service, over all entries. */
export type SharedRetryBound = {
	/** Repeated arrivals allowed for each request. */
	ratio: number;
	/** Repeated arrivals allowed in a window without any request. */
	slack: number;
	windowMs: number;
};

/** Share of the bound that an entry uses; the rest covers requests that the bound counts later than this entry does. */
const usedShare = 0.8;

/**
 * Bounds the repetitions of one entry to its share of a common bound, so that no message is needed to keep it.
 * The slack is divided over the entries that may be alive; the ratio holds for each entry's own requests.
 */
export class SharedRetryBudget {
	#requests: number[] = [];
	#repetitions: number[] = [];

	#bound: SharedRetryBound = {ratio: 0, slack: 0, windowMs: 0};

	/** Sets the bound; without one, nothing may be repeated. */
	setBound(bound: SharedRetryBound): void {
		this.#bound = bound;
	}

	/** Counts a request of a caller. */
	recordRequest(now: number): void {
		this.#requests.push(now);
		this.#removeOld(now);
	}

	/** Takes one repetition; false when the share of this entry is used up. */
	tryConsume(now: number, entries: number): boolean {
		this.#removeOld(now);
		const {ratio, slack} = this.#bound;
		const allowance = usedShare * ((ratio * this.#requests.length) + (slack / Math.max(1, entries)));
		if (this.#repetitions.length + 1 > allowance) {
			return false;
		}

		this.#repetitions.push(now);
		return true;
	}

	#removeOld(now: number): void {
		const oldest = now - this.#bound.windowMs;
		this.#requests = removeBefore(this.#requests, oldest);
		this.#repetitions = removeBefore(this.#repetitions, oldest);
	}
}

const removeBefore = (times: number[], oldest: number): number[] => {
	if (times.length === 0 || times[0]! >= oldest) {
		return times;
	}

	const start = times.findIndex(time => time >= oldest);
	return start === -1 ? [] : times.slice(start);
};
