/** Results of an attempt that show the health of its backend server. */
export const healthSignals = {
	/** The server answered. */
	answered: 'answered',
	/** The server did not run the request because it is full. */
	busy: 'busy',
	/** The server failed a request that it ran. */
	failed: 'failed',
	/** The attempt broke off: the connection was lost, the answer was unusable or no answer arrived in time. */
	lost: 'lost',
	/** The server could not be reached, or another backend server could not use it as a helper. */
	unreachable: 'unreachable',
} as const;
/** Value of `healthSignals`. */
export type HealthSignal = (typeof healthSignals)[keyof typeof healthSignals];

/** Pause after a rejection because of load, in ms; engines finish a queued request in about this time. */
const busyPauseMs = 100;
/** Pause after an attempt that broke off, in ms; doubles with each further loss in a row. */
const lostPauseMs = 250;
/**
 * Pause after a failed connection attempt, in ms; doubles like `lostPauseMs`. It is longer, because each request that tries an
 * instance that is gone waits for a connect timeout.
 */
const unreachablePauseMs = 1000;
/** Longest pause, in ms; a restarted backend server is used again within this time. */
const maxPauseMs = 4000;
/** Weight of the newest signal in the moving average of failures. */
const failureWeight = 0.2;
/** Time without a signal after which a share of failures counts half, in ms: a server that gets no requests because of it cannot lower it. */
const failureHalfLifeMs = 4000;

type Health = {pausedUntil: number; losses: number; failureShare: number; changedAt: number};

/** Health of backend servers, derived from the results of requests. Active health checks would cost a slot and show less. */
export class ServerHealth {
	readonly #servers = new Map<string, Health>();

	/** Records a health signal of a backend server. */
	record(serverId: string, signal: HealthSignal, now: number): void {
		const health = this.#servers.get(serverId) ?? {
			pausedUntil: 0, losses: 0, failureShare: 0, changedAt: now,
		};
		this.#servers.set(serverId, signalHandlers[signal]({...health, failureShare: this.getFailureShare(serverId, now), changedAt: now}, now));
	}

	/** True while the backend server should be avoided because of a recent signal. */
	isPaused(serverId: string, now: number): boolean {
		return (this.#servers.get(serverId)?.pausedUntil ?? 0) > now;
	}

	/** Moving average of the share of requests that failed, from 0 to 1; falls while no signal comes. */
	getFailureShare(serverId: string, now: number): number {
		const health = this.#servers.get(serverId);
		return health === undefined ? 0 : health.failureShare * (0.5 ** ((now - health.changedAt) / failureHalfLifeMs));
	}

	/** Removes all backend servers except those given, so that servers that no longer exist use no memory. */
	retain(serverIds: ReadonlySet<string>): void {
		for (const serverId of this.#servers.keys()) {
			if (!serverIds.has(serverId)) {
				this.#servers.delete(serverId);
			}
		}
	}
}

const computeFailureShare = (share: number, sample: 0 | 1): number => share + (failureWeight * (sample - share));

/** Pauses a backend server, for twice as long with each loss or failed connection in a row. */
const pause = (health: Health, now: number, firstPauseMs: number): Health => {
	const losses = health.losses + 1;
	const pauseMs = Math.min(maxPauseMs, firstPauseMs * (2 ** (losses - 1)));
	return {
		...health, pausedUntil: now + pauseMs, losses, failureShare: computeFailureShare(health.failureShare, 1),
	};
};

const signalHandlers: Record<HealthSignal, (health: Health, now: number) => Health> = {
	answered: health => ({...health, losses: 0, failureShare: computeFailureShare(health.failureShare, 0)}),
	busy: (health, now) => ({...health, pausedUntil: Math.max(health.pausedUntil, now + busyPauseMs)}),
	failed: health => ({...health, losses: 0, failureShare: computeFailureShare(health.failureShare, 1)}),
	lost: (health, now) => pause(health, now, lostPauseMs),
	unreachable: (health, now) => pause(health, now, unreachablePauseMs),
};
