import type {EngineProfile} from './engine-profile.js';

const tokensPerThousand = 1000;
const pairsPerMillion = 1_000_000;

/** Time to prefill a whole prompt on an otherwise idle engine, in ms. */
export const computePrefillMs = (profile: EngineProfile, promptTokens: number): number =>
	(promptTokens / profile.prefillTokensPerMs) + computeAttentionMs(profile, promptTokens);

/** Attention time for a whole prompt, in ms; it grows with the square of the length. */
export const computeAttentionMs = (profile: EngineProfile, promptTokens: number): number =>
	profile.attentionMsPerMillionPairs * ((promptTokens * promptTokens) / 2) / pairsPerMillion;

/** Duration of one decode step, in ms; `contextTokens` is the sum over the decoding requests. */
export const computeStepMs = (profile: EngineProfile, decodingRequests: number, contextTokens: number): number =>
	profile.stepMs + (decodingRequests * profile.stepMsPerSequence) + ((contextTokens / tokensPerThousand) * profile.stepMsPerThousandTokens);

/** Duration of a pass without prefill on a full engine, in ms; this is the longest regular pause of its streams. */
export const computeFullPassMs = (profile: EngineProfile): number =>
	profile.stepsPerPass * computeStepMs(profile, profile.slots, profile.memoryTokens);
