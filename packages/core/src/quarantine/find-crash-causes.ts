import {computeChainLength, formatServer, trialLimit} from './crash-register.js';
import type {FingerprintCrash} from './fingerprint-record.js';

/** Share of the servers of a cause that a fingerprint must have ended to be another candidate; entries may have missed crashes or counted unrelated ones. */
const candidateShare = 2 / 3;

/** Crashes under one fingerprint. */
export type FingerprintCrashes = {fingerprint: string; crashes: readonly FingerprintCrash[]};

/** A fingerprint that may have ended the servers of a cause. */
export type CauseCandidate = {fingerprint: string; /** Incarnations of servers that ended under it. */ servers: ReadonlySet<string>};

/** What explains why several servers ended. */
export type CrashCause = {
	/** The fingerprint with the most crashes, then those that came in most of the same crashes. */
	candidates: CauseCandidate[];
	/** Length of the longest chain among the crashes that no other cause explains. */
	chainLength: number;
};

/**
 * Finds the fewest fingerprints that explain the ends of servers. A server that ends takes all its requests with it, so that other
 * fingerprints gather crashes beside the one that caused them; the one with the most crashes is taken as their cause, and the crashes of
 * the others on these servers no longer count. Fingerprints that are left with crashes on fewer than `trialLimit` servers are no cause.
 */
export const findCrashCauses = (records: readonly FingerprintCrashes[]): CrashCause[] => {
	const causes: CrashCause[] = [];
	let suspects = selectSuspects(records.map(record => ({...record, isReduced: false})));
	while (suspects.length > 0) {
		const ordered = suspects.toSorted(compareSuspects);
		const {servers} = ordered[0]!;
		const candidates = ordered.filter(suspect => isCandidate(suspect.servers, servers));
		causes.push({
			candidates: candidates.map(({fingerprint, servers: ended}) => ({fingerprint, servers: ended})),
			chainLength: Math.max(...candidates.filter(candidate => candidate.servers.size === servers.size).map(({chainLength}) => chainLength)),
		});
		suspects = selectSuspects(ordered.map(({fingerprint, crashes}) => ({
			fingerprint, crashes: crashes.filter(crash => !servers.has(formatServer(crash))), isReduced: true,
		})));
	}

	return causes;
};

/** Crashes under one fingerprint that no cause explains yet. */
type Suspect = FingerprintCrashes & {servers: ReadonlySet<string>; chainLength: number};

/** Selects the fingerprints with enough crashes; `isReduced` when crashes that another cause explains were removed. */
const selectSuspects = (records: ReadonlyArray<FingerprintCrashes & {isReduced: boolean}>): Suspect[] => records
	.map(({fingerprint, crashes, isReduced}) => ({
		fingerprint, crashes, servers: new Set(crashes.map(crash => formatServer(crash))), chainLength: isReduced ? computeReducedChainLength(crashes) : computeChainLength(crashes),
	}))
	.filter(({servers}) => servers.size >= trialLimit);

/** Length of the chain among the crashes that are left: positions before the first of them belong to crashes that another cause explains. */
const computeReducedChainLength = (crashes: readonly FingerprintCrash[]): number => {
	const offset = Math.min(...crashes.map(({chainLength = 1}) => chainLength)) - 1;
	return computeChainLength(crashes.map(crash => ({...crash, chainLength: (crash.chainLength ?? 1) - offset})));
};

const compareSuspects = (a: Suspect, b: Suspect): number =>
	b.servers.size - a.servers.size || b.chainLength - a.chainLength || (a.fingerprint < b.fingerprint ? -1 : 1);

const isCandidate = (servers: ReadonlySet<string>, causeServers: ReadonlySet<string>): boolean => {
	const shared = [...servers].filter(server => causeServers.has(server)).length;
	return shared >= causeServers.size * candidateShare && servers.size - shared < trialLimit;
};
