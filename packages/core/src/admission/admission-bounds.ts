import type {BackendServerProfile} from '../types/index.js';
import type {WarmupLimits} from '../warmup/index.js';
import type {AdmissionMode} from './admission-events.js';

/** Upper bounds of the capacity that permits may hold at the same time. */
export type AdmissionBounds = {
	kvTokens: number;
	/** Running attempts. */
	concurrency: number;
	/** Prefill tokens in flight. */
	prefillTokens: number;
};

type BoundRule = (profile: BackendServerProfile, limits: WarmupLimits) => AdmissionBounds;

const boundRules: Record<AdmissionMode, BoundRule> = {
	full: ({kvTokens}, limits) => ({kvTokens, ...limits}),
	// Rounded down, so that two owners together never exceed the whole bounds.
	half: ({kvTokens}, limits) => ({
		kvTokens: Math.floor(kvTokens / 2),
		concurrency: Math.floor(limits.concurrency / 2),
		prefillTokens: Math.floor(limits.prefillTokens / 2),
	}),
	// The permits of the former owner are not all known yet, so the server gets no more than a cold one.
	rebuilding: (profile, limits) => ({
		kvTokens: profile.kvTokens,
		concurrency: Math.min(limits.concurrency, profile.coldConcurrency),
		prefillTokens: Math.min(limits.prefillTokens, profile.coldPrefillTokens),
	}),
	stopped: () => ({kvTokens: 0, concurrency: 0, prefillTokens: 0}),
};

/** Computes the bounds from the server's profile, its warm-up limits and the admission mode. */
export const computeBounds = (profile: BackendServerProfile, limits: WarmupLimits, mode: AdmissionMode): AdmissionBounds =>
	boundRules[mode](profile, limits);
