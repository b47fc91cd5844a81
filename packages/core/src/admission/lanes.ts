import {computePromptClass} from '../routing/prompt-class.js';

/** A range of prompt classes that share a queue and a bound on prefill in flight. */
export type Lane = {
	/** Lowest prompt class of the lane. */
	fromClass: number;
	/** Share of the concurrency that the lane and all lanes of longer prompts may use. */
	concurrencyShare: number;
	/** Share of the KV memory that the lane and all lanes of longer prompts may use. */
	kvShare: number;
};

/** Lanes in order of rising prompt length. */
export const lanes: readonly Lane[] = [
	{fromClass: 0, concurrencyShare: 1, kvShare: 1},
	{fromClass: 12, concurrencyShare: 0.75, kvShare: 0.875},
	{fromClass: 15, concurrencyShare: 0.25, kvShare: 0.875},
];

/** Index of the lane of a prompt with this many uncached tokens. */
export const computeLane = (prefillTokens: number): number => {
	const promptClass = computePromptClass(prefillTokens);
	return lanes.findLastIndex(lane => promptClass >= lane.fromClass);
};

const classesPerPriority = 32;

/**
 * Engine priority, lower runs first: by prompt class, then by the caller's priority.
 * The class comes first, so that a short prompt of low priority passes a long one at its next prefill chunk.
 */
export const computeEnginePriority = (prefillTokens: number, priority: number): number =>
	(Math.min(computePromptClass(prefillTokens), classesPerPriority - 1) * 4) + priority;
