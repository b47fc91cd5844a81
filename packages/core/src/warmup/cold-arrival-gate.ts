const windowMs = 1000;

/** What a cold backend server bears from all entries together. */
export type ColdArrivalLimit = {requestsPerSecond: number; entries: number};

/** Bounds the requests that one entry sends to a cold backend server to its share of what the server bears. */
export class ColdArrivalGate {
	readonly #arrivals = new Map<string, number[]>();

	/** True when the share of this entry leaves room for one more arrival in the present second. */
	hasRoom(serverId: string, now: number, bound: ColdArrivalLimit): boolean {
		return this.#listRecent(serverId, now).length < Math.floor(bound.requestsPerSecond / Math.max(1, bound.entries));
	}

	/** Takes one arrival; false when the share of this entry is used up. */
	tryConsume(serverId: string, now: number, bound: ColdArrivalLimit): boolean {
		if (!this.hasRoom(serverId, now, bound)) {
			return false;
		}

		this.#arrivals.set(serverId, [...this.#listRecent(serverId, now), now]);
		return true;
	}

	/** Forgets backend servers that no longer exist. */
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
