import {computePromptClass} from '../routing/prompt-class.js';

/** A range of prompt lengths whose requests share a queue and a bound on the prefill tokens in flight. */
export type Lane = {
	/** Lowest prompt class of the lane; class n contains prompts of at least 2^n and less than 2^(n+1) uncached tokens. */
	fromClass: number;
	/** Share of the concurrency that the lane and all lanes of longer prompts may use. */
	concurrencyShare: number;
	/** Share of the KV memory that the lane and all lanes of longer prompts may use. */
	kvShare: number;
};

/** Lanes in order of increasing prompt length; the second starts at 4096 and the third at 32,768 uncached tokens. */
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

/** Number of prompt classes that engine priorities distinguish; longer prompts count as the highest of them. */
const priorityClassCount = 32;

/**
 * Engine priority by prompt class, then by the caller's priority; the engine runs lower values first.
 * Because the class decides first, a short prompt of low priority overtakes a long one at the next prefill chunk.
 */
export const computeEnginePriority = (prefillTokens: number, priority: number): number =>
	(Math.min(computePromptClass(prefillTokens), priorityClassCount - 1) * 4) + priority;
