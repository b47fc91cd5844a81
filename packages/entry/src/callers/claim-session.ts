import {createHash, randomUUID} from 'node:crypto';
import {
	decideClaim, outcomeKinds, refusalReasons,
	type ClaimDecision, type ClaimOutcome, type ClaimPhase, type ClaimRecord, type RefusalReason,
} from '@knapweedrack/core';
import {deadlineLimitMs, objectKeys} from '@knapweedrack/protocol';
import type {CallerContext} from './caller-context.js';
import {claimRecordSchema} from './claim-record.js';

/** Identity of a request that may be executed at most once. */
export type ClaimSubject = {workspaceId: string; idempotencyKey: string; bodyDigest: string};

/** Result of opening a claim. */
export type ClaimResult =
	| {type: 'owned'}
	/** An earlier request with the same key has ended with this outcome. */
	| {type: 'answer'; outcome: ClaimOutcome}
	| {type: 'refused'; outcome: 'not_run' | 'unknown'; reason: RefusalReason; retryAfterMs?: number | undefined};

type StoredClaim = {record: ClaimRecord; version: number};

const maxClaimRounds = 6;
const storeCallTimeoutMs = 2000;
const maxOutcomeWriteAttempts = 20;
const outcomeWriteRetryMs = 1000;

const storeUnavailableRefusal = {
	type: 'refused', outcome: outcomeKinds.notRun, reason: refusalReasons.claimStoreUnavailable, retryAfterMs: 2000,
} as const;

/** Computes the SHA-256 digest in hex of the parts of a request, to detect a key reused for another request. */
export const hashRequest = (...parts: Array<string | Uint8Array>): string => {
	const hash = createHash('sha256');
	for (const part of parts) {
		hash.update(part).update('\0');
	}

	return hash.digest('hex');
};

/** Builds the object key of the claim for an idempotency key, which is hashed because it may hold any printable character. */
export const buildClaimKey = (workspaceId: string, idempotencyKey: string): string =>
	`${objectKeys.claimPrefix}${workspaceId}/${createHash('sha256').update(idempotencyKey).digest('hex')}`;

/** Claim of one request: an object in the object API that is written conditionally on its version. */
export class ClaimSession {
	readonly #nonce = randomUUID();
	readonly #key: string;
	#stored: StoredClaim | undefined;
	/** True once a write may have taken effect. */
	#isPossiblyWritten = false;

	constructor(private readonly context: CallerContext, private readonly subject: ClaimSubject) {
		this.#key = buildClaimKey(subject.workspaceId, subject.idempotencyKey);
	}

	/** Claims the single execution of the request. */
	async open(): Promise<ClaimResult> {
		this.context.heldClaimNonces.add(this.#nonce);
		const result = await this.#runRounds('claiming', this.#decide('claiming'));
		if (result === storeUnavailableRefusal && this.#isPossiblyWritten) {
			// The claim may have been written although the answer was lost; without an outcome it would block later requests with the same key.
			this.context.runInBackground(async () => this.recordOutcome({kind: outcomeKinds.notRun, reason: refusalReasons.claimStoreUnavailable}));
		} else if (result.type !== 'owned') {
			this.context.heldClaimNonces.delete(this.#nonce);
		}

		return result;
	}

	/** Records in the claim that the request is dispatched; nothing may be sent unless this resolves with `undefined`. */
	async recordDispatch(): Promise<{reason: RefusalReason; retryAfterMs?: number | undefined} | undefined> {
		const result = await this.#runRounds('marking', this.#decide('marking'));
		return result.type === 'owned' ? undefined : this.#describeRefusal(result);
	}

	/**
	 * Stores the outcome; makes up to `maxOutcomeWriteAttempts` attempts while the object API is unavailable. When the listener
	 * closes, at most one more attempt is made.
	 */
	async recordOutcome(outcome: ClaimOutcome): Promise<void> {
		try {
			for (let attempt = 1; attempt <= maxOutcomeWriteAttempts; attempt++) {
				// Without a known version the claim may still exist, so it is read first.
				const isKnown = this.#stored !== undefined || await this.#read();
				const result = isKnown ? await this.#runRounds('finishing', this.#decide('finishing', outcome), outcome) : storeUnavailableRefusal;
				if (result !== storeUnavailableRefusal || this.context.closingSignal.aborted) {
					return;
				}

				await this.context.waitFor(outcomeWriteRetryMs);
			}
		} finally {
			this.context.heldClaimNonces.delete(this.#nonce);
		}
	}

	#describeRefusal(result: Exclude<ClaimResult, {type: 'owned'}>): {reason: RefusalReason; retryAfterMs?: number | undefined} {
		return result.type === 'refused'
			? {reason: result.reason, retryAfterMs: result.retryAfterMs}
			: {reason: refusalReasons.claimInProgress, retryAfterMs: 1000};
	}

	#decide(phase: ClaimPhase, outcome?: ClaimOutcome): ClaimDecision {
		const {record} = this.#stored ?? {};
		return decideClaim(record, {
			...this.subject,
			nonce: this.#nonce,
			entryId: this.context.services.entryId,
			epoch: this.context.epoch,
			phase,
			outcome,
			wallNow: Date.now(),
			isHolderGone: record !== undefined && this.#isHolderGone(record),
		});
	}

	/**
	 * True when the claim is too old or when its entry is not listed. The holder of a claim of this entry is also gone when it
	 * was an earlier run of the process or when its request has ended.
	 */
	#isHolderGone(record: ClaimRecord): boolean {
		const {services, epoch, heldClaimNonces} = this.context;
		// No request lives longer than `deadlineLimitMs`. A wrong clock cannot cause a second execution: before the holder
		// sends the first byte, it records the dispatch, and that write fails once another request has replaced the version.
		if (Date.now() - record.createdAt > deadlineLimitMs) {
			return true;
		}

		if (record.entryId === services.entryId) {
			return record.epoch !== epoch || !heldClaimNonces.has(record.nonce);
		}

		return !services.membership.listEntries(undefined, undefined).entries.some(entry => entry.entryId === record.entryId);
	}

	async #runRounds(phase: ClaimPhase, first: ClaimDecision, outcome?: ClaimOutcome): Promise<ClaimResult> {
		let decision = first;
		for (let round = 1; round <= maxClaimRounds; round++) {
			const result = this.#toResult(decision, phase);
			if (result !== undefined) {
				return result;
			}

			const written = await this.#write(decision as Extract<ClaimDecision, {record: ClaimRecord}>);
			if (written === 'unavailable') {
				return storeUnavailableRefusal;
			}

			if (written === 'written') {
				return {type: 'owned'};
			}

			if (!await this.#read()) {
				return storeUnavailableRefusal;
			}

			decision = this.#decide(phase, outcome);
		}

		return storeUnavailableRefusal;
	}

	#toResult(decision: ClaimDecision, phase: ClaimPhase): ClaimResult | undefined {
		if (decision.type === 'answer') {
			return {type: 'answer', outcome: decision.outcome};
		}

		if (decision.type === 'refuse') {
			return {
				type: 'refused', outcome: decision.outcome === outcomeKinds.notRun ? outcomeKinds.notRun : outcomeKinds.unknown, reason: decision.reason, retryAfterMs: decision.retryAfterMs,
			};
		}

		const isOwned = decision.type === 'dispatch' || decision.type === 'done' || (decision.type === 'mark' && phase === 'claiming');
		return isOwned ? {type: 'owned'} : undefined;
	}

	async #write({type, record}: Extract<ClaimDecision, {record: ClaimRecord}>): Promise<'written' | 'unavailable' | 'unclear'> {
		const condition = type === 'create' ? {create: true} as const : {version: this.#stored!.version};
		const result = await this.context.services.store.put(this.#key, record, condition, {timeoutMs: storeCallTimeoutMs});
		this.#isPossiblyWritten ||= result.ok || result.error.kind === 'unknown';
		if (result.ok) {
			this.#stored = {record, version: result.value.version};
			return 'written';
		}

		// After an unknown result the write may have taken effect. A version mismatch can also come from a retry of the same write.
		// Reading the object resolves both.
		return result.error.kind === 'unknown' || result.error.kind === 'version_mismatch' || result.error.kind === 'not_found' ? 'unclear' : 'unavailable';
	}

	async #read(): Promise<boolean> {
		const result = await this.context.services.store.get(this.#key, {timeoutMs: storeCallTimeoutMs});
		if (!result.ok) {
			this.#stored = undefined;
			return result.error.kind === 'not_found';
		}

		const parsed = claimRecordSchema.safeParse(result.value.value);
		if (!parsed.success) {
			return false;
		}

		this.#stored = {record: parsed.data, version: result.value.version};
		return true;
	}
}
