import type {EngineReport, EngineRunningRequest, Permit} from '../types/index.js';

/** A permit and the capacity that its attempt holds. */
export type HeldPermit = {
	permit: Permit;
	lane: number;
	kvTokens: number;
	/** Prefill tokens of the attempt until its first token is reported. */
	prefillTokensInFlight: number;
	/** Expected number of generated tokens. */
	decodeTokens: number;
	grantedAt: number;
	firstTokenAt: number | undefined;
	expiresAt: number;
	/** Time to first token in ms that was expected at the grant. */
	expectedFirstTokenMs: number;
	isSuspect: boolean;
	/** Time of the expiry or release; the capacity is kept until a report no longer lists the attempt. */
	abandonedAt: number | undefined;
	/** True once the holder released the permit; later renewals are ignored. */
	isReleased: boolean;
	/** True for a permit of a former owner that is known from a renewal only; its load comes from the engine's reports. */
	isAdopted: boolean;
};

/** Capacity that permits hold; arrays are indexed by lane. */
export type LedgerUsage = {
	kvTokens: number;
	prefillTokens: number;
	laneKvTokens: number[];
	laneConcurrency: number[];
	lanePrefillTokens: number[];
	/** Held permits of suspects; while there is one, nothing else is granted. */
	suspects: number;
};

/** An attempt that the engine lists and for which the ledger holds no permit. */
export type UntrackedAttempt = {
	requestId: string;
	attemptId: string;
	kvTokens: number;
	prefillTokens: number;
	firstSeenAt: number;
};

/** Settings of a ledger. */
export type LedgerOptions = {
	laneCount: number;
	/** Greatest age in ms of the state that a report shows; 0 without reports. */
	reportLagMs: number;
	/** Time in ms for which an untracked attempt is not cancelled, because its holder may still renew its permit. */
	untrackedGraceMs: number;
};

/** An attempt to cancel on the engine. */
export type OrphanedAttempt = {requestId: string; attemptId: string};

const createUsage = (laneCount: number): LedgerUsage => ({
	kvTokens: 0,
	prefillTokens: 0,
	laneKvTokens: Array.from({length: laneCount}, () => 0),
	laneConcurrency: Array.from({length: laneCount}, () => 0),
	lanePrefillTokens: Array.from({length: laneCount}, () => 0),
	suspects: 0,
});

const isPrefilling = (running: EngineRunningRequest): boolean => running.phase === 'queued' || running.phase === 'prefill';

/** Capacity of one backend server held by permits, abandoned attempts, untracked attempts and reservations. */
export class PermitLedger {
	readonly #options: LedgerOptions;
	readonly #held = new Map<string, HeldPermit>();
	readonly #permitIds = new Map<string, string>();
	readonly #untracked = new Map<string, UntrackedAttempt>();
	/** Removal time by attempt id; a report that lags behind may still list the attempt. */
	readonly #ended = new Map<string, number>();
	readonly #usage: LedgerUsage;
	#untrackedKvTokens = 0;
	#untrackedPrefillTokens = 0;
	#reservedKvTokens = 0;
	#earliestExpiry = Number.POSITIVE_INFINITY;

	constructor(options: LedgerOptions) {
		this.#options = options;
		this.#usage = createUsage(options.laneCount);
	}

	/** KV tokens held by permits, untracked attempts and reservations. */
	get kvTokens(): number {
		return this.#usage.kvTokens + this.#untrackedKvTokens + this.#reservedKvTokens;
	}

	/** Number of attempts that hold capacity, with and without a permit. */
	get concurrency(): number {
		return this.#held.size + this.#untracked.size;
	}

	/** Prefill tokens in flight of attempts with and without a permit. */
	get prefillTokens(): number {
		return this.#usage.prefillTokens + this.#untrackedPrefillTokens;
	}

	/** Capacity that permits hold; untracked attempts and reservations are not included. */
	get usage(): Readonly<LedgerUsage> {
		return this.#usage;
	}

	/** Permit by id; `undefined` when it holds no capacity. */
	get(permitId: string): HeldPermit | undefined {
		return this.#held.get(permitId);
	}

	/** Permit by attempt id; `undefined` when the attempt has none. */
	findByAttempt(attemptId: string): HeldPermit | undefined {
		return this.#held.get(this.#permitIds.get(attemptId) ?? '');
	}

	/** True when an attempt holds a permit or ended recently. */
	isKnown(attemptId: string): boolean {
		return this.#permitIds.has(attemptId) || this.#ended.has(attemptId);
	}

	/** Adds a permit; an untracked attempt with the same id is counted by the permit from now on. */
	add(held: HeldPermit): void {
		this.#removeUntracked(held.permit.attemptId);
		this.#held.set(held.permit.permitId, held);
		this.#permitIds.set(held.permit.attemptId, held.permit.permitId);
		this.#earliestExpiry = Math.min(this.#earliestExpiry, held.expiresAt);
		this.#updateUsage(held, 1);
	}

	/** Adds a permit of a former owner; its load is taken from the reports that list the attempt. */
	addAdopted(permit: Permit, now: number): void {
		const untracked = this.#untracked.get(permit.attemptId);
		this.add({
			permit: {...permit, requestId: untracked?.requestId ?? permit.requestId},
			lane: 0,
			kvTokens: untracked?.kvTokens ?? 0,
			prefillTokensInFlight: untracked?.prefillTokens ?? 0,
			decodeTokens: 0,
			grantedAt: now,
			firstTokenAt: undefined,
			expiresAt: now + permit.lifetimeMs,
			expectedFirstTokenMs: 0,
			isSuspect: false,
			abandonedAt: undefined,
			isReleased: false,
			isAdopted: true,
		});
	}

	/** Removes a permit and frees its capacity. */
	remove(held: HeldPermit, now: number): void {
		this.#held.delete(held.permit.permitId);
		this.#permitIds.delete(held.permit.attemptId);
		this.#updateUsage(held, -1);
		if (this.#options.reportLagMs > 0) {
			this.#ended.set(held.permit.attemptId, now);
		}
	}

	/** Removes everything, because the engine restarted. */
	reset(): void {
		this.#held.clear();
		this.#permitIds.clear();
		this.#untracked.clear();
		this.#ended.clear();
		this.#reservedKvTokens = 0;
		this.#untrackedKvTokens = 0;
		this.#untrackedPrefillTokens = 0;
		this.#earliestExpiry = Number.POSITIVE_INFINITY;
		Object.assign(this.#usage, createUsage(this.#options.laneCount));
	}

	/** Records that the prefill of an attempt is finished. */
	recordFirstToken(held: HeldPermit): void {
		this.#usage.prefillTokens -= held.prefillTokensInFlight;
		this.#usage.lanePrefillTokens[held.lane]! -= held.prefillTokensInFlight;
		held.prefillTokensInFlight = 0;
	}

	/** Extends the lifetime of a permit, also of an expired one; does nothing after its release. */
	renew(held: HeldPermit, expiresAt: number): void {
		if (held.isReleased) {
			return;
		}

		held.expiresAt = expiresAt;
		held.abandonedAt = undefined;
		this.#earliestExpiry = Math.min(this.#earliestExpiry, expiresAt);
	}

	/** Marks a released permit whose attempt may still run; a later report frees its capacity. */
	recordReleased(held: HeldPermit, now: number): void {
		held.isReleased = true;
		held.abandonedAt ??= now;
	}

	/** Marks the permits that expired since the last call as abandoned and returns them. */
	updateExpired(now: number): HeldPermit[] {
		if (now < this.#earliestExpiry) {
			return [];
		}

		const expired: HeldPermit[] = [];
		this.#earliestExpiry = Number.POSITIVE_INFINITY;
		for (const held of this.#held.values()) {
			if (held.abandonedAt !== undefined) {
				continue;
			}

			if (held.expiresAt <= now) {
				held.abandonedAt = now;
				expired.push(held);
			} else {
				this.#earliestExpiry = Math.min(this.#earliestExpiry, held.expiresAt);
			}
		}

		return expired;
	}

	/** Updates the ledger from a report and returns the running attempts that have no valid permit. */
	reconcileReport(report: EngineReport, now: number): OrphanedAttempt[] {
		const listed = new Map(report.running.map(running => [running.attemptId, running]));
		this.#updateEnded(listed, now);
		this.#updateAdopted(listed);
		const orphans = this.#reconcileHeld(listed, now);
		this.#updateReserved(report);
		return [...orphans, ...this.#reconcileUntracked(listed, now)];
	}

	#reconcileHeld(listed: ReadonlyMap<string, EngineRunningRequest>, now: number): OrphanedAttempt[] {
		const orphans: OrphanedAttempt[] = [];
		for (const held of this.#held.values()) {
			if (held.abandonedAt === undefined) {
				continue;
			}

			const {requestId, attemptId} = held.permit;
			if (listed.has(attemptId)) {
				orphans.push({requestId, attemptId});
			} else if (now - held.abandonedAt >= this.#options.reportLagMs) {
				this.remove(held, now);
			}
		}

		return orphans;
	}

	#reconcileUntracked(listed: ReadonlyMap<string, EngineRunningRequest>, now: number): OrphanedAttempt[] {
		for (const attemptId of this.#untracked.keys()) {
			if (!listed.has(attemptId)) {
				this.#removeUntracked(attemptId);
			}
		}

		const orphans: OrphanedAttempt[] = [];
		for (const running of listed.values()) {
			const endedAt = this.#ended.get(running.attemptId);
			const isRecentlyEnded = endedAt !== undefined && now - endedAt < this.#options.reportLagMs;
			if (this.#permitIds.has(running.attemptId) || isRecentlyEnded) {
				continue;
			}

			const untracked = this.#updateUntracked(running, now);
			if (endedAt !== undefined || now - untracked.firstSeenAt >= this.#options.untrackedGraceMs) {
				orphans.push({requestId: untracked.requestId, attemptId: untracked.attemptId});
			}
		}

		return orphans;
	}

	#updateUntracked(running: EngineRunningRequest, now: number): UntrackedAttempt {
		const known = this.#untracked.get(running.attemptId);
		this.#removeUntracked(running.attemptId);
		const untracked: UntrackedAttempt = {
			requestId: running.requestId,
			attemptId: running.attemptId,
			kvTokens: running.kvTokens,
			prefillTokens: isPrefilling(running) ? running.kvTokens : 0,
			firstSeenAt: known?.firstSeenAt ?? now,
		};
		this.#untracked.set(running.attemptId, untracked);
		this.#untrackedKvTokens += untracked.kvTokens;
		this.#untrackedPrefillTokens += untracked.prefillTokens;
		return untracked;
	}

	#removeUntracked(attemptId: string): void {
		const untracked = this.#untracked.get(attemptId);
		if (untracked !== undefined) {
			this.#untracked.delete(attemptId);
			this.#untrackedKvTokens -= untracked.kvTokens;
			this.#untrackedPrefillTokens -= untracked.prefillTokens;
		}
	}

	#updateAdopted(listed: ReadonlyMap<string, EngineRunningRequest>): void {
		for (const held of this.#held.values()) {
			const running = held.isAdopted ? listed.get(held.permit.attemptId) : undefined;
			if (running !== undefined) {
				this.#updateUsage(held, -1);
				held.permit = {...held.permit, requestId: running.requestId};
				held.kvTokens = running.kvTokens;
				held.prefillTokensInFlight = isPrefilling(running) ? running.kvTokens : 0;
				this.#updateUsage(held, 1);
			}
		}
	}

	/** Sums up the engine's reservations; for a request that holds a permit, the permit already counts the memory. */
	#updateReserved(report: EngineReport): void {
		const requestIds = new Set([...this.#held.values()].map(held => held.permit.requestId));
		this.#reservedKvTokens = 0;
		for (const reservation of report.reservations) {
			this.#reservedKvTokens += requestIds.has(reservation.requestId) ? 0 : reservation.kvTokens;
		}
	}

	#updateEnded(listed: ReadonlyMap<string, EngineRunningRequest>, now: number): void {
		for (const [attemptId, endedAt] of this.#ended) {
			if (now - endedAt >= this.#options.reportLagMs && !listed.has(attemptId)) {
				this.#ended.delete(attemptId);
			}
		}
	}

	#updateUsage(held: HeldPermit, sign: 1 | -1): void {
		const usage = this.#usage;
		usage.kvTokens += sign * held.kvTokens;
		usage.prefillTokens += sign * held.prefillTokensInFlight;
		usage.laneKvTokens[held.lane]! += sign * held.kvTokens;
		usage.laneConcurrency[held.lane]! += sign;
		usage.lanePrefillTokens[held.lane]! += sign * held.prefillTokensInFlight;
		usage.suspects += held.isSuspect ? sign : 0;
	}
}
