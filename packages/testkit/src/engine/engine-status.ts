import type {EngineReport} from '@knapweedrack/core';
import type {EngineClock} from './engine-clock.js';
import type {EngineModel} from './engine-model.js';
import type {EngineOptions} from './engine-options.js';

type EngineLoad = Pick<EngineReport, 'kvTokensUsed' | 'running' | 'reservations'>;

const idleLoad: EngineLoad = {kvTokensUsed: 0, running: [], reservations: []};

/** Builds the status of an engine. The load in it is published periodically and therefore up to one period old; callers pass in real time in ms. */
export class EngineStatus {
	readonly #options: EngineOptions;
	readonly #model: EngineModel;
	readonly #clock: EngineClock;
	/** Load at the last publication. */
	#publishedLoad = idleLoad;

	constructor(options: EngineOptions, model: EngineModel, clock: EngineClock) {
		this.#options = options;
		this.#model = model;
		this.#clock = clock;
	}

	get(now: number, state: {bootId: string; isLeaving: boolean; fencingNumber: number | undefined}): EngineReport {
		const options = this.#options;
		return {
			serverId: options.serverId,
			bootId: state.bootId,
			state: state.isLeaving ? 'leaving' : 'live',
			profile: {
				id: options.serverId,
				kvTokens: options.kvTokens,
				prefillTokensPerSecond: options.prefillTokensPerSecond * options.timeScale,
				maxConcurrency: options.maxConcurrency,
				coldConcurrency: options.coldConcurrency,
				coldPrefillTokens: options.coldPrefillTokens,
			},
			...(options.statusLagMs === 0 ? this.#readLoad(now) : this.#publishedLoad),
			...(state.fencingNumber === undefined ? {} : {fencingNumber: state.fencingNumber}),
		};
	}

	/** Publishes the present load; called once per `statusLagMs`. */
	publish(now: number): void {
		this.#publishedLoad = this.#readLoad(now);
	}

	/** Clears the published load, which belongs to an earlier boot. */
	reset(): void {
		this.#publishedLoad = idleLoad;
	}

	#readLoad(now: number): EngineLoad {
		const modelTime = this.#clock.getModelTime(now);
		return {
			kvTokensUsed: this.#model.kvTokensUsed,
			running: [...this.#model.jobs].map(({work, phase, kvTokens}) => ({
				requestId: work.requestId, attemptId: work.attemptId, phase, kvTokens,
			})),
			reservations: [...this.#model.reservations].map(({requestId, kvTokens, expiresAt}) => ({
				requestId, kvTokens, expiresInMs: this.#clock.toRealDuration(expiresAt - modelTime),
			})),
		};
	}
}
