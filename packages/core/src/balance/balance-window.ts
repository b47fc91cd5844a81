/** Window over which the balance of a service is computed, in ms. */
const windowMs = 10_000;
const partMs = 1000;

type Part = {startedAt: number; sent: Map<string, number>};

/** Counts the requests that this entry sent to each backend server of a service over the last 10 s. */
export class BalanceWindow {
	#parts: Part[] = [];

	/** Records a request to a backend server. */
	record(serverId: string, now: number): void {
		let part = this.#parts.at(-1);
		if (part === undefined || now - part.startedAt >= partMs) {
			part = {startedAt: now, sent: new Map()};
			this.#parts = [...this.#parts.filter(({startedAt}) => now - startedAt < windowMs), part];
		}

		part.sent.set(serverId, (part.sent.get(serverId) ?? 0) + 1);
	}

	/** Requests to the busiest of the given backend servers as a multiple of the mean; 0 without requests. */
	computeBusiestToMean(serverIds: readonly string[], now: number): number {
		const sums = new Map(serverIds.map(id => [id, 0]));
		for (const {sent} of this.#parts.filter(({startedAt}) => now - startedAt < windowMs)) {
			for (const [id, count] of sent) {
				if (sums.has(id)) {
					sums.set(id, sums.get(id)! + count);
				}
			}
		}

		const counts = [...sums.values()];
		const total = counts.reduce((sum, count) => sum + count, 0);
		return total === 0 ? 0 : Math.max(...counts) * counts.length / total;
	}
}
