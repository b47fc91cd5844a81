import {isSameCrash, type FingerprintCrash, type FingerprintRecord} from './fingerprint-record.js';

/**
 * Length of a chain of crashes that quarantines a fingerprint in a register. It is higher than `crashLimit`, because suspects do not run
 * alone here, so that requests which ran beside the cause of a crash become suspects with it.
 */
export const chainLimit = 3;
/** Number of servers that ended under a fingerprint after which it runs only once at a time, at one entry, while it is not quarantined. */
export const trialLimit = 3;
/** Time for which a completion refutes crashes of an unknown time, in ms. */
const completionValidMs = 10_000;
/** Time after its last new crash for which a record is kept, in ms. */
export const crashRecordMs = 86_400_000;
/** Most records kept; suspects are dropped before quarantined fingerprints. */
const defaultRecordLimit = 4096;
/** Most completed fingerprints remembered. */
const defaultCompletedLimit = 10_000;
/** Most crashes kept in one record; enough to tell the cause of a wave of crashes from what ran beside it. */
export const crashesPerRecord = 32;

/** Limits of a register, as numbers of fingerprints. */
export type CrashRegisterOptions = {recordLimit?: number; completedLimit?: number};

/** Effect of a crash or of another entry's record on the register. */
export type RegisterEffect = {
	record: FingerprintRecord | undefined;
	/** True when the record has crashes that it did not have before. */
	isChanged: boolean;
};

/** How and when a run has completed: seen by this entry or another one, and how long before `now`, in ms. */
export type CompletionReport = {isObserved: boolean; ageMs?: number};

/** Last completion of a run with a fingerprint; `isObserved` when this entry saw it. */
type Completion = {at: number; isObserved: boolean};

type KeptRecord = {record: FingerprintRecord; changedAt: number};

/**
 * Crashes by fingerprint, of a whole request or of one part, as this entry knows them. The registers of all entries converge by merging
 * each other's records, so no entry owns a fingerprint and none of them is needed to decide. A completed run refutes the crashes
 * before it: content that ends its server never completes, whereas other requests that were lost with a server complete when they run
 * again. Crashes after the completion count, since content may begin to end servers.
 */
export class CrashRegister {
	/** Records, least recently changed first. */
	readonly #records = new Map<string, KeptRecord>();
	/** Last completion by fingerprint, least recent first. */
	readonly #completions = new Map<string, Completion>();
	readonly #recordLimit: number;
	readonly #completedLimit: number;
	/** Changes whenever a record does. */
	#version = 0;

	constructor({recordLimit = defaultRecordLimit, completedLimit = defaultCompletedLimit}: CrashRegisterOptions = {}) {
		this.#recordLimit = recordLimit;
		this.#completedLimit = completedLimit;
	}

	/** Number that changes whenever a record does. */
	get version(): number {
		return this.#version;
	}

	/** Records with crashes on enough servers to restrict runs. */
	listRestricting(now: number): FingerprintRecord[] {
		return [...this.#records.keys()].map(fingerprint => this.getRecord(fingerprint, now)).filter(record => record !== undefined && countCrashedServers(record.crashes) >= trialLimit) as FingerprintRecord[];
	}

	/** Number of fingerprints with a record. */
	get size(): number {
		return this.#records.size;
	}

	/** Returns the record of a fingerprint; undefined when no crash is known or the record is too old. */
	getRecord(fingerprint: string, now: number): FingerprintRecord | undefined {
		const kept = this.#records.get(fingerprint);
		if (kept !== undefined && now - kept.changedAt > crashRecordMs) {
			this.#delete(fingerprint);
			return undefined;
		}

		return kept?.record;
	}

	/** True when a run of the content completed some seconds ago. */
	hasCompletedRecently(fingerprint: string, now: number): boolean {
		return (this.getCompletionAgeMs(fingerprint, now) ?? Number.POSITIVE_INFINITY) <= completionValidMs;
	}

	/** True when this entry itself saw such a recent completion. */
	hasObservedCompletion(fingerprint: string, now: number): boolean {
		return this.hasCompletedRecently(fingerprint, now) && this.#completions.get(fingerprint)!.isObserved;
	}

	/** True when a completion that this entry itself saw refutes crashes of another entry's record. */
	isRefutedHere({fingerprint, crashes}: FingerprintRecord, now: number): boolean {
		return (this.#completions.get(fingerprint)?.isObserved ?? false) && crashes.some(crash => this.#isRefuted(fingerprint, crash, now));
	}

	/** Time since a run of the content completed, in ms; undefined when none is known. */
	getCompletionAgeMs(fingerprint: string, now: number): number | undefined {
		const completion = this.#completions.get(fingerprint);
		return completion && now - completion.at;
	}

	/** Adds a crash unless the content has completed since. */
	recordCrash(fingerprint: string, crash: FingerprintCrash, now: number): RegisterEffect {
		return this.#addCrashes(fingerprint, [crash], now);
	}

	/** Adds the crashes of another entry's record but those that a completion refutes. */
	mergeRecord({fingerprint, crashes}: FingerprintRecord, now: number): RegisterEffect {
		return this.#addCrashes(fingerprint, crashes, now);
	}

	/** Records that a run of the content has completed; returns whether that refuted crashes. */
	recordCompletion(fingerprint: string, now: number, {isObserved, ageMs = 0}: CompletionReport): boolean {
		const at = now - ageMs;
		if (at >= (this.#completions.get(fingerprint)?.at ?? Number.NEGATIVE_INFINITY)) {
			this.#completions.delete(fingerprint);
			this.#completions.set(fingerprint, {at, isObserved});
		}

		if (this.#completions.size > this.#completedLimit) {
			const [oldest] = this.#completions.keys();
			this.#completions.delete(oldest!);
		}

		return this.#removeRefuted(fingerprint, at);
	}

	#addCrashes(fingerprint: string, crashes: readonly FingerprintCrash[], now: number): RegisterEffect {
		const known = this.getRecord(fingerprint, now);
		const merged = mergeCrashes(known?.crashes ?? [], crashes.filter(crash => !this.#isRefuted(fingerprint, crash, now)));
		if (merged === known?.crashes || merged.length === 0) {
			return {record: known, isChanged: false};
		}

		const record = buildRecord(fingerprint, merged);
		this.#keep(record, now);
		return {record, isChanged: true};
	}

	/**
	 * True when the content has completed since a crash. A crash of an unknown time counts when it is known here with its time, or when
	 * crashes are known that followed the completion, which then no longer shows that the content is sound.
	 */
	#isRefuted(fingerprint: string, crash: FingerprintCrash, now: number): boolean {
		const completion = this.#completions.get(fingerprint);
		if (completion === undefined) {
			return false;
		}

		if (crash.lostAt !== undefined) {
			return crash.lostAt <= completion.at;
		}

		const known = this.#records.get(fingerprint)?.record.crashes ?? [];
		const isKnownToCount = known.some(other => isSameCrash(other, crash) || (other.lostAt ?? Number.NEGATIVE_INFINITY) > completion.at);
		return now - completion.at <= completionValidMs && !isKnownToCount;
	}

	/** Removes the crashes before a completion, and those of an unknown time. */
	#removeRefuted(fingerprint: string, completedAt: number): boolean {
		const kept = this.#records.get(fingerprint);
		const crashes = kept?.record.crashes.filter(({lostAt = Number.NEGATIVE_INFINITY}) => lostAt > completedAt) ?? [];
		if (kept === undefined || crashes.length === 0) {
			return this.#delete(fingerprint);
		}

		if (crashes.length === kept.record.crashes.length) {
			return false;
		}

		this.#keep(buildRecord(fingerprint, crashes), kept.changedAt);
		return true;
	}

	#delete(fingerprint: string): boolean {
		const isDeleted = this.#records.delete(fingerprint);
		if (isDeleted) {
			this.#version++;
		}

		return isDeleted;
	}

	#keep(record: FingerprintRecord, now: number): void {
		this.#version++;
		this.#records.delete(record.fingerprint);
		this.#records.set(record.fingerprint, {record, changedAt: now});
		if (this.#records.size > this.#recordLimit) {
			const all = [...this.#records];
			const [dropped] = all.find(([, kept]) => kept.record.standing === 'suspect') ?? all[0]!;
			this.#records.delete(dropped);
		}
	}
}

const buildRecord = (fingerprint: string, crashes: FingerprintCrash[]): FingerprintRecord =>
	({fingerprint, standing: computeChainLength(crashes) >= chainLimit ? 'quarantined' : 'suspect', crashes});

/** Length of the longest chain among crashes; 0 without a crash. A server ends only once, so a chain is no longer than the number of servers. */
export const computeChainLength = (crashes: readonly FingerprintCrash[]): number =>
	Math.min(countCrashedServers(crashes), Math.max(0, ...crashes.map(crash => getChainLength(crash))));

/** Number of servers, counting each incarnation, that ended in crashes. */
export const countCrashedServers = (crashes: readonly FingerprintCrash[]): number =>
	new Set(crashes.map(crash => formatServer(crash))).size;

/** Key of the incarnation of a server that ended in a crash. */
export const formatServer = ({serverId, bootId}: FingerprintCrash): string => `${serverId} ${bootId}`;

/** True when a record shows more than another one about the same fingerprint. */
export const hasMoreCrashes = (a: FingerprintRecord, b: FingerprintRecord): boolean => {
	const difference = computeChainLength(a.crashes) - computeChainLength(b.crashes);
	return difference === 0 ? a.crashes.length > b.crashes.length : difference > 0;
};

const getChainLength = ({chainLength}: FingerprintCrash): number => chainLength ?? 1;

/**
 * Adds crashes; returns `known` itself when that changes nothing. Of two reports of one crash, and of too many crashes, those with the
 * longest chains are kept, so that the result does not depend on the order.
 */
const mergeCrashes = (known: FingerprintCrash[], added: readonly FingerprintCrash[]): FingerprintCrash[] => {
	let merged = known;
	for (const crash of added) {
		const others = merged.filter(other => !isSameCrash(other, crash));
		const replaced = merged.filter(other => !others.includes(other));
		const isLonger = replaced.every(other => getChainLength(crash) > getChainLength(other));
		const hasRoom = others.length < crashesPerRecord || getChainLength(crash) > Math.min(...others.map(other => getChainLength(other)));
		if (isLonger && hasRoom) {
			merged = [...others, crash].toSorted((a, b) => getChainLength(b) - getChainLength(a)).slice(0, crashesPerRecord);
		}
	}

	return merged;
};
