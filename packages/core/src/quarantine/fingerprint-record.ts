/** A server that was lost while it ran the content. */
export type FingerprintCrash = {
	attemptId: string;
	serverId: string;
	/** Boot of the server that ended; several attempts on one boot lose one server. Without it, each attempt counts. */
	bootId?: string | undefined;
	/** Fingerprints that ran on the server at the same time. */
	companions: string[];
};

/** One run of content that has not been cleared. */
export type FingerprintRun = {
	attemptId: string;
	serverId: string;
};

/**
 * Standing of content that was in flight at a crash; kept in the object API.
 * Content without a record is clear.
 */
export type FingerprintRecord = {
	fingerprint: string;
	standing: 'suspect' | 'quarantined';
	crashes: FingerprintCrash[];
	/** The run that is allowed at present; written before the content is sent. */
	run?: FingerprintRun | undefined;
};

/** Number of servers lost to one content before it is no longer run. */
export const crashLimit = 2;

/** Adds a crash; a second report of the same lost server changes nothing. */
export const applyCrash = (record: FingerprintRecord | undefined, fingerprint: string, crash: FingerprintCrash): FingerprintRecord => {
	const known = record?.crashes ?? [];
	const isRepeated = known.some(other => isSameCrash(other, crash));
	const crashes = isRepeated ? known : [...known, crash];
	const run = record?.run?.attemptId === crash.attemptId ? undefined : record?.run;
	return {
		fingerprint, standing: crashes.length >= crashLimit ? 'quarantined' : 'suspect', crashes, run,
	};
};

/**
 * Applies a completed run. Content that completed is cleared; quarantined content stays quarantined,
 * because a late completion of an earlier attempt does not undo two lost servers.
 */
export const applyCompletion = (record: FingerprintRecord | undefined, attemptId: string): FingerprintRecord | undefined => {
	if (record?.standing !== 'quarantined') {
		return undefined;
	}

	return record.run?.attemptId === attemptId ? {...record, run: undefined} : record;
};

/** Ends a run that neither crashed the server nor completed, for example after a cancel. */
export const applyRunEnd = (record: FingerprintRecord, attemptId: string): FingerprintRecord =>
	record.run?.attemptId === attemptId ? {...record, run: undefined} : record;

/**
 * Clears content whose only crash is explained by other content that was quarantined after it crashed
 * a server alone. Content that has lost another server stays as it is.
 */
export const applyCrashAttribution = (record: FingerprintRecord | undefined, crash: {serverId: string; culprit: string}): FingerprintRecord | undefined => {
	const isExplained = record?.crashes.every(other => other.serverId === crash.serverId && other.companions.includes(crash.culprit));
	return isExplained ? undefined : record;
};

/** Lists the crashes that quarantined content explains: those beside which it ran before it crashed a server alone. */
export const listCrashAttributions = (record: FingerprintRecord): Array<{fingerprint: string; serverId: string; culprit: string}> => {
	const crashedAlone = record.crashes.some(crash => crash.companions.length === 0);
	if (record.standing !== 'quarantined' || !crashedAlone) {
		return [];
	}

	return record.crashes.flatMap(({serverId, companions}) =>
		companions.map(fingerprint => ({fingerprint, serverId, culprit: record.fingerprint})));
};

const isSameCrash = (a: FingerprintCrash, b: FingerprintCrash): boolean => {
	const isSameBoot = a.bootId !== undefined && a.bootId === b.bootId;
	return a.attemptId === b.attemptId || (a.serverId === b.serverId && isSameBoot);
};
