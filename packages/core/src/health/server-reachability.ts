/** Result of opening connections to several backend servers at once. */
export type ProbeResult = {tried: number; reached: number};

/** Shortest time between two probes because of silence, in ms. */
const suspicionIntervalMs = 250;
/** Time between two probes while no server is reached, in ms. */
const recoveryIntervalMs = 500;
/** Probes in a row that must reach most servers before they count as reachable again. */
const recoveryProbeCount = 2;

/**
 * Decides whether this entry reaches backend servers at all. A failure of a server, or its silence, only raises the question: the
 * answer comes from probes of several servers, since one server that fails says nothing about the links of the entry.
 */
export class ServerReachability {
	#isReaching = true;
	#waitingSince: number | undefined;
	#probedAt = Number.NEGATIVE_INFINITY;
	#goodProbes = 0;

	/** `getSilenceLimitMs` returns the time without a byte from any server, while requests wait, after which the servers are probed. */
	constructor(private readonly getSilenceLimitMs: () => number) {}

	/** False after a probe that reached no server, until probes reach most servers again. */
	get isReaching(): boolean {
		return this.#isReaching;
	}

	/** Records that a request was sent to a backend server. */
	recordSent(now: number): void {
		this.#waitingSince ??= now;
	}

	/** Records bytes from a backend server. */
	recordReceived(): void {
		this.#waitingSince = undefined;
	}

	/** True when the servers should be probed without a failed connection: all are silent, or none was reached before. */
	isProbeDue(now: number): boolean {
		return this.#isReaching
			? now - (this.#waitingSince ?? now) >= this.getSilenceLimitMs() && now - this.#probedAt >= suspicionIntervalMs
			: now - this.#probedAt >= recoveryIntervalMs;
	}

	/** Applies the result of a probe. */
	applyProbe({tried, reached}: ProbeResult, now: number): void {
		this.#probedAt = now;
		if (tried === 0) {
			return;
		}

		if (this.#isReaching) {
			this.#isReaching = reached > 0;
			this.#goodProbes = 0;
			// Silence that a probe has explained is not asked about again until a request is sent.
			this.#waitingSince = undefined;
			return;
		}

		this.#goodProbes = reached * 2 > tried ? this.#goodProbes + 1 : 0;
		this.#isReaching = this.#goodProbes >= recoveryProbeCount;
	}
}
