/** Length of the sliding window; the limit is per second. */
const windowMs = 1000;

/** Sliding-window limit on the requests that one entry sends to each cold backend server. */
export class ColdArrivalGate {
	readonly #arrivals = new Map<string, number[]>();

	/** True when this entry's share, in requests per second, allows one more arrival within the last second. */
	hasRoom(serverId: string, now: number, share: number): boolean {
		return this.#listRecent(serverId, now).length < share;
	}

	/** Counts one arrival; false when this entry's share is used up. */
	tryConsume(serverId: string, now: number, share: number): boolean {
		if (!this.hasRoom(serverId, now, share)) {
			return false;
		}

		this.#arrivals.set(serverId, [...this.#listRecent(serverId, now), now]);
		return true;
	}

	/** Keeps only the arrivals of the given backend servers; the others no longer exist. */
	retain(serverIds: ReadonlySet<string>): void {
		for (const serverId of this.#arrivals.keys()) {
			if (!serverIds.has(serverId)) {
				this.#arrivals.delete(serverId);
			}
		}
	}

	#listRecent(serverId: string, now: number): number[] {
		return (this.#arrivals.get(serverId) ?? []).filter(time => time > now - windowMs);
	}
}
