import type {PrefillPart} from './predict-first-token.js';
import type {ServerLoad} from './server-load.js';

/** A backend server that may run the prompt, with its load. */
export type PlacementCandidate = {
	id: string;
	load: ServerLoad;
	/** Added to the predicted time when the backend server is unhealthy, cold or in another failure domain, in ms. */
	penaltyMs: number;
	/** Random offset in the order of engines for long prompts, from 0 to 1, so that entries that place at the same moment choose different engines. */
	orderShift: number;
	/**
	 * Place in the order of engines for short prompts, from 0 on, where the load figures are aged; undefined for the order that
	 * all entries share.
	 */
	spreadOrder?: number | undefined;
	/** Slots that short prompts leave to other failure domains while other engines have room; undefined for none. */
	sparedSlots?: number | undefined;
};

/** KV memory in tokens that a helper reserves for a prompt that the primary engine cannot hold alone. */
export type HelperReservation = {serverId: string; tokens: number};

/** Engines that run a prompt. */
export type Placement = {
	/** Primary engine, to which the request is sent. */
	serverId: string;
	/** Engines that prefill a part of the prompt for the primary engine. */
	helperIds: string[];
	/** Predicted time to first token, in ms. */
	firstTokenMs: number;
	/** Part of the prompt that each engine prefills; all parts are equal. */
	part: PrefillPart;
	/** Predicted end of the prefill on each engine, primary engine first, in ms. */
	endsMs: number[];
	/** KV memory to reserve on helpers; empty when the primary engine can hold the whole prompt. */
	reservations: HelperReservation[];
};

/** Size of a prompt and the times by which it must be served. */
export type PromptDemand = {
	promptTokens: number;
	outputTokens: number;
	/** Target for the time to first token, counted from the arrival, in ms. */
	targetMs: number;
	/** Time that the request has waited for engines, in ms. */
	waitedMs: number;
	/** Time left until the caller gives up, in ms. */
	deadlineMs: number;
	/** True when the caller has a part of the answer and waits for the rest. */
	hasBegun: boolean;
};

/** What to do with a prompt now. */
export type PlacementDecision =
	| {type: 'place'; placement: Placement}
	/** Place the prompt again when the load has changed. */
	| {type: 'wait'}
	/** No engine may run the prompt. */
	| {type: 'none'};

/** Value of an output token in prompt tokens, since it costs about ten times as much engine time. */
const outputTokenValue = 10;

/** Value of a request in prompt tokens, estimated from the engine time that it needs, since what operators pay for is not published. */
export const computePromptValue = (size: {promptTokens: number; outputTokens: number}): number =>
	size.promptTokens + (outputTokenValue * size.outputTokens);
