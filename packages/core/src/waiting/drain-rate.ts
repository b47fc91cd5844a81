/** Time over which placements count, in ms; long enough for several placements at one request a second. */
const windowMs = 5000;
/** Fewest placements within the window for a rate; fewer scatter too much to refuse a request by them. */
const minSamples = 4;

/** Shortest time of waiting that counts, in ms; a request that is placed at once is in the queue for less. */
const minBusyMs = 1;

/** Rate at which a queue was served lately, in cost per ms; it counts only the time in which requests waited. */
export class DrainRate {
	readonly #samples: Array<{at: number; cost: number}> = [];
	/** Times in which requests waited; the last one has no end while they still do. */
	readonly #busy: Array<{from: number; to: number | undefined}> = [];

	/** Records whether requests wait from now on. */
	recordWaiting(isWaiting: boolean, now: number): void {
		const last = this.#busy.at(-1);
		const wasWaiting = last !== undefined && last.to === undefined;
		if (isWaiting && !wasWaiting) {
			this.#busy.push({from: now, to: undefined});
		} else if (!isWaiting && wasWaiting) {
			last.to = now;
			if (now - last.from < minBusyMs) {
				this.#busy.pop();
			}
		}
	}

	/** Records that a request that waited was placed. */
	record(cost: number, now: number): void {
		this.#samples.push({at: now, cost});
		this.#removeOld(now);
	}

	/** Cost per ms; undefined while too few requests were placed to tell. */
	compute(now: number): number | undefined {
		this.#removeOld(now);
		if (this.#samples.length < minSamples) {
			return undefined;
		}

		const start = now - windowMs;
		let busyMs = 0;
		for (const {from, to = now} of this.#busy) {
			busyMs += Math.max(0, to - Math.max(from, start));
		}

		let cost = 0;
		for (const sample of this.#samples) {
			cost += sample.cost;
		}

		return busyMs > 0 ? cost / busyMs : undefined;
	}

	#removeOld(now: number): void {
		const start = now - windowMs;
		while (this.#samples.length > 0 && this.#samples[0]!.at <= start) {
			this.#samples.shift();
		}

		while (this.#busy.length > 0 && (this.#busy[0]!.to ?? now) <= start) {
			this.#busy.shift();
		}
	}
}
