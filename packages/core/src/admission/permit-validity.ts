import type {Permit} from '../types/index.js';

/** Times until which an entry may start work under the permits it holds. */
export class PermitValidity {
	readonly #validUntil = new Map<string, number>();

	/** Records a permit that was received now. */
	add({permitId, lifetimeMs}: Permit, now: number): void {
		this.#validUntil.set(permitId, now + lifetimeMs);
	}

	/** Records a renewal that the owner confirmed; one sent after the expiry is ignored there and here. */
	renew(permitIds: readonly string[], lifetimeMs: number, sentAt: number): void {
		for (const permitId of permitIds) {
			if (this.isValid(permitId, sentAt)) {
				this.#validUntil.set(permitId, sentAt + lifetimeMs);
			}
		}
	}

	/** Forgets a permit that was returned or that the owner does not know. */
	remove(permitId: string): void {
		this.#validUntil.delete(permitId);
	}

	/** False when the owner may have given the capacity to another request, for example after this process was paused. */
	isValid(permitId: string, now: number): boolean {
		return now < (this.#validUntil.get(permitId) ?? Number.NEGATIVE_INFINITY);
	}
}
