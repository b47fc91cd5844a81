import type {Permit} from '../types/index.js';

type HeldValidity = {
	validUntil: number;
	/** Highest fencing number of the owners that granted or renewed the permit. */
	fencingNumber: number;
};

/** Permits that this entry holds, with the time until which it may start work under each, and the fencing number for orders. */
export class PermitValidity {
	readonly #held = new Map<string, HeldValidity>();

	/** Records a permit that was just received. */
	add({permitId, lifetimeMs, fencingNumber}: Permit, now: number): void {
		this.#held.set(permitId, {validUntil: now + lifetimeMs, fencingNumber});
	}

	/**
	 * Records a renewal that the owner with this fencing number confirmed; a renewal sent after the permit expired here is ignored.
	 * A new owner takes over the permits of the former one with their ids.
	 */
	renew(permitIds: readonly string[], lifetimeMs: number, sentAt: number, fencingNumber = 0): void {
		for (const permitId of permitIds) {
			const held = this.#held.get(permitId);
			if (held !== undefined && sentAt < held.validUntil) {
				held.validUntil = sentAt + lifetimeMs;
				held.fencingNumber = Math.max(held.fencingNumber, fencingNumber);
			}
		}
	}

	/** Removes a permit that was released or that the owner does not know. */
	remove(permitId: string): void {
		this.#held.delete(permitId);
	}

	/** False when the owner may have granted the capacity to another request, for example while this process was paused. */
	isValid(permitId: string, now: number): boolean {
		return now < (this.#held.get(permitId)?.validUntil ?? Number.NEGATIVE_INFINITY);
	}

	/** Fencing number for orders under a permit; undefined for a permit that is not held. */
	getFencingNumber(permitId: string): number | undefined {
		return this.#held.get(permitId)?.fencingNumber;
	}
}
