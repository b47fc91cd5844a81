import type {CacheEvent} from '@knapweedrack/protocol';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {CacheChange} from './prefix-cache.js';

/** Number of events kept; a reader that polls too rarely misses older ones. */
const eventLimit = 10_000;
const perMille = 1000;

/** How late and how incompletely cache events become visible. */
export type CacheFeedOptions = {
	/** Delay in ms until an event is visible to readers. */
	delayMs: number;
	/** Share of events that are lost, from 0 to 1. */
	lossRate: number;
	seed: number;
};

/** Publishes prefix cache events late and with gaps; callers pass in the time in ms. */
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
			.filter(({visibleAt, event}) => visibleAt <= now && event.seq > after)
			.map(({event}) => event);
	}

	/** Restarts the sequence numbers after a boot; readers detect this by the new boot id. */
	reset(): void {
		this.#events = [];
		this.#seq = 0;
	}
}
