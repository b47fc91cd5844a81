import type {EngineProfile} from '../engine-model/engine-profile.js';
import {
	computeLateRisk, computeStreamLoss, computePromptLoss, lateLossShare,
} from './lateness.js';
import {
	computePromptValue, type HelperReservation, type Placement, type PlacementCandidate, type PromptDemand,
} from './placement-types.js';
import {computePrefillPart, predictHelperEnd, predictPrefillEnd} from './predict-first-token.js';
import {noLoad, type ServerLoad} from './server-load.js';

/** Weight of the preferred end of the order of engines, as a share of the request's value. */
const orderWeight = 0.03;
/** Weight of the time to the first token among placements without loss, as a share of the request's value over its target. */
const timeWeight = 0.02;
/** Share of the slots of an engine that are left free while others have room: other entries may send to it at the same moment. */
const spareShare = 0.1;
/** Share of an engine's memory that is planned with; answers are often longer than their callers expect. */
const usableMemoryShare = 0.96;
/** Time after which an engine without a free slot is expected to have one, in ms. */
const fullPenaltyMs = 1500;

/** A way to run a prompt, with what it costs in value that becomes late. */
export type PlacementPlan = {
	placement: Placement;
	cost: number;
	/** Value that other requests lose, as a share of the prompt's own. */
	lostShare: number;
};

/** A prompt with the end of the order of engines that it prefers. */
export type PlanDemand = PromptDemand & {isShort: boolean};

type Rated = {candidate: PlacementCandidate; endMs: number; harm: number; cost: number};

/** Builds the best plan that reads a prompt in a number of even parts; undefined when the candidates do not allow it. */
export const buildPlan = (profile: EngineProfile, candidates: readonly PlacementCandidate[], demand: PlanDemand, parts: number): PlacementPlan | undefined => {
	const part = computePrefillPart(profile, demand.promptTokens, parts);
	const value = computePromptValue(demand);
	const rate = (candidate: PlacementCandidate, index: number, {endMs, harm}: {endMs: number; harm: number}): Rated => {
		const place = demand.isShort
			? index / candidates.length
			: ((candidates.length - 1 - index) / candidates.length) + candidate.orderShift;
		const lateRisk = computeLateRisk(endMs, demand.targetMs) * lateLossShare;
		const preference = (place * orderWeight) + ((endMs / demand.targetMs) * timeWeight);
		return {
			candidate, endMs, harm, cost: harm + (value * (lateRisk + preference) / parts),
		};
	};

	const firsts = candidates.map((candidate, index) => rate(candidate, index, {
		endMs: predictPrefillEnd(profile, candidate.load, part) + candidate.penaltyMs,
		harm: computeStreamLoss(profile, candidate.load, part),
	}));
	const first = selectFirst(profile, sortByCost(firsts), demand);
	if (first === undefined) {
		return undefined;
	}

	const helps = parts === 1
		? []
		: candidates.map((candidate, index) => rate(candidate, index, {
			endMs: predictHelperEnd(profile, candidate.load, part) + candidate.penaltyMs,
			harm: computeStreamLoss(profile, candidate.load, part) + computePromptLoss(profile, candidate.load, part),
		}));
	const helpers = sortByCost(helps).filter(({candidate}) => candidate !== first.candidate).slice(0, parts - 1);
	const reservations = selectReservations(profile, first.candidate, helpers.map(({candidate}) => candidate), demand);
	return reservations && summarizePlan([first, ...helpers], {
		demand, value, part, reservations,
	});
};

const sortByCost = (rated: readonly Rated[]): Rated[] => rated.toSorted((a, b) => a.cost - b.cost);

const summarizePlan = (
	used: readonly Rated[],
	{demand, value, part, reservations}: {demand: PlanDemand; value: number; part: Placement['part']; reservations: HelperReservation[]},
): PlacementPlan => {
	const [serverId, ...helperIds] = used.map(({candidate}) => candidate.id);
	const endsMs = used.map(({endMs}) => endMs);
	const firstTokenMs = Math.max(...endsMs);
	let cost = value * computeLateRisk(firstTokenMs, demand.targetMs) * lateLossShare;
	let lost = 0;
	for (const entry of used) {
		cost += entry.cost;
		lost += entry.harm;
	}

	return {
		placement: {
			serverId: serverId!, helperIds, firstTokenMs, part, endsMs, reservations,
		},
		cost,
		lostShare: lost / value,
	};
};

/** The first engine also needs a slot; memory for the whole prompt is preferred to memory on several engines. */
const selectFirst = (profile: EngineProfile, rated: readonly Rated[], demand: PlanDemand): Rated | undefined => {
	const needed = demand.promptTokens + demand.outputTokens;
	const withMemory = rated.filter(({candidate}) => computeFreeTokens(profile, candidate.load) >= needed);
	const usable = withMemory.length > 0 ? withMemory : rated.toSorted((a, b) => a.candidate.load.memoryTokens - b.candidate.load.memoryTokens);
	const free = usable.find(({candidate}) => candidate.load.requests < profile.slots - countSpareSlots(profile));
	const [best] = usable;
	return free ?? (best && {...best, endMs: best.endMs + fullPenaltyMs});
};

/** Splits what the first engine cannot keep over helpers; undefined when they cannot keep it either. */
const selectReservations = (profile: EngineProfile, first: PlacementCandidate, helpers: readonly PlacementCandidate[], demand: PlanDemand): HelperReservation[] | undefined => {
	let missing = demand.promptTokens + demand.outputTokens - computeFreeTokens(profile, first.load);
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

/** Slots that are left free while others have room, none on engines with few slots. */
export const countSpareSlots = ({slots}: EngineProfile): number => Math.floor(slots * spareShare);

/** True when an empty engine keeps a prompt and its answer alone. */
export const isWithinEngineMemory = (profile: EngineProfile, demand: PromptDemand): boolean =>
	demand.promptTokens + demand.outputTokens <= computeFreeTokens(profile, noLoad);
