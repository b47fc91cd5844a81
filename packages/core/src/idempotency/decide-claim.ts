import type {ClaimOutcome, ClaimRecord} from '../types/claim.js';
import {
	outcomeKinds, refusalReasons, type OutcomeKind, type RefusalReason,
} from '../types/reasons.js';

/** Step of an attempt with its claim: creating it, marking it dispatched, or storing the outcome. */
export type ClaimPhase = 'claiming' | 'marking' | 'finishing';

/** An attempt to run a request under a claim, and what it knows about the current holder of the claim. */
export type ClaimAttempt = {
	workspaceId: string;
	/** Digest of method, path and body. */
	bodyDigest: string;
	/** Unique per attempt; identifies its own claim when it is read back. */
	nonce: string;
	entryId: string;
	epoch: string;
	/** Step whose write is in progress. */
	phase: ClaimPhase;
	/** Outcome to store; required in phase `finishing`. */
	outcome?: ClaimOutcome | undefined;
	/** Current wall clock time in ms, for `createdAt`. */
	wallNow: number;
	/** True when the entry and epoch named in the existing claim no longer run the request, for example because their session expired. */
	isHolderGone: boolean;
};

/** Next step of the attempt. Every write is conditional on the version that was read. */
export type ClaimDecision =
	/** Create the claim, on condition that it is still absent. */
	| {type: 'create'; record: ClaimRecord}
	/** Replace the claim of another attempt. */
	| {type: 'replace'; record: ClaimRecord}
	/** The claim belongs to this attempt; mark it dispatched before the first byte of the request is sent. */
	| {type: 'mark'; record: ClaimRecord}
	/** The claim is marked dispatched; send the request. */
	| {type: 'dispatch'}
	/** Store the outcome in the claim. */
	| {type: 'finish'; record: ClaimRecord}
	/** The outcome is stored. */
	| {type: 'done'}
	/** Answer with the stored outcome of an earlier attempt. */
	| {type: 'answer'; outcome: ClaimOutcome}
	| {type: 'refuse'; outcome: OutcomeKind; reason: RefusalReason; retryAfterMs?: number};

/** Retry delay in ms sent to a caller while another attempt runs the request. */
const inProgressRetryMs = 1000;

/**
 * Decides the next step of an attempt from its phase and the claim as read from the object API.
 * After a write whose reply was lost, it is called again with a fresh read of the claim.
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

/** Creates the claim of an attempt that has not sent any part of the request. */
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

/**
 * Decides after another attempt replaced or removed the claim. The other attempt may run the same request under the same
 * key, so `not_run` could become wrong.
 */
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

	// The previous holder marks its claim conditionally on the version replaced here, so it can no longer dispatch.
	return existing.state === 'claimed' ? {type: 'replace', record: createClaim(attempt)} : unknownRefusal;
};

/** A later attempt with the same key may run a request that was not run; any other stored outcome is final. */
const decideFinishedClaim = (existing: ClaimRecord, attempt: ClaimAttempt): ClaimDecision => {
	const outcome = existing.outcome ?? {kind: outcomeKinds.unknown};
	return outcome.kind === outcomeKinds.notRun ? {type: 'replace', record: createClaim(attempt)} : {type: 'answer', outcome};
};

const createMark = (existing: ClaimRecord): ClaimDecision => ({type: 'mark', record: {...existing, state: 'dispatched'}});

const unknownRefusal: ClaimDecision = {
	type: 'refuse', outcome: outcomeKinds.unknown, reason: refusalReasons.claimOutcomeUnknown,
};

/** The other attempt may run the request now or later, so `not_run` would be wrong. */
const inProgressRefusal: ClaimDecision = {
	type: 'refuse', outcome: outcomeKinds.unknown, reason: refusalReasons.claimInProgress, retryAfterMs: inProgressRetryMs,
};
