import {
	computeReaderCount, rankReaders, rankReadersFor, type FeedEntry,
} from './select-readers.js';

/** Sources of the state of the store: the store itself, another entry that reads it, or for a moment the state as it is. */
export const sourceKinds = {store: 'store', reader: 'reader', none: 'none'} as const;

/** One of `sourceKinds`; `isFallback` when the entry reads the store only because it has found no reader. */
export type SourceChoice =
	| {kind: typeof sourceKinds.store; isFallback: boolean}
	| {kind: typeof sourceKinds.reader; readerId: string}
	| {kind: typeof sourceKinds.none};

/** Time for which a reader that failed is not asked again, in ms. */
const failedReaderMs = 3000;
/** The same for a reader that has lost the store, which it may reach again with its next call. */
const lostReaderMs = 400;
/**
 * Shortest and longest time for which an entry waits for a reader to reach the store again before it reads itself, in ms; random,
 * so that the entries do not all call the store at once when it is the store that fails.
 */
const minPatienceMs = 400;
const maxPatienceMs = 900;
/** Shortest and longest time for which an entry that found no reader reads the store itself, in ms; random, so that entries return one by one. */
const minStoreMs = 3000;
const maxStoreMs = 6000;
/** An entry stays with a reader while it is among this multiple of the readers, so that a joining entry moves few followers. */
const keptReaderFactor = 2;

/** What the choice depends on. */
export type SourceInput = {
	now: number;
	self: FeedEntry;
	/** The other entries that run, as far as this entry knows. */
	running: readonly FeedEntry[];
	/** Number of entries that follow this one. */
	followers: number;
	/** Reader that this entry follows now. */
	readerId: string | undefined;
	/** True while this entry reads the store itself without success. */
	isStoreFailing: boolean;
	/** Random number from 0 to 1. */
	random: () => number;
};

const fromStore: SourceChoice = {kind: sourceKinds.store, isFallback: false};
const fromStoreForNow: SourceChoice = {kind: sourceKinds.store, isFallback: true};

/** Decides from where an entry gets the state of the store. */
export class SourceSelector {
	/** Time until which a reader is not asked again, by id. */
	readonly #failedUntil = new Map<string, number>();
	#storeUntil = Number.NEGATIVE_INFINITY;
	/** Time since which no reader is available. */
	#noReaderSince: number | undefined;

	/** Records that a reader was not reached, fell silent, or does not reach the store (`hasLostStore`). */
	recordFailure(readerId: string, now: number, hasLostStore = false): void {
		this.#failedUntil.set(readerId, now + (hasLostStore ? lostReaderMs : failedReaderMs));
	}

	/** Records that a reader has sent its state. */
	recordReached(): void {
		this.#noReaderSince = undefined;
		this.#storeUntil = Number.NEGATIVE_INFINITY;
	}

	/** Returns the source to use now. */
	decide({now, self, running, followers, readerId, isStoreFailing, random}: SourceInput): SourceChoice {
		const fleet = [self, ...running];
		const count = computeReaderCount(fleet.length);
		const order = rankReaders(fleet);
		const readers = order.slice(0, count);
		if (followers > 0 || readers.some(({id}) => id === self.id)) {
			return fromStore;
		}

		if (readerId !== undefined && this.#isAvailable(readerId, now) && order.slice(0, count * keptReaderFactor).some(({id}) => id === readerId)) {
			return {kind: sourceKinds.reader, readerId};
		}

		const next = rankReadersFor(self, readers).find(({id}) => this.#isAvailable(id, now));
		if (now < this.#storeUntil) {
			return isStoreFailing && next !== undefined ? {kind: sourceKinds.reader, readerId: next.id} : fromStoreForNow;
		}

		if (next !== undefined) {
			return {kind: sourceKinds.reader, readerId: next.id};
		}

		this.#noReaderSince ??= now;
		if (now - this.#noReaderSince < minPatienceMs + ((maxPatienceMs - minPatienceMs) * random())) {
			return {kind: sourceKinds.none};
		}

		this.#noReaderSince = undefined;
		this.#storeUntil = now + minStoreMs + ((maxStoreMs - minStoreMs) * random());
		return fromStoreForNow;
	}

	#isAvailable(readerId: string, now: number): boolean {
		return (this.#failedUntil.get(readerId) ?? Number.NEGATIVE_INFINITY) <= now;
	}
}
