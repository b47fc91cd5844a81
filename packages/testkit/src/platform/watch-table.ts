import {clearTimeout, setTimeout} from 'node:timers';
import {closeConnection, sendJson, type Exchange} from '../http/exchange.js';
import type {ObjectTable} from './object-table.js';

/** A watch of the keys with a prefix that waits for changes after the revision `after`. */
export type Watch = {
	exchange: Exchange;
	prefix: string;
	after: number;
	caller: string | undefined;
	/** True for a watch that gets no events until its timeout, as when the store has lost the watch. */
	isSilent: boolean;
};

/** Selects watches by prefix and caller, and says whether to close their connections or to silence them. */
export type WatchFilter = {
	mode: 'cut' | 'silent';
	prefix: string;
	caller?: string | undefined;
};

/** Holds the watches that wait for a change or for their timeout. */
export class WatchTable {
	readonly #waiting = new Map<Watch, NodeJS.Timeout>();

	get size(): number {
		return this.#waiting.size;
	}

	/** Answers at once when there is a change after the revision of the watch; otherwise holds the watch until `timeoutMs` has passed. */
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

	/** Answers the watches whose prefix matches a changed key. */
	notify(key: string, objects: ObjectTable): void {
		for (const watch of this.#waiting.keys()) {
			if (!watch.isSilent && key.startsWith(watch.prefix) && this.#trySend(watch, objects)) {
				this.#remove(watch);
			}
		}
	}

	/** Closes or silences the waiting watches that a filter selects. */
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
