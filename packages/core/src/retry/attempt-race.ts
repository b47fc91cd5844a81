/**
 * Attempts of one request that run at the same time. The first one that brings the next part of the answer goes on with it, and
 * the others have lost: each of them would bring the same part again. An attempt is never ended for one that has brought nothing.
 */
export class AttemptRace<Attempt> {
	readonly #running = new Set<Attempt>();
	readonly #silent = new Set<Attempt>();
	#claimCount = 0;

	/** Number of parts of the answer that attempts have brought. */
	get claimCount(): number {
		return this.#claimCount;
	}

	/** Attempts that are running. */
	get running(): Attempt[] {
		return [...this.#running];
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
	 * Gives the next part of the answer to a running attempt that has brought it. Returns the other attempts, which have lost and
	 * must be cancelled, or undefined when the attempt has itself lost or ended.
	 */
	claim(attempt: Attempt): Attempt[] | undefined {
		if (!this.#running.has(attempt)) {
			return undefined;
		}

		this.#claimCount++;
		const losers = this.running.filter(other => other !== attempt);
		for (const loser of losers) {
			this.#running.delete(loser);
		}

		this.#silent.delete(attempt);
		return losers;
	}

	/** Records that an attempt brings nothing for too long. */
	recordSilence(attempt: Attempt): void {
		if (this.#running.has(attempt)) {
			this.#silent.add(attempt);
		}
	}
}
