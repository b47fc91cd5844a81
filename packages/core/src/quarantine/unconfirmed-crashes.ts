import type {FingerprintCrash, FingerprintRecord} from './fingerprint-record.js';

/** Time within which the entry that lost an attempt tells whether the backend server has ended, in ms. */
const confirmationMs = 1500;
/** Most crashes kept; the oldest are dropped. */
const unconfirmedLimit = 2048;

type HeldCrash = {fingerprint: string; crash: FingerprintCrash; heldSince: number};

/**
 * Attempts that another entry lost and reported before it knew whether their backend servers had ended. They restrict no runs while that
 * entry checks the servers, since its connections may only have been reset. They count once it has not told the result in time.
 */
export class UnconfirmedCrashes {
	/** Crashes by fingerprint and attempt, oldest first. */
	readonly #held = new Map<string, HeldCrash>();

	get size(): number {
		return this.#held.size;
	}

	/** Adds crashes; returns those that were not held yet. */
	add(records: readonly FingerprintRecord[], now: number): FingerprintRecord[] {
		return records
			.map(record => ({...record, crashes: record.crashes.filter(crash => this.#tryHold({fingerprint: record.fingerprint, crash, heldSince: now}))}))
			.filter(({crashes}) => crashes.length > 0);
	}

	/** Removes attempts whose backend servers have not ended; returns those that were held. */
	withdraw(attemptIds: readonly string[]): string[] {
		if (attemptIds.length === 0) {
			return [];
		}

		const ids = new Set(attemptIds);
		const held = this.#removeHeld(({crash}) => ids.has(crash.attemptId));
		return [...new Set(held.map(({crash}) => crash.attemptId))];
	}

	/** Removes and returns the crashes of which the other entry has not told in time whether the backend servers have ended. */
	removeOverdue(now: number): FingerprintRecord[] {
		const overdue = this.#removeHeld(({heldSince}) => now - heldSince >= confirmationMs);
		const fingerprints = new Set(overdue.map(({fingerprint}) => fingerprint));
		return [...fingerprints].map(fingerprint => ({fingerprint, standing: 'suspect', crashes: overdue.filter(held => held.fingerprint === fingerprint).map(({crash}) => crash)}));
	}

	#tryHold(held: HeldCrash): boolean {
		const key = `${held.fingerprint} ${held.crash.attemptId}`;
		if (this.#held.has(key)) {
			return false;
		}

		this.#held.set(key, held);
		if (this.#held.size > unconfirmedLimit) {
			const [oldest] = this.#held.keys();
			this.#held.delete(oldest!);
		}

		return true;
	}

	#removeHeld(isRemoved: (held: HeldCrash) => boolean): HeldCrash[] {
		const removed = [...this.#held].filter(([, held]) => isRemoved(held));
		for (const [key] of removed) {
			this.#held.delete(key);
		}

		return removed.map(([, held]) => held);
	}
}
