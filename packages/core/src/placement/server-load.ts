/** Streams on a backend server that have the same pause target. */
export type PauseClass = {
	/** Longest pause between two events that is on time, in ms. */
	targetMs: number;
	streams: number;
	/** Sum of the values of the streams, see `computePromptValue`. */
	value: number;
};

/** A prompt, or a part of one, whose prefill has not finished. */
export type PendingPrefill = {
	/** Time since its request arrived, in ms. */
	ageMs: number;
	/** Target for the time to first token, in ms. */
	targetMs: number;
	value: number;
};

/** Load that one or more entries have put on a backend server. */
export type ServerLoad = {
	/** Requests that were sent and have not ended. */
	requests: number;
	/** Requests that have sent their first token and decode. */
	decodingRequests: number;
	/** Prompt tokens of the decoding requests. */
	contextTokens: number;
	/** Prompt tokens that wait for prefill. */
	prefillTokens: number;
	/** Remaining prefill work, in ms of an otherwise idle engine. */
	prefillMs: number;
	/** Part of `prefillMs` that is prefilled for other engines, before all other prefills, in ms. */
	helperPrefillMs: number;
	/** KV memory in use or reserved, in tokens. */
	memoryTokens: number;
	/** Streams grouped by pause target. */
	pauses: PauseClass[];
	/** Prompts and parts of prompts whose prefill has not finished. */
	prefills: PendingPrefill[];
};

/** Load of an idle backend server. */
export const noLoad: ServerLoad = {
	requests: 0, decodingRequests: 0, contextTokens: 0, prefillTokens: 0, prefillMs: 0, helperPrefillMs: 0, memoryTokens: 0, pauses: [], prefills: [],
};

/** Adds two loads of the same backend server; streams with equal pause targets are merged. */
export const addLoad = (a: ServerLoad, b: ServerLoad): ServerLoad => ({
	requests: a.requests + b.requests,
	decodingRequests: a.decodingRequests + b.decodingRequests,
	contextTokens: a.contextTokens + b.contextTokens,
	prefillTokens: a.prefillTokens + b.prefillTokens,
	prefillMs: a.prefillMs + b.prefillMs,
	helperPrefillMs: a.helperPrefillMs + b.helperPrefillMs,
	memoryTokens: a.memoryTokens + b.memoryTokens,
	pauses: addPauses(a.pauses, b.pauses),
	prefills: [...a.prefills, ...b.prefills],
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

/** A request, or a helper part of one, that this entry has sent to a backend server. */
export type ServerWork = {
	/** Prompt tokens to prefill on this server. */
	prefillTokens: number;
	/** Prefill work, in ms of an otherwise idle engine. */
	prefillMs: number;
	/** KV memory held until the request ends, in tokens; 0 for a helper part without a reservation. */
	memoryTokens: number;
	/** Prompt tokens that this server holds while the request decodes; 0 for a helper part. */
	contextTokens: number;
	sentAt: number;
	/** Predicted time of the first token. */
	firstTokenAt: number;
	/** True from the first token on. */
	isDecoding: boolean;
	/** True for a part that is prefilled for another backend server; such a part takes no slot. */
	isHelperPart: boolean;
	/** Longest pause of the stream that is on time, in ms; undefined for requests without this target. */
	pauseTargetMs: number | undefined;
	/** Target for the time to first token, counted from `sentAt`, in ms. */
	targetMs: number;
	/** Value of the request, or the share of it that depends on this helper part. */
	value: number;
};

/** Smallest share of the prefill work that counts until the first token, since predictions are often early. */
const minPrefillShare = 0.1;

/** Load of a request or helper part. Its prefill is assumed to progress evenly until the predicted first token. */
export const computeWorkLoad = (work: ServerWork, now: number): ServerLoad => {
	const pauses = work.pauseTargetMs === undefined || work.isHelperPart
		? []
		: [{targetMs: work.pauseTargetMs, streams: 1, value: work.value}];
	if (work.isDecoding && work.isHelperPart) {
		return {...noLoad, contextTokens: work.memoryTokens, memoryTokens: work.memoryTokens};
	}

	if (work.isDecoding) {
		return {
			...noLoad, requests: 1, decodingRequests: 1, contextTokens: work.contextTokens, memoryTokens: work.memoryTokens, pauses,
		};
	}

	const left = (work.firstTokenAt - now) / Math.max(1, work.firstTokenAt - work.sentAt);
	const share = Math.min(1, Math.max(minPrefillShare, left));
	return {
		...noLoad,
		requests: work.isHelperPart ? 0 : 1,
		prefillTokens: work.prefillTokens * share,
		prefillMs: work.prefillMs * share,
		helperPrefillMs: work.isHelperPart ? work.prefillMs * share : 0,
		memoryTokens: work.memoryTokens,
		pauses,
		prefills: [{ageMs: now - work.sentAt, targetMs: work.targetMs, value: work.value}],
	};
};
