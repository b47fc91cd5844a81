import type {EngineProfile} from '../engine-model/engine-profile.js';
import {computeDecodeMs, predictPassMs, type PrefillPart} from './predict-first-token.js';
import type {ServerLoad} from './server-load.js';

/** Share of its value that a request loses when its first token is late or its stream pauses too long. */
export const lateLossShare = 0.75;
/** Multiples of the target between which the risk of a late first token rises from 0 to 1, since predictions scatter. */
export const lateRiskRange = {from: 0.4, to: 1.1};
/** Share of the pause target up to which a predicted pause is expected to be on time. */
const safePauseShare = 0.85;
/** Multiple of the pause target above which a stream counts as abandoned; a margin below the multiple at which callers disconnect. */
const abandonedPauseMultiple = 6;

/** Probability that a first token predicted at `endMs` is late, from 0 to 1. */
export const computeLateRisk = (endMs: number, targetMs: number): number => {
	const {from, to} = lateRiskRange;
	return Math.min(1, Math.max(0, ((endMs / targetMs) - from) / (to - from)));
};

/** Value that the streams on an engine lose because the prefill of a part lengthens their pause. */
export const computeStreamLoss = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number => {
	const before = predictPassMs(profile, load, {tokens: 0, prefillMs: 0});
	const after = predictPassMs(profile, load, part);
	let lostValue = 0;
	for (const {targetMs, value} of load.pauses) {
		lostValue += value * (computePauseLossShare(after / targetMs) - computePauseLossShare(before / targetMs));
	}

	return lostValue;
};

/** Value that the waiting prompts of an engine lose because a helper part is prefilled before them. */
export const computePromptLoss = (profile: EngineProfile, load: ServerLoad, part: PrefillPart): number => {
	const leftMs = computeDecodeMs(profile, load) + load.prefillMs;
	let lostValue = 0;
	for (const {ageMs, targetMs, value} of load.prefills) {
		const before = computeLateRisk(ageMs + leftMs, targetMs);
		const after = computeLateRisk(ageMs + leftMs + part.prefillMs, targetMs);
		lostValue += value * lateLossShare * (after - before);
	}

	return lostValue;
};

/** Share of its value that a stream loses by a pause, which is given as a multiple of the pause target. */
const computePauseLossShare = (pauseMultiple: number): number => {
	if (pauseMultiple > abandonedPauseMultiple) {
		return 1;
	}

	return pauseMultiple > safePauseShare ? lateLossShare : 0;
};
