/** One prefilled segment of a prompt that is spread over several engines. */
export type KvSegment = {index: number; tokens: number; digest: string};

/** KV memory set aside for one request. */
export type KvReservation = {
	requestId: string;
	kvTokens: number;
	expiresAt: number;
	/** Tokens held by running work of the request. */
	runningTokens: number;
	segments: Map<number, KvSegment>;
};

/** KV memory of one engine: work without a reservation, and reservations. */
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

	/** Creates or replaces a reservation; false when the memory does not suffice for it. */
	reserve(requestId: string, kvTokens: number, expiresAt: number): boolean {
		const present = this.#reservations.get(requestId);
		const available = this.freeTokens + (present?.kvTokens ?? 0);
		if (kvTokens > available || (present && kvTokens < countHeldTokens(present))) {
			return false;
		}

		this.#reservedTokens += kvTokens - (present?.kvTokens ?? 0);
		this.#reservations.set(requestId, present
			? Object.assign(present, {kvTokens, expiresAt})
			: {
				requestId, kvTokens, expiresAt, runningTokens: 0, segments: new Map(),
			});
		return true;
	}

	/** Frees a reservation with its segments. */
	release(requestId: string): boolean {
		const present = this.#reservations.get(requestId);
		if (!present) {
			return false;
		}

		this.#reservedTokens -= present.kvTokens;
		this.#reservations.delete(requestId);
		return true;
	}

	/** Takes memory for running work, from the reservation of its request when there is one. */
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

	/** Returns memory of running work. */
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

	/** Keeps a prefilled segment; its memory passes from the running work to the segment. */
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
