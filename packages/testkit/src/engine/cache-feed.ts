import type {CacheEvent} from '@knapweedrack/protocol';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {CacheChange} from './prefix-cache.js';

/** Events kept for readers; older ones are lost to a reader that is too slow. */
const eventLimit = 10_000;
const perMille = 1000;

/** Options of the cache events. */
export type CacheFeedOptions = {
	/** Delay in ms until an event is shown. */
	delayMs: number;
	/** Share of events that are lost, from 0 to 1. */
	lossRate: number;
	seed: number;
};

/** Prefix cache events, shown late and with gaps; time in ms is passed in. */
export class CacheFeed {
	readonly #options: CacheFeedOptions;
	readonly #random: ReturnType<typeof xoroshiro128plus>;
	#events: Array<{visibleAt: number; event: CacheEvent}> = [];
	#seq = 0;

	constructor(options: CacheFeedOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
	}

	publish(changes: readonly CacheChange[], now: number): void {
		for (const {kind, blocks} of changes) {
			this.#seq += 1;
			if (uniformInt(this.#random, 0, perMille - 1) >= this.#options.lossRate * perMille) {
				this.#events.push({visibleAt: now + this.#options.delayMs, event: {seq: this.#seq, kind, blocks}});
			}
		}

		if (this.#events.length > eventLimit) {
			this.#events = this.#events.slice(-eventLimit / 2);
		}
	}

	list(after: number, now: number): CacheEvent[] {
		return this.#events
			.filter(({visibleAt: shownAt, event}) => shownAt <= now && event.seq > after)
			.map(({event}) => event);
	}

	/** Starts again after a boot; readers see the new boot id. */
	reset(): void {
		this.#events = [];
		this.#seq = 0;
	}
}
