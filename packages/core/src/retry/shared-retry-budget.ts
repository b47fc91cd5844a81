/**
 * Bound on repeated arrivals of requests at the backend servers of a service, summed over all entries.
 * A retry after an attempt that was never sent is no repeated arrival and does not count.
 */
export type SharedRetryBound = {
	/** Retries allowed per request of a caller. */
	ratio: number;
	/** Retries allowed in a window without any request. */
	slack: number;
	windowMs: number;
};

/** Share of the bound that an entry uses. The rest is a margin for requests that the bound counts later than this entry does. */
const usedBoundShare = 0.8;

/**
 * Limits the retries of one entry to its share of a bound over all entries, so that entries need no messages to keep the bound.
 * The slack is divided among the entries that may be alive; the ratio applies to each entry's own requests. An earlier process of the
 * entry may have used the share of the slack until it ended, so a process uses it only when that is a window ago.
 */
export class SharedRetryBudget {
	#requests: number[] = [];
	#retries: number[] = [];

	#bound: SharedRetryBound = {ratio: 0, slack: 0, windowMs: 0};

	/** `startedAt` is the start of the process, on the clock of the other times. */
	constructor(private readonly startedAt: number) {}

	/** Sets the bound; without a bound no retry is allowed. */
	setBound(bound: SharedRetryBound): void {
		this.#bound = bound;
	}

	/** Counts a request from a caller, which raises the allowance. */
	recordRequest(now: number): void {
		this.#requests.push(now);
		this.#removeOld(now);
	}

	/** True while the share of this entry allows one more retry. `entries` is the number of entries that may be alive. */
	hasRoom(now: number, entries: number): boolean {
		this.#removeOld(now);
		const {ratio, windowMs} = this.#bound;
		const slack = now - this.startedAt < windowMs ? 0 : this.#bound.slack;
		const allowance = usedBoundShare * ((ratio * this.#requests.length) + (slack / Math.max(1, entries)));
		return this.#retries.length + 1 <= allowance;
	}

	/** Takes one retry; false when the share of this entry is used up. */
	tryConsume(now: number, entries: number): boolean {
		const isAllowed = this.hasRoom(now, entries);
		if (isAllowed) {
			this.#retries.push(now);
		}

		return isAllowed;
	}

	#removeOld(now: number): void {
		const oldest = now - this.#bound.windowMs;
		this.#requests = removeBefore(this.#requests, oldest);
		this.#retries = removeBefore(this.#retries, oldest);
	}
}

const removeBefore = (times: number[], oldest: number): number[] => {
	if (times.length === 0 || times[0]! >= oldest) {
		return times;
	}

	const start = times.findIndex(time => time >= oldest);
	return start === -1 ? [] : times.slice(start);
};
