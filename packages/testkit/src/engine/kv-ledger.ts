/** One prefilled segment of a prompt that is spread over several engines. */
export type KvSegment = {index: number; tokens: number; digest: string};

/** KV memory reserved for one request until `expiresAt`, in modelled ms. */
export type KvReservation = {
	requestId: string;
	kvTokens: number;
	expiresAt: number;
	/** Tokens used by running work of the request. */
	runningTokens: number;
	segments: Map<number, KvSegment>;
};

/** Accounts for the KV memory of one engine, which is used by reservations and by work without a reservation. */
export class KvLedger {
	readonly #capacity: number;
	readonly #reservations = new Map<string, KvReservation>();
	#unreservedTokens = 0;
	#reservedTokens = 0;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	get usedTokens(): number {
		return this.#unreservedTokens + this.#reservedTokens;
	}

	get freeTokens(): number {
		return this.#capacity - this.usedTokens;
	}

	get reservations(): Iterable<KvReservation> {
		return this.#reservations.values();
	}

	get(requestId: string): KvReservation | undefined {
		return this.#reservations.get(requestId);
	}

	/** Creates or replaces a reservation; false when too little memory is free, or when the running work and segments need more. */
	reserve(requestId: string, kvTokens: number, expiresAt: number): boolean {
		const existing = this.#reservations.get(requestId);
		const available = this.freeTokens + (existing?.kvTokens ?? 0);
		if (kvTokens > available || (existing && kvTokens < countHeldTokens(existing))) {
			return false;
		}

		this.#reservedTokens += kvTokens - (existing?.kvTokens ?? 0);
		this.#reservations.set(requestId, existing
			? Object.assign(existing, {kvTokens, expiresAt})
			: {
				requestId, kvTokens, expiresAt, runningTokens: 0, segments: new Map(),
			});
		return true;
	}

	/** Frees a reservation with its segments; false when there is none. */
	release(requestId: string): boolean {
		const existing = this.#reservations.get(requestId);
		if (!existing) {
			return false;
		}

		this.#reservedTokens -= existing.kvTokens;
		this.#reservations.delete(requestId);
		return true;
	}

	/** Allocates memory for running work, from the reservation of its request when there is one. */
	add(requestId: string, tokens: number): 'reserved' | 'unreserved' | 'outOfMemory' {
		const reservation = this.#reservations.get(requestId);
		if (!reservation) {
			if (tokens > this.freeTokens) {
				return 'outOfMemory';
			}

			this.#unreservedTokens += tokens;
			return 'unreserved';
		}

		if (tokens > reservation.kvTokens - countHeldTokens(reservation)) {
			return 'outOfMemory';
		}

		reservation.runningTokens += tokens;
		return 'reserved';
	}

	/** Frees the memory of running work; `isReserved` is true when `add` took the memory from a reservation. */
	remove(requestId: string, tokens: number, isReserved: boolean): void {
		if (!isReserved) {
			this.#unreservedTokens -= tokens;
			return;
		}

		const reservation = this.#reservations.get(requestId);
		if (reservation) {
			reservation.runningTokens -= tokens;
		}
	}

	/** Stores a prefilled segment in the reservation of its request; the segment takes over the memory that its work has used. */
	addSegment(requestId: string, segment: KvSegment): void {
		this.#reservations.get(requestId)?.segments.set(segment.index, segment);
	}
}

const countHeldTokens = (reservation: KvReservation): number => {
	let held = reservation.runningTokens;
	for (const {tokens} of reservation.segments.values()) {
		held += tokens;
	}

	return held;
};
