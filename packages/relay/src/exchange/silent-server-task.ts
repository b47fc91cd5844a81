import {OverdueAttempts} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';

/** Interval between checks for silent backend servers, in ms; much shorter than the inter-token latency that callers tolerate. */
const checkMs = 100;

/** What a watched attempt belongs to. */
export type AttemptOwner = {serverId: string; requestId: string | undefined};

/** Handle of an attempt that the task watches. */
export type WatchedAttempt = {
	/** Sets the time by which the next bytes are due, on the clock of the timer service. */
	postpone: (dueAt: number) => void;
	/** Stops watching; must be called once the attempt has ended. */
	remove: () => void;
};

/** Cancels the attempts on silent backend servers. A server is silent when the bytes due from all of its attempts are overdue. */
export class SilentServerTask {
	readonly #overdue = new OverdueAttempts();
	readonly #cancelCallbacks = new Map<symbol, () => void>();
	readonly #requestIds = new Map<symbol, string | undefined>();

	/** `reportSilent` is called with the ids of the watched requests for each silent backend server before its attempts are cancelled. */
	constructor(private readonly timer: TimerService, private readonly reportSilent: (serverId: string, requestIds: Array<string | undefined>) => void) {
		timer.subscribe(checkMs, now => {
			this.#check(now);
		});
	}

	/** Watches an attempt; without `cancelAttempt` the attempt only counts for whether its backend server is silent. */
	add({serverId, requestId}: AttemptOwner, dueAt: number, cancelAttempt: (() => void) | undefined): WatchedAttempt {
		const key = Symbol(serverId);
		this.#requestIds.set(key, requestId);
		this.#overdue.set(key, serverId, dueAt);
		if (cancelAttempt !== undefined) {
			this.#cancelCallbacks.set(key, cancelAttempt);
		}

		return {
			postpone: due => {
				this.#overdue.set(key, serverId, due);
			},
			remove: () => {
				this.#overdue.remove(key);
				this.#cancelCallbacks.delete(key);
				this.#requestIds.delete(key);
			},
		};
	}

	#check(now: number): void {
		const silent = this.#overdue.listSilent(now);
		for (const serverId of new Set(silent.map(attempt => attempt.serverId))) {
			this.reportSilent(serverId, silent.filter(attempt => attempt.serverId === serverId).map(({key}) => this.#requestIds.get(key)));
		}

		for (const {key} of silent) {
			this.#cancelCallbacks.get(key)?.();
		}
	}
}
