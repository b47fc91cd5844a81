/** Converts real time in ms to the modelled time of an engine. */
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

	/** Stops modelled time. */
	stop(now: number): void {
		this.#frozenSince ??= now;
	}

	/** Continues modelled time; returns the real duration of the stop. */
	start(now: number): number {
		const stoppedMs = now - (this.#frozenSince ?? now);
		this.#frozenMs += stoppedMs;
		this.#frozenSince = undefined;
		return stoppedMs;
	}
}
