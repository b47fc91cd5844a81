/** Length of the chain of crashes under a fingerprint that an attempt ends when its server has ended. */
export type ChainPosition = {fingerprint: string; chainLength: number};

/** An attempt that ended without an answer, on one incarnation of a backend server. */
export type LostAttempt = {
	/** Fingerprints of the whole request and of the shared parts of its prompt. */
	positions: ChainPosition[];
	attemptId: string;
	serverId: string;
	/** Incarnation of the server; undefined when the server does not state it. */
	bootId: string | undefined;
	/** Time at which the attempt was lost, in ms; undefined when unknown. */
	lostAt?: number | undefined;
};

/** Time after which a lost attempt no longer counts when its server ends, in ms; the store removes a silent server sooner. */
const lostAttemptMs = 10_000;
/** Most lost attempts kept; the oldest are dropped. */
const lostAttemptLimit = 2048;

/** A lost attempt with the time at which it was lost, in ms. */
export type KeptAttempt = LostAttempt & {lostAt: number};

/**
 * Attempts that ended without an answer while it is unknown whether their server has ended. Only an attempt whose server ended
 * counts as a crash: a reset connection, a cut link or a server that answers others does not.
 */
export class LostAttempts {
	readonly #attempts = new Set<KeptAttempt>();
	readonly #unsettled = new Set<KeptAttempt>();

	get size(): number {
		return this.#attempts.size;
	}

	/**
	 * Adds a lost attempt. It is unsettled until the returned function is called, which means that the server is being checked; until
	 * then the attempt counts as a crash for requests at this entry.
	 */
	add(attempt: LostAttempt, now: number): () => void {
		this.#removeOld(now);
		const kept: KeptAttempt = {...attempt, lostAt: now};
		this.#attempts.add(kept);
		this.#unsettled.add(kept);
		if (this.#attempts.size > lostAttemptLimit) {
			const [oldest] = this.#attempts;
			this.#attempts.delete(oldest!);
		}

		return () => {
			this.#unsettled.delete(kept);
		};
	}

	/** Lost attempts whose servers are being checked. */
	listUnsettled(): KeptAttempt[] {
		return [...this.#unsettled].filter(attempt => this.#attempts.has(attempt));
	}

	/** Ids of the servers that lost attempts. */
	listServers(): Set<string> {
		return new Set([...this.#attempts].map(({serverId}) => serverId));
	}

	/** Removes and returns the attempts that were lost on a server that has ended; `bootId` selects all incarnations but the given one. */
	removeEnded(serverId: string, now: number, bootId?: string): KeptAttempt[] {
		this.#removeOld(now);
		const ended = [...this.#attempts].filter(attempt => attempt.serverId === serverId && (bootId === undefined || (attempt.bootId !== undefined && attempt.bootId !== bootId)));
		for (const attempt of ended) {
			this.#attempts.delete(attempt);
		}

		return ended;
	}

	/** Removes the attempts that were lost before a request was sent that the server has answered: it had not ended. */
	removeAnswered(serverId: string, sentAt: number): void {
		for (const attempt of this.#attempts) {
			if (attempt.serverId === serverId && attempt.lostAt < sentAt) {
				this.#attempts.delete(attempt);
			}
		}
	}

	#removeOld(now: number): void {
		for (const attempt of this.#attempts) {
			if (now - attempt.lostAt <= lostAttemptMs) {
				return;
			}

			this.#attempts.delete(attempt);
		}
	}
}
