/** Streams on a backend server that share the longest pause that is still on time. */
export type PauseClass = {
	/** Longest pause between two events that is still on time, in ms. */
	targetMs: number;
	streams: number;
	/** Sum of the values of the streams, see `computePromptValue`. */
	value: number;
};

/** A prompt, or a part of one, that is not yet read. */
export type PendingPrefill = {
	/** Time since its request arrived, in ms. */
	ageMs: number;
	/** Time to the first token that is on time, in ms. */
	targetMs: number;
	value: number;
};

/** Work of one or more entries on a backend server. */
export type ServerLoad = {
	/** Requests that were sent and have not ended. */
	requests: number;
	/** Requests that passed their first token. */
	writers: number;
	/** Prompt tokens of the requests that decode. */
	contextTokens: number;
	/** Prompt tokens that wait to be read. */
	readTokens: number;
	/** Reading work that is left, in ms of an otherwise idle engine. */
	readMs: number;
	/** Part of `readMs` that is read for other engines, before all other reading. */
	helpMs: number;
	/** KV memory in use or promised, in tokens. */
	memoryTokens: number;
	/** Streams by the pause that they bear. */
	pauses: PauseClass[];
	reads: PendingPrefill[];
};

/** Load of an idle backend server. */
export const noLoad: ServerLoad = {
	requests: 0, writers: 0, contextTokens: 0, readTokens: 0, readMs: 0, helpMs: 0, memoryTokens: 0, pauses: [], reads: [],
};

/** Adds two loads of the same backend server. */
export const addLoad = (a: ServerLoad, b: ServerLoad): ServerLoad => ({
	requests: a.requests + b.requests,
	writers: a.writers + b.writers,
	contextTokens: a.contextTokens + b.contextTokens,
	readTokens: a.readTokens + b.readTokens,
	readMs: a.readMs + b.readMs,
	helpMs: a.helpMs + b.helpMs,
	memoryTokens: a.memoryTokens + b.memoryTokens,
	pauses: addPauses(a.pauses, b.pauses),
	reads: [...a.reads, ...b.reads],
});

const addPauses = (a: readonly PauseClass[], b: readonly PauseClass[]): PauseClass[] => {
	const sums = new Map(a.map(pause => [pause.targetMs, pause]));
	for (const pause of b) {
		const known = sums.get(pause.targetMs);
		sums.set(pause.targetMs, known === undefined
			? pause
			: {targetMs: pause.targetMs, streams: known.streams + pause.streams, value: known.value + pause.value});
	}

	return [...sums.values()];
};

/** One piece of work that this entry has on a backend server. */
export type ServerWork = {
	/** Prompt tokens to read here. */
	readTokens: number;
	/** Reading work in ms of an otherwise idle engine. */
	readMs: number;
	/** Tokens kept in KV memory until the request ends; 0 where a part of a prompt is only read. */
	memoryTokens: number;
	/** Prompt tokens of the request. */
	contextTokens: number;
	sentAt: number;
	/** Predicted time of the first token. */
	firstTokenAt: number;
	/** True from the first token. */
	isDecoding: boolean;
	/** True for a part of a prompt that is read for another backend server; it takes no slot. */
	isHelperPart: boolean;
	/** Longest pause of the stream that is still on time; undefined where there is none. */
	pauseTargetMs: number | undefined;
	/** Time after `sentAt` until which the first token is on time, in ms. */
	targetMs: number;
	/** Value of the request, or the share of it that depends on a part. */
	value: number;
};

/** Least share of reading work that is counted until the first token has come, since predictions are often early. */
const leastReadShare = 0.1;

/** Load of one piece of work; its reading is taken to progress evenly until the predicted first token. */
export const computeWorkLoad = (work: ServerWork, now: number): ServerLoad => {
	const pauses = work.pauseTargetMs === undefined || work.isHelperPart
		? []
		: [{targetMs: work.pauseTargetMs, streams: 1, value: work.value}];
	if (work.isDecoding && work.isHelperPart) {
		return {...noLoad, contextTokens: work.memoryTokens, memoryTokens: work.memoryTokens};
	}

	if (work.isDecoding) {
		return {
			...noLoad, requests: 1, writers: 1, contextTokens: work.contextTokens, memoryTokens: work.memoryTokens, pauses,
		};
	}

	const left = (work.firstTokenAt - now) / Math.max(1, work.firstTokenAt - work.sentAt);
	const share = Math.min(1, Math.max(leastReadShare, left));
	return {
		...noLoad,
		requests: work.isHelperPart ? 0 : 1,
		readTokens: work.readTokens * share,
		readMs: work.readMs * share,
		helpMs: work.isHelperPart ? work.readMs * share : 0,
		memoryTokens: work.memoryTokens,
		pauses,
		reads: [{ageMs: now - work.sentAt, targetMs: work.targetMs, value: work.value}],
	};
};
