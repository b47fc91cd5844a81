import type {BackendServerProfile} from '../types/index.js';
import type {WarmupLimits} from '../warmup/index.js';
import type {AdmissionMode} from './admission-events.js';

/** Upper bounds of the capacity in use. */
export type AdmissionBounds = {
	kvTokens: number;
	concurrency: number;
	/** Prefill tokens in flight. */
	prefillTokens: number;
};

type BoundRule = (profile: BackendServerProfile, limits: WarmupLimits) => AdmissionBounds;

const boundRules: Record<AdmissionMode, BoundRule> = {
	full: ({kvTokens}, limits) => ({kvTokens, ...limits}),
	// Two owners that each keep to half, rounded down, together never exceed the whole.
	half: ({kvTokens}, limits) => ({
		kvTokens: Math.floor(kvTokens / 2),
		concurrency: Math.floor(limits.concurrency / 2),
		prefillTokens: Math.floor(limits.prefillTokens / 2),
	}),
	// The former owner's work is not known yet, so the server is treated as cold.
	rebuilding: (profile, limits) => ({
		kvTokens: profile.kvTokens,
		concurrency: Math.min(limits.concurrency, profile.coldConcurrency),
		prefillTokens: Math.min(limits.prefillTokens, profile.coldPrefillTokens),
	}),
	stopped: () => ({kvTokens: 0, concurrency: 0, prefillTokens: 0}),
};

/** Computes the bounds in force from capacity, warm-up level and mode. */
export const computeBounds = (profile: BackendServerProfile, limits: WarmupLimits, mode: AdmissionMode): AdmissionBounds =>
	boundRules[mode](profile, limits);
