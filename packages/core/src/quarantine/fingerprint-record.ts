/** Crash of a backend server while it ran a request with this fingerprint. */
export type FingerprintCrash = {
	attemptId: string;
	serverId: string;
	/** Boot id of the crashed server. Several attempts on one boot count as one crash; without a boot id, each attempt counts. */
	bootId?: string | undefined;
	/** Other fingerprints that ran on the server at the time of the crash. */
	companions: string[];
	/** Entry that observed the crash; set in records that entries merge. */
	entryId?: string | undefined;
	/**
	 * Length of the chain of crashes that ends with this one: each of its attempts was sent after the crash before it was known. Crashes
	 * of attempts that ran at the same time are in the same position, since one event may have ended all their servers.
	 */
	chainLength?: number | undefined;
	/** Time at which the attempt was lost, on the clock of the entry that holds the record, in ms; undefined when unknown. */
	lostAt?: number | undefined;
};

/** One attempt to run a request with this fingerprint. */
export type FingerprintRun = {
	attemptId: string;
	serverId: string;
};

/**
 * Record of a fingerprint (hash of request content) that was running on a server when it crashed; stored in the object API.
 * A fingerprint without a record is clear.
 */
export type FingerprintRecord = {
	fingerprint: string;
	standing: 'suspect' | 'quarantined';
	crashes: FingerprintCrash[];
	/** The one run that is currently allowed; written before the request is sent. */
	run?: FingerprintRun | undefined;
};

/** Number of server crashes after which a fingerprint is quarantined and no longer run. */
export const crashLimit = 2;

/** Adds a crash to the record. A repeated report of the same crash is not counted again. */
export const applyCrash = (record: FingerprintRecord | undefined, fingerprint: string, crash: FingerprintCrash): FingerprintRecord => {
	const known = record?.crashes ?? [];
	const isDuplicate = known.some(other => isSameCrash(other, crash));
	const crashes = isDuplicate ? known : [...known, crash];
	const run = record?.run?.attemptId === crash.attemptId ? undefined : record?.run;
	return {
		fingerprint, standing: crashes.length >= crashLimit ? 'quarantined' : 'suspect', crashes, run,
	};
};

/**
 * Applies a completed run, which clears a suspect fingerprint. A quarantined fingerprint stays quarantined, because a late
 * completion of an earlier attempt does not refute the crashes that were recorded.
 */
export const applyCompletion = (record: FingerprintRecord | undefined, attemptId: string): FingerprintRecord | undefined => {
	if (record?.standing !== 'quarantined') {
		return undefined;
	}

	return record.run?.attemptId === attemptId ? {...record, run: undefined} : record;
};

/** Removes a run that neither crashed the server nor completed, for example after a cancel. */
export const applyRunEnd = (record: FingerprintRecord, attemptId: string): FingerprintRecord =>
	record.run?.attemptId === attemptId ? {...record, run: undefined} : record;

/**
 * Attributes the crashes on one server to another fingerprint, the culprit, which was quarantined after it crashed a server
 * while running alone. Clears the record if this explains all its crashes; otherwise the record is unchanged.
 */
export const applyCrashAttribution = (record: FingerprintRecord | undefined, crash: {serverId: string; culprit: string}): FingerprintRecord | undefined => {
	const isExplained = record?.crashes.every(other => other.serverId === crash.serverId && other.companions.includes(crash.culprit));
	return isExplained ? undefined : record;
};

/**
 * Lists the fingerprints that ran beside a quarantined one at a crash, if the quarantined one also crashed a server while
 * running alone and so explains those crashes.
 */
export const listCrashAttributions = (record: FingerprintRecord): Array<{fingerprint: string; serverId: string; culprit: string}> => {
	const hasCrashedAlone = record.crashes.some(crash => crash.companions.length === 0);
	if (record.standing !== 'quarantined' || !hasCrashedAlone) {
		return [];
	}

	return record.crashes.flatMap(({serverId, companions}) =>
		companions.map(fingerprint => ({fingerprint, serverId, culprit: record.fingerprint})));
};

/** True when two reports are about one crash: of the same attempt, or of the same incarnation of a server. */
export const isSameCrash = (a: FingerprintCrash, b: FingerprintCrash): boolean => {
	const isSameBoot = a.bootId !== undefined && a.bootId === b.bootId;
	return a.attemptId === b.attemptId || (a.serverId === b.serverId && isSameBoot);
};
