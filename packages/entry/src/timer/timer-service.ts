import {performance} from 'node:perf_hooks';
import type {TimerService} from '../contracts.js';

/** Timer service of the process; `stop` ends all subscriptions, so that the process can exit. */
export type ProcessTimer = TimerService & {stop: () => void};

type SharedInterval = {subscribers: Set<(now: number) => void>; interval: NodeJS.Timeout};

/** Creates the timer service; subscribers of the same period share one interval. */
export const createTimerService = (): ProcessTimer => {
	const intervals = new Map<number, SharedInterval>();
	const timeouts = new Set<NodeJS.Timeout>();
	const now = () => performance.now();

	const openInterval = (periodMs: number): SharedInterval => {
		const subscribers = new Set<(now: number) => void>();
		const interval = setInterval(() => {
			const time = now();
			for (const subscriber of subscribers) {
				subscriber(time);
			}
		}, periodMs);
		const sharedInterval = {subscribers, interval};
		intervals.set(periodMs, sharedInterval);
		return sharedInterval;
	};

	return {
		now,
		subscribe(periodMs, subscriber) {
			const sharedInterval = intervals.get(periodMs) ?? openInterval(periodMs);
			sharedInterval.subscribers.add(subscriber);
			return () => {
				sharedInterval.subscribers.delete(subscriber);
				if (sharedInterval.subscribers.size === 0) {
					clearInterval(sharedInterval.interval);
					intervals.delete(periodMs);
				}
			};
		},
		schedule(delayMs, subscriber) {
			const timeout = setTimeout(() => {
				timeouts.delete(timeout);
				subscriber(now());
			}, delayMs);
			timeouts.add(timeout);
			return () => {
				clearTimeout(timeout);
				timeouts.delete(timeout);
			};
		},
		stop() {
			for (const {interval} of intervals.values()) {
				clearInterval(interval);
			}

			for (const timeout of timeouts) {
				clearTimeout(timeout);
			}

			intervals.clear();
			timeouts.clear();
		},
	};
};

/** Resolves after `delayMs`. */
export const waitFor = async (timer: TimerService, delayMs: number): Promise<void> => new Promise(resolve => {
	timer.schedule(delayMs, () => {
		resolve();
	});
});

/** Runs a call with a signal that aborts after `timeoutMs`; the call itself must end on the signal. */
export const runWithDeadline = async <Value>(
	timer: TimerService, timeoutMs: number, run: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> => {
	const controller = new AbortController();
	const cancel = timer.schedule(timeoutMs, () => {
		controller.abort();
	});
	try {
		return await run(controller.signal);
	} finally {
		cancel();
	}
};
