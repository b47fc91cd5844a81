import type {EngineProfile} from './engine-profile.js';

const tokensPerThousand = 1000;
const pairsPerMillion = 1_000_000;

/** Time to read a whole prompt without other work on the engine, in ms. */
export const computePrefillMs = (profile: EngineProfile, promptTokens: number): number =>
	(promptTokens / profile.prefillTokensPerMs) + computeAttentionMs(profile, promptTokens);

/** Time for the pairs of a whole prompt, in ms. */
export const computeAttentionMs = (profile: EngineProfile, promptTokens: number): number =>
	profile.attentionMsPerMillionPairs * ((promptTokens * promptTokens) / 2) / pairsPerMillion;

/** Time of one decode step with a number of requests that decode, in ms. */
export const computeStepMs = (profile: EngineProfile, writers: number, contextTokens: number): number =>
	profile.stepMs + (writers * profile.stepMsPerSequence) + ((contextTokens / tokensPerThousand) * profile.stepMsPerThousandTokens);

/** Duration of a pass without reading on a full engine, in ms: the longest regular pause of its streams. */
export const computeFullPassMs = (profile: EngineProfile): number =>
	profile.stepsPerPass * computeStepMs(profile, profile.slots, profile.memoryTokens);
