import {chainLimit} from './crash-register.js';
import type {CrashCause} from './find-crash-causes.js';

/** Whether a request may be sent to a backend server. */
export const contentDecisions = {
	run: 'run',
	/** Only once at a time, at one entry, until it completes or ends another server. */
	trial: 'trial',
	refuse: 'refuse',
} as const;
/** Value of `contentDecisions`. */
export type ContentDecision = (typeof contentDecisions)[keyof typeof contentDecisions];

/**
 * Decides whether a request with the given fingerprints may run. It is refused only when it has all fingerprints of a cause: one that has
 * some of them shows, when it completes or ends a server, which of them is the cause.
 */
export const decideContent = (fingerprints: readonly string[], causes: readonly CrashCause[]): ContentDecision => {
	const own = new Set(fingerprints);
	let decision: ContentDecision = contentDecisions.run;
	for (const cause of causes) {
		const shared = cause.fingerprints.filter(fingerprint => own.has(fingerprint));
		if (shared.length === cause.fingerprints.length && cause.chainLength >= chainLimit) {
			return contentDecisions.refuse;
		}

		if (shared.length > 0) {
			decision = contentDecisions.trial;
		}
	}

	return decision;
};
