import type {EngineProfile} from '../engine-model/engine-profile.js';
import {computeDecodeMs, predictPassMs, type PrefillPart} from './predict-first-token.js';
import type {ServerLoad} from './server-load.js';

/** Share of its value that a request loses when its first token or a pause is late. */
export const lateLossShare = 0.75;
/** Shares of the target between which a first token goes from safe to surely late, since predictions scatter. */
export const lateRiskRange = {from: 0.4, to: 1.1};
/** Share of a pause target up to which a predicted pause is safe. */
const safePauseShare = 0.85;
/** Multiple of a pause target at which callers give a stream up, from the platform's protocol less a margin. */
const abandonedPause = 6;

/** Probability that a first token predicted at `endMs` is late, from 0 to 1. */
export const computeLateRisk = (endMs: number, targetMs: number): number => {
	const {from, to} = lateRiskRange;
	return Math.min(1, Math.max(0, ((endMs / targetMs) - from) / (to - from)));
};

/** Value of the streams on an engine whose pause becomes too long by reading a part there. */
export const computeStreamLoss = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number => {
	const before = predictPassMs(profile, load, {tokens: 0, prefillMs: 0});
	const after = predictPassMs(profile, load, part);
	let harm = 0;
	for (const {targetMs, value} of load.pauses) {
		harm += value * (computePauseLoss(after / targetMs) - computePauseLoss(before / targetMs));
	}

	return harm;
};

/** Value of the prompts on an engine that become late because a part for another engine is read before them. */
export const computePromptLoss = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number => {
	const leftMs = computeDecodeMs(profile, load) + load.readMs;
	let harm = 0;
	for (const {ageMs, targetMs, value} of load.reads) {
		const before = computeLateRisk(ageMs + leftMs, targetMs);
		const after = computeLateRisk(ageMs + leftMs + part.prefillMs, targetMs);
		harm += value * lateLossShare * (after - before);
	}

	return harm;
};

/** Share of its value that a stream loses by a pause, given in multiples of the longest one that is on time. */
const computePauseLoss = (pause: number): number => {
	if (pause > abandonedPause) {
		return 1;
	}

	return pause > safePauseShare ? lateLossShare : 0;
};
