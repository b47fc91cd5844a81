import type {EngineProfile} from '../engine-model/engine-profile.js';
import {computePrefillMs} from '../engine-model/engine-timing.js';
import {lateLossShare} from './lateness.js';
import {
	buildPlan, countSpareSlots, isWithinEngineMemory, type PlacementPlan,
} from './placement-plan.js';
import type {PlacementCandidate, PlacementDecision, PromptDemand} from './placement-types.js';

/** Most engines that one request may name as helpers, from the platform's protocol. */
const helperLimit = 16;
/** Numbers of parts that are compared; between them the cost changes little. */
const partCounts = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];
/** Share of the target up to which the reading of a short prompt may take: such a prompt needs no helpers to be on time. */
const shortTargetShare = 0.25;
/** Share of the slots that are left free by short prompts which are late in any case, for those that can still be on time. */
const lateSpareShare = 0.28;
/** Share of the target after which a short prompt that still waits counts as late; reading takes the rest. */
const shortOnTimeShare = 0.6;
/** Share of the target within which the first token of a short prompt is predicted to come when it is placed at once. */
const shortRiskShare = 1;
/** Multiple of the target within which the first token of a late short prompt is predicted to come. */
const lateShortTargets = 2;
/** Multiple of the target for which a short prompt waits for a slot; callers give up after about six times the target. */
const shortWaitTargets = 4;
/** Share of the time to the target within which a plan must end to be taken at once. */
const onTimeShare = 0.8;
/** Share of the target for which a prompt waits for engines that read it in time. */
const waitShare = 0.5;
/** Loss among other streams, as a share of the prompt's own value, up to which a plan is taken at once. */
const acceptedLossShare = 0.08;
/** Share of the idle engines that a late prompt may take. */
const lateEngineShare = 0.5;
/** Share of the time that a caller waits for which a late prompt waits for engines. */
const lateWaitShare = 0.35;
/** Part of the remaining time that the first token of a late prompt may use, so that its answer can still be written. */
const lateDeadlineShare = 0.5;

/**
 * Selects the engines for a prompt so that the least value becomes late, its own and that of the streams beside it.
 * Short prompts fill engines from one end of a common order and long ones from the other, so that a mix of
 * both keeps long reading away from short streams while each kind can use all engines when the other is absent.
 * An engine reads the newest part for another engine first, so that a part that is sent to a busy engine delays what
 * waits there without bound. Long prompts therefore use idle engines only, and wait for them outside of the engines.
 */
export const selectPlacement = (profile: EngineProfile, candidates: readonly PlacementCandidate[], demand: PromptDemand): PlacementDecision => {
	const readMs = computePrefillMs(profile, demand.promptTokens);
	const usualReadMs = computePrefillMs(profile, profile.meanPromptTokens);
	if (readMs <= Math.min(usualReadMs, demand.targetMs * shortTargetShare) && isWithinEngineMemory(profile, demand)) {
		return selectShortPlan(profile, candidates, demand);
	}

	// The reading of one usual prompt counts as none: few engines are without it, and it ends within about a pass.
	const idle = candidates.filter(({load}) => load.readMs <= usualReadMs);
	const plans = partCounts
		.filter(count => count <= Math.min(idle.length, helperLimit + 1))
		.map(count => buildPlan(profile, idle, {...demand, isShort: false}, count))
		.filter(plan => plan !== undefined);
	const leftMs = (demand.targetMs - demand.waitedMs) * onTimeShare;
	const best = findCheapest(plans.filter(({placement, lostShare}) => placement.firstTokenMs <= leftMs && lostShare <= acceptedLossShare));
	if (best !== undefined) {
		return toDecision(best);
	}

	const canBeOnTime = readMs / Math.min(candidates.length, helperLimit + 1) <= leftMs;
	const canWait = candidates.length > 0 && demand.waitedMs < demand.targetMs * waitShare;
	if (canBeOnTime && canWait) {
		return {type: 'wait'};
	}

	const late = findHarmlessLatePlan(plans, demand, {readMs, engines: candidates.length, idleEngines: idle.length});
	if (late !== undefined) {
		return toDecision(late);
	}

	const totalMs = demand.waitedMs + demand.deadlineMs;
	return candidates.length > 0 && demand.waitedMs < totalMs * lateWaitShare
		? {type: 'wait'}
		: selectLeastHarmful(profile, {candidates, plans}, demand);
};

/**
 * A short prompt waits in the entry for a slot, since a queue on an engine cannot be left for a slot elsewhere. While slots
 * are short, those that can still be on time come first: serving in the order of arrival would make all of them late.
 */
const selectShortPlan = (profile: EngineProfile, candidates: readonly PlacementCandidate[], demand: PromptDemand): PlacementDecision => {
	const isLate = demand.waitedMs > demand.targetMs * shortOnTimeShare;
	const spareSlots = isLate ? Math.floor(profile.slots * lateSpareShare) : countSpareSlots(profile);
	const free = candidates.filter(({load}) => load.requests < profile.slots - spareSlots);
	const plan = buildPlan(profile, free, {...demand, isShort: true}, 1);
	const limitMs = isLate ? demand.targetMs * lateShortTargets : demand.targetMs * shortRiskShare;
	if (plan !== undefined && plan.placement.firstTokenMs <= limitMs) {
		return toDecision(plan);
	}

	return candidates.length > 0 && demand.waitedMs < Math.min(demand.targetMs * shortWaitTargets, demand.deadlineMs)
		? {type: 'wait'}
		: {type: 'none'};
};

/**
 * A prompt that is late in any case takes the fewest idle engines that still finish it, and leaves half of them to prompts that
 * can be on time: once late prompts take the engines first, all that follow are late too. A prompt for which half of all
 * engines are too few does not wait for more of them to become idle.
 */
const findHarmlessLatePlan = (
	plans: readonly PlacementPlan[],
	demand: PromptDemand,
	{readMs, engines, idleEngines}: {readMs: number; engines: number; idleEngines: number},
): PlacementPlan | undefined => {
	const limitMs = demand.deadlineMs * lateDeadlineShare;
	const isHuge = readMs / limitMs > engines * lateEngineShare;
	const usableEngines = isHuge ? idleEngines : idleEngines * lateEngineShare;
	return plans.find(({placement, lostShare}) =>
		lostShare <= acceptedLossShare * (1 - lateLossShare) && placement.helperIds.length + 1 <= usableEngines && placement.firstTokenMs <= limitMs);
};

/** After its wait a prompt is refused when others would lose more by it than it is still worth. */
const selectLeastHarmful = (profile: EngineProfile, {candidates, plans}: {candidates: readonly PlacementCandidate[]; plans: readonly PlacementPlan[]}, demand: PromptDemand): PlacementDecision => {
	const worthwhile = plans.filter(({placement, lostShare}) => lostShare < 1 - lateLossShare && placement.firstTokenMs <= demand.deadlineMs);
	return toDecision(findLeastHarm(worthwhile) ?? buildQueuedPlan(profile, candidates, demand));
};

/** Queues a prompt behind the reading of one engine when none is idle; undefined when it would not be answered or costs others more. */
const buildQueuedPlan = (profile: EngineProfile, candidates: readonly PlacementCandidate[], demand: PromptDemand): PlacementPlan | undefined => {
	const plan = buildPlan(profile, candidates, {...demand, isShort: false}, 1);
	return plan !== undefined && plan.placement.firstTokenMs <= demand.deadlineMs && plan.lostShare < 1 - lateLossShare ? plan : undefined;
};

const toDecision = (plan: PlacementPlan | undefined): PlacementDecision =>
	plan === undefined ? {type: 'none'} : {type: 'place', placement: plan.placement};

const findCheapest = (plans: readonly PlacementPlan[]): PlacementPlan | undefined => plans.toSorted((a, b) => a.cost - b.cost)[0];

const findLeastHarm = (plans: readonly PlacementPlan[]): PlacementPlan | undefined => plans.toSorted((a, b) => a.lostShare - b.lostShare)[0];
