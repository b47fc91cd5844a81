import {chainLimit, crashesPerRecord} from './crash-register.js';
import type {CauseCandidate, CrashCause} from './find-crash-causes.js';

/**
 * Number of servers that must have ended under one candidate without another one before the other no longer explains its crashes. One
 * alone may have ended for another reason.
 */
const separatingServerCount = 2;

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
 * Decides whether a request with the given fingerprints may run. It is refused when no candidate that it does not have explains the
 * crashes of one that it has. Otherwise it shows which of them is the cause when it completes or ends a server.
 */
export const decideContent = (fingerprints: readonly string[], causes: readonly CrashCause[]): ContentDecision => {
	const own = new Set(fingerprints);
	let decision: ContentDecision = contentDecisions.run;
	for (const {candidates, chainLength} of causes) {
		const present = candidates.filter(({fingerprint}) => own.has(fingerprint));
		const absent = candidates.filter(({fingerprint}) => !own.has(fingerprint));
		if (present.length === 0) {
			continue;
		}

		if (chainLength >= chainLimit && absent.every(other => present.some(candidate => isSeparate(candidate, other)))) {
			return contentDecisions.refuse;
		}

		decision = contentDecisions.trial;
	}

	return decision;
};

/** True when the crashes of a candidate are not explained by another one. A full record may lack crashes. */
const isSeparate = (candidate: CauseCandidate, other: CauseCandidate): boolean =>
	other.servers.size < crashesPerRecord && [...candidate.servers].filter(server => !other.servers.has(server)).length >= separatingServerCount;
