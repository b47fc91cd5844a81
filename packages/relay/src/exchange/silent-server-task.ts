import {OverdueAttempts} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {runAfterInput} from './run-after-input.js';

/** Interval between checks for silent backend servers, in ms; much shorter than the inter-token latency that callers tolerate. */
const checkMs = 100;

/** What a watched attempt belongs to. */
export type AttemptOwner = {serverId: string; requestId: string | undefined};

/** A silent backend server with the ids of the requests whose bytes are overdue; `isNew` is false once it was reported. */
export type SilenceReport = {serverId: string; requestIds: Array<string | undefined>; isNew: boolean};

/** Handle of an attempt that the task watches. */
export type WatchedAttempt = {
	/** Sets the time by which the next bytes are due, on the clock of the timer service. */
	postpone: (dueAt: number) => void;
	/** No bytes are due until `postpone` is called: the attempt does not count while this process reads nothing from it. */
	pause: () => void;
	/** Stops watching; must be called once the attempt has ended. */
	remove: () => void;
};

type Subscriber = {requestId: string | undefined; notifySilent: (() => void) | undefined};

/** Notifies the attempts on silent backend servers. A server is silent while the bytes due from all of its attempts are overdue. */
export class SilentServerTask {
	readonly #overdue = new OverdueAttempts();
	readonly #subscribers = new Map<symbol, Subscriber>();
	#silentServerIds: ReadonlySet<string> = new Set();

	/** `reportSilent` is called at each check for each silent backend server before its attempts are notified. */
	constructor(timer: TimerService, private readonly reportSilent: (report: SilenceReport) => void) {
		timer.subscribe(checkMs, now => {
			if (this.#overdue.listSilent(now).length > 0) {
				runAfterInput(() => {
					this.#notifySilent(timer.now());
				});
			} else {
				this.#silentServerIds = new Set();
			}
		});
	}

	/**
	 * Watches an attempt. `notifySilent` is called at each check while its backend server is silent; without it, the attempt only
	 * counts for whether the server is.
	 */
	add({serverId, requestId}: AttemptOwner, dueAt: number, notifySilent: (() => void) | undefined): WatchedAttempt {
		const key = Symbol(serverId);
		this.#overdue.set(key, serverId, dueAt);
		this.#subscribers.set(key, {requestId, notifySilent});
		return {
			postpone: due => {
				this.#overdue.set(key, serverId, due);
			},
			pause: () => {
				this.#overdue.remove(key);
			},
			remove: () => {
				this.#overdue.remove(key);
				this.#subscribers.delete(key);
			},
		};
	}

	#notifySilent(now: number): void {
		const silent = this.#overdue.listSilent(now);
		const serverIds = new Set(silent.map(({serverId}) => serverId));
		for (const serverId of serverIds) {
			this.reportSilent({
				serverId,
				requestIds: silent.filter(attempt => attempt.serverId === serverId).map(({key}) => this.#subscribers.get(key)?.requestId),
				isNew: !this.#silentServerIds.has(serverId),
			});
		}

		this.#silentServerIds = serverIds;
		for (const {key} of silent) {
			this.#subscribers.get(key)?.notifySilent?.();
		}
	}
}
