import type {OutcomeKind} from './reasons.js';

/** Stored record that reserves the single execution of a non-idempotent request. */
export type ClaimRecord = {
	workspaceId: string;
	/** Digest of method, path and body, to detect an idempotency key that is reused for another request. */
	bodyDigest: string;
	/** Identifies the attempt that wrote the claim; a read after a lost answer shows whether its own write succeeded. */
	nonce: string;
	entryId: string;
	epoch: string;
	state: 'claimed' | 'dispatched' | 'finished';
	/** Wall clock time in ms at creation. */
	createdAt: number;
	outcome?: ClaimOutcome | undefined;
};

/** Stored answer of a finished claim. */
export type ClaimOutcome = {
	kind: OutcomeKind;
	status?: number | undefined;
	contentType?: string | undefined;
	/** Body as text; undefined when it was too large to keep. */
	body?: string | undefined;
	reason?: string | undefined;
};
