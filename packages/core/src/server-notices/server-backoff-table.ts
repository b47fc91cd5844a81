/** An incarnation of a backend server. */
export type ServerIncarnation = {id: string; /** Undefined when the server does not state it. */ bootId: string | undefined};

/** Why a backend server gets no request now, in ms: time until it may, and time since it asked for that. */
export type ServerHold = {leftMs: number; ageMs: number};

/** Longest backoff that is kept, in ms; a server that asks for more is tried again after this time. */
export const maxBackoffMs = 3_600_000;
/** Time without an answer after which the first request that follows a backoff counts as accepted, in ms; a server rejects a request at once. */
const probeMs = 500;
/** Time after its end for which a backoff without a further request is kept, in ms. */
const forgetMs = 60_000;

type Backoff = {bootId: string | undefined; toldAt: number; until: number; probeSentAt: number | undefined};

/**
 * Backoffs that backend servers have asked this entry for. After the end of one the server gets a single request, and the others
 * only once that is accepted, so that a server which is still in need is not sent all waiting requests.
 */
export class ServerBackoffTable {
	readonly #backoffs = new Map<string, Backoff>();

	/** Number of servers whose backoff is kept. */
	get size(): number {
		return this.#backoffs.size;
	}

	/** Records that a server wants no request for a time; returns whether its backoff ends later than was known. */
	record({id, bootId}: ServerIncarnation, backoffMs: number, {now, ageMs = 0}: {now: number; ageMs?: number}): boolean {
		this.#removeOld(now);
		const known = this.#find({id, bootId});
		const until = now + Math.min(backoffMs, maxBackoffMs);
		if (backoffMs <= 0 || (known !== undefined && known.until >= until)) {
			return false;
		}

		this.#backoffs.set(id, {
			bootId, toldAt: now - ageMs, until, probeSentAt: undefined,
		});
		return true;
	}

	/** True until the backoff of a server has ended. */
	isBackingOff(server: ServerIncarnation, now: number): boolean {
		return (this.#find(server)?.until ?? Number.NEGATIVE_INFINITY) > now;
	}

	/** Why a server gets no request now: it is backing off, or the first request after that is not accepted yet. */
	getHold(server: ServerIncarnation, now: number): ServerHold | undefined {
		const backoff = this.#find(server);
		if (backoff === undefined) {
			return undefined;
		}

		const {until, probeSentAt = Number.NEGATIVE_INFINITY, toldAt} = backoff;
		const leftMs = Math.max(until, probeSentAt + probeMs) - now;
		return leftMs > 0 ? {leftMs, ageMs: now - toldAt} : undefined;
	}

	/** True when the backoff of a server has ended and no request since then is accepted yet. */
	isUnconfirmed(server: ServerIncarnation, now: number): boolean {
		return this.#find(server) !== undefined && !this.isBackingOff(server, now);
	}

	/** Records that a request is sent to a server. */
	recordSent(server: ServerIncarnation, now: number): void {
		const backoff = this.#find(server);
		if (backoff === undefined || backoff.until > now) {
			return;
		}

		if (backoff.probeSentAt === undefined) {
			backoff.probeSentAt = now;
		} else if (now - backoff.probeSentAt >= probeMs) {
			this.#backoffs.delete(server.id);
		}
	}

	/** Records an answer without a backoff to a request that was sent at `sentAt`. */
	recordAccepted(server: ServerIncarnation, sentAt: number): void {
		const backoff = this.#find(server);
		if (backoff !== undefined && sentAt >= backoff.until) {
			this.#backoffs.delete(server.id);
		}
	}

	#find({id, bootId}: ServerIncarnation): Backoff | undefined {
		const backoff = this.#backoffs.get(id);
		return backoff?.bootId === bootId ? backoff : undefined;
	}

	#removeOld(now: number): void {
		for (const [id, {until}] of this.#backoffs) {
			if (now - until > forgetMs) {
				this.#backoffs.delete(id);
			}
		}
	}
}
