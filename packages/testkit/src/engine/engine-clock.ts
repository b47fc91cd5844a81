/** Converts real time in ms to the modelled time of an engine, which runs at a scale and can be frozen. */
export class EngineClock {
	readonly #scale: number;
	#frozenMs = 0;
	#frozenSince: number | undefined;

	/** `scale` is modelled ms per real ms. */
	constructor(scale: number) {
		this.#scale = scale;
	}

	get isFrozen(): boolean {
		return this.#frozenSince !== undefined;
	}

	getModelTime(now: number): number {
		return ((this.#frozenSince ?? now) - this.#frozenMs) * this.#scale;
	}

	/** Converts a real duration to a modelled one. */
	toModelDuration(durationMs: number): number {
		return durationMs * this.#scale;
	}

	/** Converts a modelled duration to a real one. */
	toRealDuration(durationMs: number): number {
		return durationMs / this.#scale;
	}

	/** Freezes modelled time. */
	stop(now: number): void {
		this.#frozenSince ??= now;
	}

	/** Resumes modelled time; returns the real duration of the freeze in ms. */
	start(now: number): number {
		const stoppedMs = now - (this.#frozenSince ?? now);
		this.#frozenMs += stoppedMs;
		this.#frozenSince = undefined;
		return stoppedMs;
	}
}
