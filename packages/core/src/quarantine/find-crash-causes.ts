import {computeChainLength, formatServer, trialLimit} from './crash-register.js';
import type {FingerprintCrash} from './fingerprint-record.js';

/** Crashes under one fingerprint. */
export type FingerprintCrashes = {fingerprint: string; crashes: readonly FingerprintCrash[]};

/** Fingerprints of which one explains why several servers ended. */
export type CrashCause = {
	/** More than one when they came together in all these crashes, so that these cannot tell them apart. */
	fingerprints: string[];
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
	const explained = new Set<string>();
	let suspects = selectSuspects(records);
	while (suspects.length > 0) {
		const [cause] = suspects.toSorted(compareSuspects);
		const servers = listServers(cause!.crashes);
		const inseparable = suspects.filter(({crashes}) => isSameSet(listServers(crashes), servers));
		causes.push({fingerprints: inseparable.map(({fingerprint}) => fingerprint), chainLength: Math.max(...inseparable.map(suspect => computeLeftChainLength(suspect)))});
		for (const server of servers) {
			explained.add(server);
		}

		suspects = selectSuspects(suspects.map(suspect => ({...suspect, crashes: suspect.crashes.filter(crash => !explained.has(formatServer(crash))), isReduced: true})));
	}

	return causes;
};

/** Crashes under one fingerprint that no cause explains yet; `isReduced` when others were removed. */
type Suspect = FingerprintCrashes & {isReduced?: boolean};

const selectSuspects = (suspects: readonly Suspect[]): Suspect[] => suspects.filter(({crashes}) => listServers(crashes).size >= trialLimit);

const compareSuspects = (a: Suspect, b: Suspect): number =>
	listServers(b.crashes).size - listServers(a.crashes).size
	|| computeLeftChainLength(b) - computeLeftChainLength(a)
	|| (a.fingerprint < b.fingerprint ? -1 : 1);

/** Length of the chain among the crashes that are left: positions before the first of them belong to crashes that another cause explains. */
const computeLeftChainLength = ({crashes, isReduced = false}: Suspect): number => {
	const positions = crashes.map(({chainLength = 1}) => chainLength);
	const offset = isReduced ? Math.min(...positions) - 1 : 0;
	return computeChainLength(crashes.map(crash => ({...crash, chainLength: (crash.chainLength ?? 1) - offset})));
};

const listServers = (crashes: readonly FingerprintCrash[]): Set<string> => new Set(crashes.map(crash => formatServer(crash)));

const isSameSet = (a: ReadonlySet<string>, b: ReadonlySet<string>): boolean => a.size === b.size && [...a].every(item => b.has(item));
