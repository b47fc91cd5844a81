/** What an answer of a backend server said of its limit; `observedAt` is when the answer arrived, at whichever entry. */
export type LimitObservation = {
	serverId: string;
	/** Incarnation of the server; undefined when it does not state it. */
	bootId: string | undefined;
	/** Requests per second from all entries together; undefined when the answer named no limit. */
	requestsPerSecond: number | undefined;
	observedAt: number;
};

/** Lowest rate at which a server is asked, in requests per second; otherwise nobody would learn that its limit has ended. */
export const minRequestsPerSecond = 0.1;

/** Limits of backend servers as of the last known answer of each. */
export class ServerLimitTable {
	readonly #observations = new Map<string, LimitObservation>();

	/** Records an answer; returns true when the limit of the server has changed. Answers without a limit of servers that never named one are not kept. */
	record(observation: LimitObservation): boolean {
		const known = this.#observations.get(observation.serverId);
		const isSameBoot = known?.bootId === observation.bootId;
		if (known === undefined && observation.requestsPerSecond === undefined) {
			return false;
		}

		if (known !== undefined && known.observedAt >= observation.observedAt) {
			return false;
		}

		this.#observations.set(observation.serverId, observation);
		return !isSameBoot || known?.requestsPerSecond !== observation.requestsPerSecond;
	}

	/** Returns the limit of an incarnation of a server with the time of the answer that named it; undefined without a limit. */
	getLimit(serverId: string, bootId: string | undefined): {requestsPerSecond: number; observedAt: number} | undefined {
		const known = this.#observations.get(serverId);
		return known?.requestsPerSecond === undefined || known.bootId !== bootId
			? undefined
			: {requestsPerSecond: Math.max(minRequestsPerSecond, known.requestsPerSecond), observedAt: known.observedAt};
	}

	/** All observations, also those that a limit has ended. */
	list(): LimitObservation[] {
		return [...this.#observations.values()];
	}

	/** Keeps only the observations of the given servers. */
	retain(serverIds: ReadonlySet<string>): void {
		for (const serverId of this.#observations.keys()) {
			if (!serverIds.has(serverId)) {
				this.#observations.delete(serverId);
			}
		}
	}
}
