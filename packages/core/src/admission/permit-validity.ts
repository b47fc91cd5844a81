import type {Permit} from '../types/index.js';

/** Permits that this entry holds, with the time until which it may start work under each. */
export class PermitValidity {
	readonly #validUntil = new Map<string, number>();

	/** Records a permit that was just received. */
	add({permitId, lifetimeMs}: Permit, now: number): void {
		this.#validUntil.set(permitId, now + lifetimeMs);
	}

	/** Records a renewal that the owner confirmed; a renewal sent after the permit expired here is ignored. */
	renew(permitIds: readonly string[], lifetimeMs: number, sentAt: number): void {
		for (const permitId of permitIds) {
			if (this.isValid(permitId, sentAt)) {
				this.#validUntil.set(permitId, sentAt + lifetimeMs);
			}
		}
	}

	/** Removes a permit that was released or that the owner does not know. */
	remove(permitId: string): void {
		this.#validUntil.delete(permitId);
	}

	/** False when the owner may have granted the capacity to another request, for example while this process was paused. */
	isValid(permitId: string, now: number): boolean {
		return now < (this.#validUntil.get(permitId) ?? Number.NEGATIVE_INFINITY);
	}
}
