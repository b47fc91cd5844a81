/** Number of times that the winner brings parts of the answer after which it is trusted to finish it. */
const keptClaimLimit = 32;

/**
 * Attempts of one request that run at the same time. The first one that brings the next part of the answer goes on with it, and
 * the others have lost: each of them would bring the same part again. An attempt is never ended for one that has brought nothing.
 * A loser that could go on is kept beside the winner for a while, in case that the winner breaks off.
 */
export class AttemptRace<Attempt> {
	readonly #running = new Set<Attempt>();
	readonly #silent = new Set<Attempt>();
	/** Kept losers, each with the number of claims after which it is ended. */
	readonly #kept = new Map<Attempt, number>();
	#claimCount = 0;

	/** Number of parts of the answer that attempts have brought. */
	get claimCount(): number {
		return this.#claimCount;
	}

	/** Attempts that are running. */
	get running(): Attempt[] {
		return [...this.#running];
	}

	/** Attempts that have lost and are kept. */
	get kept(): Attempt[] {
		return [...this.#kept.keys()];
	}

	/** True while all running attempts are silent, so that another one may be started beside them. */
	get isSilentThroughout(): boolean {
		return this.#running.size > 0 && this.running.every(attempt => this.#silent.has(attempt));
	}

	/** Adds an attempt that continues the answer where it stands now. */
	add(attempt: Attempt): void {
		this.#running.add(attempt);
	}

	/** Removes an attempt that has ended; the others go on. */
	remove(attempt: Attempt): void {
		this.#running.delete(attempt);
		this.#silent.delete(attempt);
		this.#kept.delete(attempt);
	}

	/** True while an attempt was reported silent and has brought nothing since. */
	isSilent(attempt: Attempt): boolean {
		return this.#silent.has(attempt);
	}

	/** Records that an attempt brings something, if not yet a part of the answer. */
	recordProgress(attempt: Attempt): void {
		this.#silent.delete(attempt);
	}

	/**
	 * Gives the next part of the answer to a running attempt that has brought it. The others have lost; those for which `tryKeep`
	 * returns true are kept. Returns the attempts that must be cancelled, or undefined when the attempt has itself lost or ended.
	 */
	claim(attempt: Attempt, tryKeep: (loser: Attempt) => boolean = () => false): Attempt[] | undefined {
		if (!this.#running.has(attempt)) {
			return undefined;
		}

		this.#claimCount++;
		const ended = this.#removeExpired();
		for (const loser of this.running.filter(other => other !== attempt)) {
			this.#running.delete(loser);
			if (tryKeep(loser)) {
				this.#kept.set(loser, this.#claimCount + keptClaimLimit);
			} else {
				ended.push(loser);
			}
		}

		this.#silent.delete(attempt);
		return ended;
	}

	/** Lets the kept attempts run again, because no other one goes on; returns them. */
	resumeKept(): Attempt[] {
		const {kept} = this;
		this.#kept.clear();
		for (const attempt of kept) {
			this.#running.add(attempt);
		}

		return kept;
	}

	/** Records that an attempt brings nothing for too long. */
	recordSilence(attempt: Attempt): void {
		if (this.#running.has(attempt) || this.#kept.has(attempt)) {
			this.#silent.add(attempt);
		}
	}

	#removeExpired(): Attempt[] {
		const expired = this.kept.filter(attempt => this.#claimCount > this.#kept.get(attempt)!);
		for (const attempt of expired) {
			this.#kept.delete(attempt);
		}

		return expired;
	}
}
