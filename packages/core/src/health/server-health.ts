/** What an attempt on a backend server showed about it. */
export const healthSignals = {
	/** It answered. */
	answered: 'answered',
	/** It did not run the request because it is full. */
	busy: 'busy',
	/** It failed a request that it ran. */
	failed: 'failed',
	/** It broke off. */
	lost: 'lost',
	/** It could not be reached, or another backend server found it gone. */
	unreachable: 'unreachable',
} as const;
/** One of the signs. */
export type HealthSignal = (typeof healthSignals)[keyof typeof healthSignals];

/** Pause after a rejection because of load; engines work off a queued request in about this time. */
const busyPauseMs = 100;
/** Pause after a lost connection, doubled with each further one in a row. */
const lostPauseMs = 250;
/** Pause after a failed connection; an instance that is gone costs each request that tries it a connection time-out. */
const unreachablePauseMs = 1000;
/** Longest pause; a restarted backend server is found again within this time. */
const longestPauseMs = 4000;
/** Weight of the newest sign in the share of failures. */
const failureWeight = 0.2;

type Health = {pausedUntil: number; losses: number; failureShare: number};

/** Health of backend servers as seen in answers; health checks cost a slot and say less. */
export class ServerHealth {
	readonly #servers = new Map<string, Health>();

	/** Records a sign of a backend server. */
	record(serverId: string, sign: HealthSignal, now: number): void {
		const health = this.#servers.get(serverId) ?? {pausedUntil: 0, losses: 0, failureShare: 0};
		this.#servers.set(serverId, signHandlers[sign](health, now));
	}

	/** True while the backend server is left out because of a recent sign. */
	isPaused(serverId: string, now: number): boolean {
		return (this.#servers.get(serverId)?.pausedUntil ?? 0) > now;
	}

	/** Recent share of failed requests, from 0 to 1. */
	getFailureShare(serverId: string): number {
		return this.#servers.get(serverId)?.failureShare ?? 0;
	}

	/** Forgets backend servers that no longer exist. */
	retain(serverIds: ReadonlySet<string>): void {
		for (const serverId of this.#servers.keys()) {
			if (!serverIds.has(serverId)) {
				this.#servers.delete(serverId);
			}
		}
	}
}

const computeFailureShare = (share: number, sample: 0 | 1): number => share + (failureWeight * (sample - share));

/** Pauses a backend server, each time for twice as long. */
const pause = (health: Health, now: number, firstPauseMs: number): Health => {
	const losses = health.losses + 1;
	const pauseMs = Math.min(longestPauseMs, firstPauseMs * (2 ** (losses - 1)));
	return {pausedUntil: now + pauseMs, losses, failureShare: computeFailureShare(health.failureShare, 1)};
};

const signHandlers: Record<HealthSignal, (health: Health, now: number) => Health> = {
	answered: health => ({...health, losses: 0, failureShare: computeFailureShare(health.failureShare, 0)}),
	busy: (health, now) => ({...health, pausedUntil: Math.max(health.pausedUntil, now + busyPauseMs)}),
	failed: health => ({...health, losses: 0, failureShare: computeFailureShare(health.failureShare, 1)}),
	lost: (health, now) => pause(health, now, lostPauseMs),
	unreachable: (health, now) => pause(health, now, unreachablePauseMs),
};
