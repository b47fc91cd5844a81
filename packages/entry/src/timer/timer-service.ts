import {performance} from 'node:perf_hooks';
import type {TimerService} from '../contracts.js';

/** Timer service of the process; `stop` ends all subscriptions, so that the process can exit. */
export type ProcessTimer = TimerService & {stop: () => void};

type SharedInterval = {subscribers: Set<(now: number) => void>; interval: NodeJS.Timeout};

/** Creates the timer service; subscribers of the same period share one interval. */
export const createTimerService = (): ProcessTimer => {
	const periods = new Map<number, SharedInterval>();
	const timeouts = new Set<NodeJS.Timeout>();
	const now = () => performance.now();

	const openPeriod = (periodMs: number): SharedInterval => {
		const subscribers = new Set<(now: number) => void>();
		const interval = setInterval(() => {
			const time = now();
			for (const subscriber of subscribers) {
				subscriber(time);
			}
		}, periodMs);
		const period = {subscribers, interval};
		periods.set(periodMs, period);
		return period;
	};

	return {
		now,
		subscribe(periodMs, subscriber) {
			const period = periods.get(periodMs) ?? openPeriod(periodMs);
			period.subscribers.add(subscriber);
			return () => {
				period.subscribers.delete(subscriber);
				if (period.subscribers.size === 0) {
					clearInterval(period.interval);
					periods.delete(periodMs);
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
			for (const {interval} of periods.values()) {
				clearInterval(interval);
			}

			for (const timeout of timeouts) {
				clearTimeout(timeout);
			}

			periods.clear();
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
