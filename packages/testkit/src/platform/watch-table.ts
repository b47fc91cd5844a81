import {clearTimeout, setTimeout} from 'node:timers';
import {closeConnection, sendJson, type Exchange} from '../http/exchange.js';
import type {ObjectTable} from './object-table.js';

/** A waiting watch. */
export type Watch = {
	exchange: Exchange;
	prefix: string;
	after: number;
	caller: string | undefined;
	/** A silent watch sees no change and ends empty, as when the store lost it. */
	isSilent: boolean;
};

/** Selects the watches to cut. */
export type WatchFilter = {
	mode: 'cut' | 'silent';
	prefix: string;
	caller?: string | undefined;
};

/** Watches that wait for a change. */
export class WatchTable {
	readonly #waiting = new Map<Watch, NodeJS.Timeout>();

	get size(): number {
		return this.#waiting.size;
	}

	/** Answers at once when there is a change after the revision; waits otherwise. */
	open(watch: Watch, timeoutMs: number, objects: ObjectTable): void {
		if (!watch.isSilent && this.#trySend(watch, objects)) {
			return;
		}

		const timer = setTimeout(() => {
			this.#waiting.delete(watch);
			const revision = watch.isSilent ? watch.after : objects.revision;
			sendJson(watch.exchange, 200, {revision, events: []});
		}, timeoutMs);
		timer.unref();
		this.#waiting.set(watch, timer);
		watch.exchange.response.once('close', () => {
			this.#remove(watch);
		});
	}

	/** Answers the watches of a changed key. */
	notify(key: string, objects: ObjectTable): void {
		for (const watch of this.#waiting.keys()) {
			if (!watch.isSilent && key.startsWith(watch.prefix) && this.#trySend(watch, objects)) {
				this.#remove(watch);
			}
		}
	}

	/** Cuts or silences the waiting watches that a filter selects. */
	closeMatching(filter: WatchFilter): void {
		for (const watch of this.#waiting.keys()) {
			if (!watch.prefix.startsWith(filter.prefix) || (filter.caller !== undefined && filter.caller !== watch.caller)) {
				continue;
			}

			if (filter.mode === 'silent') {
				watch.isSilent = true;
				continue;
			}

			this.#remove(watch);
			closeConnection(watch.exchange);
		}
	}

	closeAll(): void {
		for (const watch of this.#waiting.keys()) {
			this.#remove(watch);
			closeConnection(watch.exchange);
		}
	}

	#trySend(watch: Watch, objects: ObjectTable): boolean {
		const result = objects.listChanges(watch.prefix, watch.after);
		if (result.type === 'compacted') {
			sendJson(watch.exchange, 410, {error: 'compacted', message: `changes after revision ${watch.after} are no longer kept`});
			return true;
		}

		if (result.events.length === 0) {
			return false;
		}

		sendJson(watch.exchange, 200, {revision: result.revision, events: result.events});
		return true;
	}

	#remove(watch: Watch): void {
		clearTimeout(this.#waiting.get(watch));
		this.#waiting.delete(watch);
	}
}
