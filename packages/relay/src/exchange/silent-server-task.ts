import {OverdueAttempts} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';

/** Period in which silent backend servers are looked for, in ms; short against the pause that callers bear. */
const checkMs = 100;

/** An attempt whose silence is followed. */
export type WatchedAttempt = {
	/** Sets the time by which the next bytes are due. */
	postpone: (dueAt: number) => void;
	/** Ends the following; called once the attempt is over. */
	remove: () => void;
};

/** Gives up the attempts on backend servers that have fallen silent. */
export class SilentServerTask {
	readonly #overdue = new OverdueAttempts();
	readonly #cancelCallbacks = new Map<symbol, () => void>();

	/** `reportSilent` is called for each silent backend server, before its attempts are given up. */
	constructor(private readonly timer: TimerService, private readonly reportSilent: (serverId: string) => void) {
		timer.subscribe(checkMs, now => {
			this.#check(now);
		});
	}

	/** Follows an attempt; without `giveUp` it only shows whether its backend server is silent. */
	add(serverId: string, dueAt: number, giveUp: (() => void) | undefined): WatchedAttempt {
		const key = Symbol(serverId);
		this.#overdue.set(key, serverId, dueAt);
		if (giveUp !== undefined) {
			this.#cancelCallbacks.set(key, giveUp);
		}

		return {
			postpone: due => {
				this.#overdue.set(key, serverId, due);
			},
			remove: () => {
				this.#overdue.remove(key);
				this.#cancelCallbacks.delete(key);
			},
		};
	}

	#check(now: number): void {
		const silent = this.#overdue.listSilent(now);
		for (const serverId of new Set(silent.map(attempt => attempt.serverId))) {
			this.reportSilent(serverId);
		}

		for (const {key} of silent) {
			this.#cancelCallbacks.get(key)?.();
		}
	}
}
