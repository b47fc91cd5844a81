import type {EngineProfile} from '../engine-model/engine-profile.js';
import {computePrefillMs, computeStepMs} from '../engine-model/engine-timing.js';
import type {ServerLoad} from './server-load.js';

/** Prefill work of one engine for a prompt; `prefillMs` is the time on an otherwise idle engine. */
export type PrefillPart = {tokens: number; prefillMs: number};

/** Mean share of the running pass that remains when a request arrives. */
const remainingPassShare = 0.5;

/** Duration of the decode steps of one pass without prefill, in ms; 0 on an engine where nothing decodes. */
export const computeDecodeMs = (profile: EngineProfile, load: ServerLoad): number =>
	load.decodingRequests === 0 ? 0 : profile.stepsPerPass * computeStepMs(profile, load.decodingRequests, load.contextTokens);

/** Time that one pass with decode steps spends on the waiting prefill work, in ms; each step prefills at most one chunk. */
const computePassPrefillMs = (profile: EngineProfile, work: PrefillPart): number => {
	const passTokens = profile.chunkTokens * profile.stepsPerPass;
	return work.tokens <= passTokens ? work.prefillMs : work.prefillMs * (passTokens / work.tokens);
};

/**
 * Predicts the duration of the next pass when a part is added, in ms. All streams of the engine pause for this time.
 * Each decode step of a pass also prefills a chunk of the waiting prompts.
 */
export const predictPassMs = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number =>
	computeDecodeMs(profile, load) + computePassPrefillMs(profile, {tokens: load.prefillTokens + part.tokens, prefillMs: load.prefillMs + part.prefillMs});

/** Predicts when an engine finishes the prefill of its own prompt, in ms from now. The prefill begins after the running pass. */
export const predictPrefillEnd = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number =>
	computeStepsMs(profile, load, load.prefillTokens + part.tokens) + load.prefillMs + part.prefillMs;

/**
 * Predicts when an engine finishes a part that it prefills as a helper, in ms from now.
 * Such a part goes before all waiting prefills, including earlier helper parts.
 */
export const predictHelperEnd = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number =>
	computeStepsMs(profile, load, part.tokens) + part.prefillMs;

/** Duration of the steps that prefill a number of prompt tokens, in ms: whole passes where requests decode, else one step per chunk. */
const computeStepsMs = (profile: EngineProfile, load: ServerLoad, tokens: number): number =>
	load.decodingRequests === 0
		? Math.ceil(tokens / profile.chunkTokens) * computeStepMs(profile, 0, 0)
		: computeDecodeMs(profile, load) * (remainingPassShare + Math.max(1, Math.ceil(tokens / (profile.chunkTokens * profile.stepsPerPass))));

/** Prefill work of one of `parts` equal parts of a prompt. */
export const computePrefillPart = (profile: EngineProfile, promptTokens: number, parts: number): PrefillPart => ({
	tokens: promptTokens / parts,
	prefillMs: computePrefillMs(profile, promptTokens) / parts,
});
