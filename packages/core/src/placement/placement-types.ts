import type {PrefillPart} from './predict-first-token.js';
import type {ServerLoad} from './server-load.js';

/** A backend server that may take the request, with its load. */
export type PlacementCandidate = {
	id: string;
	load: ServerLoad;
	/** Addition to the predicted time, for doubts about the backend server or the way to it, in ms. */
	penaltyMs: number;
	/** Random shift in the order of engines for long prompts, from 0 to 1: entries that place at the same moment choose different engines. */
	orderShift: number;
};

/** Memory that an engine keeps for a request of another one. */
export type HelperReservation = {serverId: string; tokens: number};

/** Where a prompt is run. */
export type Placement = {
	serverId: string;
	/** Engines that read a part of the prompt for the first one. */
	helperIds: string[];
	/** Predicted time to the first token in ms. */
	firstTokenMs: number;
	/** Part of the prompt that each engine reads. */
	part: PrefillPart;
	/** Predicted end of reading by engine, the first one first, in ms. */
	endsMs: number[];
	/** Memory to reserve on helpers, where the first engine has too little for the whole prompt. */
	reservations: HelperReservation[];
};

/** Prompt that is placed. */
export type PromptDemand = {
	promptTokens: number;
	outputTokens: number;
	/** Time from the arrival to the first token that is on time, in ms. */
	targetMs: number;
	/** Time that the request has waited for engines, in ms. */
	waitedMs: number;
	/** Time that is left until the caller no longer waits, in ms. */
	deadlineMs: number;
};

/** What to do with a prompt now. */
export type PlacementDecision =
	| {type: 'place'; placement: Placement}
	/** Ask again when the load has changed. */
	| {type: 'wait'}
	/** No engine may take it. */
	| {type: 'none'};

/** Output tokens cost about ten times as much engine time as prompt tokens. */
const outputTokenValue = 10;

/** Value of a request, from the engine time that it asks for; what operators pay for is published nowhere. */
export const computePromptValue = (size: {promptTokens: number; outputTokens: number}): number =>
	size.promptTokens + (outputTokenValue * size.outputTokens);
