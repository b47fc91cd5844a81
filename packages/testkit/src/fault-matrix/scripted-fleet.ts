import {
	AdmissionPoint, type BackendServerProfile, type ClaimRecord, type EngineReport,
} from '@knapweedrack/core';

/** Result of a conditional write; `unknown` when the write took effect but its answer was lost. */
export type PutResult = 'written' | 'mismatch' | 'unknown' | 'down';

/** Fake of the object API that stores one claim object. */
export class ScriptedStore {
	isDown = false;
	/** Whether the next write takes effect without an answer. */
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

/** Fake backend server, together with the admission point of its owner. */
export class ScriptedServer {
	boot = 1;
	isDown = false;
	executions = 0;
	/** Request ids of the running work, by attempt id. */
	readonly running = new Map<string, string>();
	readonly reservations = new Set<string>();
	admissionPoint: AdmissionPoint;
	readonly #profile: BackendServerProfile;

	constructor(readonly id: string, readonly failureDomain: string, private readonly isEngine: boolean) {
		this.#profile = {
			id, kvTokens: 100_000, prefillTokensPerSecond: 20_000, maxConcurrency: 8, coldConcurrency: 2, coldPrefillTokens: 8000,
		};
		this.admissionPoint = this.createAdmissionPoint(1);
	}

	/** Creates the admission point of a new owner with the given fencing number. */
	createAdmissionPoint(fencingNumber: number): AdmissionPoint {
		return new AdmissionPoint(this.#profile, {fencingNumber, hasReports: this.isEngine});
	}

	/** Replaces the process by a new boot, which is cold and has neither work nor reservations. */
	restart(): void {
		this.boot++;
		this.running.clear();
		this.reservations.clear();
	}

	/** Sends a load report to the owner, which cancels work whose permit was not renewed. A plain service has no reports; its owner handles a tick instead. */
	report(now: number): void {
		const event = this.isEngine ? {type: 'report' as const, report: this.#buildReport()} : {type: 'tick' as const};
		for (const command of this.admissionPoint.handle(event, now)) {
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
