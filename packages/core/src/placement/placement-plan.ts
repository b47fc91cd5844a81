import type {EngineProfile} from '../engine-model/engine-profile.js';
import {
	computeLateRisk, computeStreamLoss, computePromptLoss, lateLossShare, lateRiskRange,
} from './lateness.js';
import {
	computePromptValue, type HelperReservation, type Placement, type PlacementCandidate, type PromptDemand,
} from './placement-types.js';
import {computePrefillPart, predictHelperEnd, predictPrefillEnd} from './predict-first-token.js';
import {noLoad, type ServerLoad} from './server-load.js';

/** Weight of an engine's position in the order of engines that all entries share, as a share of the request's value. */
const orderWeight = 0.03;
/**
 * Weight of the predicted time to first token, as a share of the request's value for each multiple of the target; so small that
 * it only decides between placements without loss.
 */
const firstTokenWeight = 0.02;
/** Share of an engine's slots that stay free while other engines have room, since other entries may send to it at the same moment. */
const spareSlotShare = 0.1;
/** Share of an engine's KV memory that plans may use; answers are often longer than their callers expect. */
const usableMemoryShare = 0.96;
/** Time after which an engine without a free slot is expected to have one, in ms. */
const fullEnginePenaltyMs = 1500;

/** Engines for a prompt, with the value that this choice is expected to lose. */
export type PlacementPlan = {
	placement: Placement;
	/** Value that this prompt and other requests are expected to lose, plus the weights for order and time to first token. */
	cost: number;
	/** Value that other requests are expected to lose, as a share of the prompt's own value. */
	lostShare: number;
};

/** A prompt to plan for; short prompts prefer the start of the order of engines and long ones its end. */
export type PlanDemand = PromptDemand & {isShort: boolean};

type RatedCandidate = {candidate: PlacementCandidate; endMs: number; lostValue: number; cost: number};

/** Builds the cheapest plan that prefills a prompt in a number of equal parts; undefined without candidates or without enough memory on them. */
export const buildPlan = (profile: EngineProfile, candidates: readonly PlacementCandidate[], demand: PlanDemand, parts: number): PlacementPlan | undefined => {
	const part = computePrefillPart(profile, demand.promptTokens, parts);
	const value = computePromptValue(demand);
	const estimateCandidate = (candidate: PlacementCandidate, index: number, {endMs, lostValue}: {endMs: number; lostValue: number}): RatedCandidate => {
		const position = demand.isShort
			? candidate.spreadOrder ?? (index / candidates.length)
			: ((candidates.length - 1 - index) / candidates.length) + candidate.orderShift;
		const lateRisk = computeLateRisk(endMs, demand.targetMs) * lateLossShare;
		// Aged figures do not tell which of several engines that are on time is the fastest; a preference for the one that seems idle
		// would send the requests of all entries there.
		const comparedMs = demand.isShort && candidate.spreadOrder !== undefined
			? Math.max(endMs - candidate.penaltyMs, lateRiskRange.from * demand.targetMs) + candidate.penaltyMs
			: endMs;
		const preference = (position * orderWeight) + ((comparedMs / demand.targetMs) * firstTokenWeight);
		return {
			candidate, endMs, lostValue, cost: lostValue + (value * (lateRisk + preference) / parts),
		};
	};

	const primaries = candidates.map((candidate, index) => estimateCandidate(candidate, index, {
		endMs: predictPrefillEnd(profile, candidate.load, part) + candidate.penaltyMs,
		lostValue: computeStreamLoss(profile, candidate.load, part),
	}));
	const primary = selectPrimary(profile, sortByCost(primaries), demand);
	if (primary === undefined) {
		return undefined;
	}

	const ratedHelpers = parts === 1
		? []
		: candidates.map((candidate, index) => estimateCandidate(candidate, index, {
			endMs: predictHelperEnd(profile, candidate.load, part) + candidate.penaltyMs,
			lostValue: computeStreamLoss(profile, candidate.load, part) + computePromptLoss(profile, candidate.load, part),
		}));
	const helpers = sortByCost(ratedHelpers).filter(({candidate}) => candidate !== primary.candidate).slice(0, parts - 1);
	const reservations = selectReservations(profile, primary.candidate, helpers.map(({candidate}) => candidate), demand);
	return reservations && summarizePlan([primary, ...helpers], {
		demand, value, part, reservations,
	});
};

const sortByCost = (rated: readonly RatedCandidate[]): RatedCandidate[] => rated.toSorted((a, b) => a.cost - b.cost);

const summarizePlan = (
	used: readonly RatedCandidate[],
	{demand, value, part, reservations}: {demand: PlanDemand; value: number; part: Placement['part']; reservations: HelperReservation[]},
): PlacementPlan => {
	const [serverId, ...helperIds] = used.map(({candidate}) => candidate.id);
	const endsMs = used.map(({endMs}) => endMs);
	const firstTokenMs = Math.max(...endsMs);
	let cost = value * computeLateRisk(firstTokenMs, demand.targetMs) * lateLossShare;
	let lostValue = 0;
	for (const rated of used) {
		cost += rated.cost;
		lostValue += rated.lostValue;
	}

	return {
		placement: {
			serverId: serverId!, helperIds, firstTokenMs, part, endsMs, reservations,
		},
		cost,
		lostShare: lostValue / value,
	};
};

/**
 * Selects the primary engine: the cheapest one with memory for the whole prompt, or else the one with the most free memory.
 * Engines with a free slot come first; the prediction for a full engine is raised by `fullEnginePenaltyMs`.
 */
const selectPrimary = (profile: EngineProfile, rated: readonly RatedCandidate[], demand: PlanDemand): RatedCandidate | undefined => {
	const needed = demand.promptTokens + demand.outputTokens;
	const withMemory = rated.filter(({candidate}) => computeFreeTokens(profile, candidate.load) >= needed);
	const usable = withMemory.length > 0 ? withMemory : rated.toSorted((a, b) => a.candidate.load.memoryTokens - b.candidate.load.memoryTokens);
	const free = usable.find(({candidate}) => candidate.load.requests < profile.slots - countSpareSlots(profile));
	const [best] = usable;
	return free ?? (best && {...best, endMs: best.endMs + fullEnginePenaltyMs});
};

/** Spreads the tokens that the primary engine cannot hold over the helpers; undefined when the helpers cannot hold them. */
const selectReservations = (profile: EngineProfile, primary: PlacementCandidate, helpers: readonly PlacementCandidate[], demand: PlanDemand): HelperReservation[] | undefined => {
	let missing = demand.promptTokens + demand.outputTokens - computeFreeTokens(profile, primary.load);
	const reservations: HelperReservation[] = [];
	for (const {id, load} of helpers.toSorted((a, b) => a.load.memoryTokens - b.load.memoryTokens)) {
		const tokens = Math.min(missing, computeFreeTokens(profile, load));
		if (tokens > 0) {
			reservations.push({serverId: id, tokens: Math.ceil(tokens)});
			missing -= tokens;
		}
	}

	return missing > 0 ? undefined : reservations;
};

const computeFreeTokens = (profile: EngineProfile, load: ServerLoad): number =>
	(profile.memoryTokens * usableMemoryShare) - load.memoryTokens;

/** Number of slots that stay free while other engines have room; 0 on engines with few slots. */
export const countSpareSlots = ({slots}: EngineProfile): number => Math.floor(slots * spareSlotShare);

/** True when one empty engine can hold a prompt and its answer. */
export const isWithinEngineMemory = (profile: EngineProfile, demand: PromptDemand): boolean =>
	demand.promptTokens + demand.outputTokens <= computeFreeTokens(profile, noLoad);
