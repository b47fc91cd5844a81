import type {ClaimOutcome, ClaimRecord} from '../types/claim.js';
import {
	outcomeKinds, refusalReasons, type OutcomeKind, type RefusalReason,
} from '../types/reasons.js';

/** How far this attempt got with its claim. */
export type ClaimPhase = 'claiming' | 'marking' | 'finishing';

/** One attempt to run a request under a claim. */
export type ClaimAttempt = {
	workspaceId: string;
	/** Digest of method, path and body. */
	bodyDigest: string;
	/** Unique for each attempt. */
	nonce: string;
	entryId: string;
	epoch: string;
	/** The write in progress: creating the claim, marking it dispatched, or storing the outcome. */
	phase: ClaimPhase;
	/** Outcome to store; required in phase `finishing`. */
	outcome?: ClaimOutcome | undefined;
	/** Wall clock time in ms, for `createdAt`. */
	wallNow: number;
	/** True when the session of the entry and epoch named in the existing claim has expired. */
	isHolderGone: boolean;
};

/** Next step; every write is conditional on the version that was read. */
export type ClaimDecision =
	/** Create the claim if it is absent. */
	| {type: 'create'; record: ClaimRecord}
	/** Replace the claim on the version that was read. */
	| {type: 'replace'; record: ClaimRecord}
	/** The claim belongs to this attempt; mark it dispatched before the first byte is sent. */
	| {type: 'mark'; record: ClaimRecord}
	/** The mark is in place; send the request. */
	| {type: 'dispatch'}
	/** Store the outcome. */
	| {type: 'finish'; record: ClaimRecord}
	/** The outcome is stored. */
	| {type: 'done'}
	/** Answer with the stored outcome of an earlier attempt. */
	| {type: 'answer'; outcome: ClaimOutcome}
	| {type: 'refuse'; outcome: OutcomeKind; reason: RefusalReason; retryAfterMs?: number};

/** Time after which a caller asks again for a request that another entry runs. */
const inProgressRetryMs = 1000;

/**
 * Decides the next step from the claim as read from the object API and the phase of this attempt.
 * It is called with the claim as first read, and again with a fresh read after each lost answer.
 */
export const decideClaim = (existing: ClaimRecord | undefined, attempt: ClaimAttempt): ClaimDecision => {
	if (existing?.nonce === attempt.nonce) {
		return decideOwnClaim(existing, attempt);
	}

	if (attempt.phase !== 'claiming') {
		return decideLostClaim(attempt);
	}

	return existing === undefined ? {type: 'create', record: createClaim(attempt)} : decideForeignClaim(existing, attempt);
};

/** Builds the claim of an attempt that has not sent anything. */
export const createClaim = (attempt: ClaimAttempt): ClaimRecord => ({
	workspaceId: attempt.workspaceId,
	bodyDigest: attempt.bodyDigest,
	nonce: attempt.nonce,
	entryId: attempt.entryId,
	epoch: attempt.epoch,
	state: 'claimed',
	createdAt: attempt.wallNow,
});

const decideOwnClaim = (existing: ClaimRecord, attempt: ClaimAttempt): ClaimDecision =>
	ownClaimHandlers[attempt.phase](existing, attempt);

const ownClaimHandlers: Record<ClaimPhase, (existing: ClaimRecord, attempt: ClaimAttempt) => ClaimDecision> = {
	claiming: existing => existing.state === 'claimed' ? createMark(existing) : unknownRefusal,
	marking(existing) {
		if (existing.state === 'claimed') {
			return createMark(existing);
		}

		return existing.state === 'dispatched' ? {type: 'dispatch'} : unknownRefusal;
	},
	finishing(existing, attempt) {
		if (existing.state === 'finished') {
			return {type: 'done'};
		}

		return {type: 'finish', record: {...existing, state: 'finished', outcome: attempt.outcome}};
	},
};

/** Another attempt replaced the claim; with the same key it is the same request, so `not_run` could become wrong. */
const decideLostClaim = (attempt: ClaimAttempt): ClaimDecision => attempt.phase === 'marking' ? inProgressRefusal : unknownRefusal;

const decideForeignClaim = (existing: ClaimRecord, attempt: ClaimAttempt): ClaimDecision => {
	if (existing.bodyDigest !== attempt.bodyDigest) {
		return {type: 'refuse', outcome: outcomeKinds.notRun, reason: refusalReasons.idempotencyKeyReused};
	}

	if (existing.state === 'finished') {
		return decideFinishedClaim(existing, attempt);
	}

	if (!attempt.isHolderGone) {
		return inProgressRefusal;
	}

	// The mark of the former holder is conditional on the version replaced here, so it cannot dispatch any more.
	return existing.state === 'claimed' ? {type: 'replace', record: createClaim(attempt)} : unknownRefusal;
};

/** A request that was not run may be run by a later attempt with the same key. */
const decideFinishedClaim = (existing: ClaimRecord, attempt: ClaimAttempt): ClaimDecision => {
	const outcome = existing.outcome ?? {kind: outcomeKinds.unknown};
	return outcome.kind === outcomeKinds.notRun ? {type: 'replace', record: createClaim(attempt)} : {type: 'answer', outcome};
};

const createMark = (existing: ClaimRecord): ClaimDecision => ({type: 'mark', record: {...existing, state: 'dispatched'}});

const unknownRefusal: ClaimDecision = {
	type: 'refuse', outcome: outcomeKinds.unknown, reason: refusalReasons.claimOutcomeUnknown,
};

/** The request may be running or be run, so `not_run` would be wrong. */
const inProgressRefusal: ClaimDecision = {
	type: 'refuse', outcome: outcomeKinds.unknown, reason: refusalReasons.claimInProgress, retryAfterMs: inProgressRetryMs,
};
