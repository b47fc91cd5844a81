/** Window over which the balance of a service is computed, in ms. */
const windowMs = 10_000;
const sampleIntervalMs = 1000;

type Sample = {takenAt: number; requests: ReadonlyMap<string, number>};

/** Samples of the open requests of all entries on the backend servers of a service, one a second over the last 10 s. */
export class BalanceWindow {
	#samples: Sample[] = [];

	/** True when the last sample is at least one second old. */
	isDue(now: number): boolean {
		const last = this.#samples.at(-1);
		return last === undefined || now - last.takenAt >= sampleIntervalMs;
	}

	/** Records the known open requests by backend server. */
	record(requests: ReadonlyMap<string, number>, now: number): void {
		this.#samples = [...this.#listRecent(now), {takenAt: now, requests}];
	}

	/** Open requests of the busiest backend server as a multiple of the mean, both over the window; 0 without requests. */
	computeBusiestToMean(now: number): number {
		const sums = new Map<string, number>();
		for (const {requests} of this.#listRecent(now)) {
			for (const [id, count] of requests) {
				sums.set(id, (sums.get(id) ?? 0) + count);
			}
		}

		const counts = [...sums.values()];
		const total = counts.reduce((sum, count) => sum + count, 0);
		return total === 0 ? 0 : Math.max(...counts) * counts.length / total;
	}

	#listRecent(now: number): Sample[] {
		return this.#samples.filter(({takenAt}) => now - takenAt < windowMs);
	}
}
