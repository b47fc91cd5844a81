import {
	AdmissionPoint, type BackendServerProfile, type ClaimRecord, type EngineReport,
} from '@knapweedrack/core';

/** Result of a conditional write; `unknown` when the answer is lost. */
export type PutResult = 'written' | 'mismatch' | 'unknown' | 'down';

/** Object API with one claim object. */
export class ScriptedStore {
	isDown = false;
	/** The next write takes effect and its answer is lost. */
	isNextAnswerLost = false;
	record: ClaimRecord | undefined;
	version = 0;

	put(record: ClaimRecord, version: number): PutResult {
		if (this.isDown) {
			return 'down';
		}

		if (version !== this.version) {
			return 'mismatch';
		}

		this.record = record;
		this.version++;
		const isLost = this.isNextAnswerLost;
		this.isNextAnswerLost = false;
		return isLost ? 'unknown' : 'written';
	}
}

/** A backend server with its admission point. */
export class ScriptedServer {
	boot = 1;
	isDown = false;
	executions = 0;
	/** Request ids by attempt id. */
	readonly running = new Map<string, string>();
	readonly reservations = new Set<string>();
	point: AdmissionPoint;
	readonly #profile: BackendServerProfile;

	constructor(readonly id: string, readonly failureDomain: string, private readonly isEngine: boolean) {
		this.#profile = {
			id, kvTokens: 100_000, prefillTokensPerSecond: 20_000, maxConcurrency: 8, coldConcurrency: 2, coldPrefillTokens: 8000,
		};
		this.point = this.createPoint(1);
	}

	/** Creates the admission point of an owner. */
	createPoint(fencingNumber: number): AdmissionPoint {
		return new AdmissionPoint(this.#profile, {fencingNumber, hasReports: this.isEngine});
	}

	/** Ends the process; the next one is cold and has no work. */
	restart(): void {
		this.boot++;
		this.running.clear();
		this.reservations.clear();
	}

	/** Reports to the owner, which cancels work that nobody renews. */
	report(now: number): void {
		const event = this.isEngine ? {type: 'report' as const, report: this.#buildReport()} : {type: 'tick' as const};
		for (const command of this.point.handle(event, now)) {
			if (command.type === 'cancel') {
				this.running.delete(command.attemptId);
			}
		}
	}

	#buildReport(): EngineReport {
		const running = [...this.running].map(([attemptId, requestId]) => ({
			requestId, attemptId, phase: 'decode' as const, kvTokens: 1100,
		}));
		return {
			serverId: this.id, bootId: `boot-${this.boot}`, state: 'live', profile: this.#profile, kvTokensUsed: running.length * 1100, running, reservations: [],
		};
	}
}
