import type {EngineProfile} from '../engine-model/engine-profile.js';
import {computePrefillMs, computeStepMs} from '../engine-model/engine-timing.js';
import type {ServerLoad} from './server-load.js';

/** Reading work of one engine for a prompt. */
export type PrefillPart = {tokens: number; prefillMs: number};

/** Mean share of a running pass that is left when a request arrives. */
const passRest = 0.5;

/** Decode steps of one pass without any reading, in ms; 0 on an engine where nothing decodes. */
export const computeDecodeMs = (profile: EngineProfile, load: ServerLoad): number =>
	load.writers === 0 ? 0 : profile.stepsPerPass * computeStepMs(profile, load.writers, load.contextTokens);

/** Most reading that one pass with decode steps takes in, in ms, for the reading work that waits. */
const computePassReadMs = (profile: EngineProfile, work: PrefillPart): number => {
	const passTokens = profile.chunkTokens * profile.stepsPerPass;
	return work.tokens <= passTokens ? work.prefillMs : work.prefillMs * (passTokens / work.tokens);
};

/**
 * Predicts the duration of the next pass when a part is added, in ms: the pause of all streams there.
 * Each decode step of a pass also reads a piece of the prompts that wait.
 */
export const predictPassMs = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number =>
	computeDecodeMs(profile, load) + computePassReadMs(profile, {tokens: load.readTokens + part.tokens, prefillMs: load.readMs + part.prefillMs});

/** Predicts when an engine has read a prompt of its own, in ms from now; reading waits for the end of the running pass. */
export const predictPrefillEnd = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number =>
	computeWaitMs(profile, load, load.readTokens + part.tokens) + load.readMs + part.prefillMs;

/**
 * Predicts when an engine has read a part for another engine, in ms from now.
 * Such a part goes before all reading that waits, also before earlier parts for other engines.
 */
export const predictHelperEnd = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number =>
	computeWaitMs(profile, load, part.tokens) + part.prefillMs;

/** Steps that go on until a number of prompt tokens is read, in ms: whole passes where requests decode, else one step for each piece read. */
const computeWaitMs = (profile: EngineProfile, load: ServerLoad, tokens: number): number =>
	load.writers === 0
		? Math.ceil(tokens / profile.chunkTokens) * computeStepMs(profile, 0, 0)
		: computeDecodeMs(profile, load) * (passRest + Math.max(1, Math.ceil(tokens / (profile.chunkTokens * profile.stepsPerPass))));

/** Reading work of one of `parts` even parts of a prompt. */
export const computePrefillPart = (profile: EngineProfile, promptTokens: number, parts: number): PrefillPart => ({
	tokens: promptTokens / parts,
	prefillMs: computePrefillMs(profile, promptTokens) / parts,
});
