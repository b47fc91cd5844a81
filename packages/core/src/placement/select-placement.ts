import type {EngineProfile} from '../engine-model/engine-profile.js';
import {computePrefillMs} from '../engine-model/engine-timing.js';
import {lateLossShare} from './lateness.js';
import {
	buildPlan, countSpareSlots, isWithinEngineMemory, type PlacementPlan,
} from './placement-plan.js';
import type {PlacementCandidate, PlacementDecision, PromptDemand} from './placement-types.js';

/** Most helpers of one request; the protocol of the backend servers allows no more. */
const helperLimit = 16;
/** Numbers of parts that are compared; the cost of a plan changes little between neighbouring values. */
const partCounts = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];
/** Share of the target that the prefill of a short prompt takes at most; such a prompt needs no helpers to be on time. */
const shortPrefillShare = 0.25;
/** Share of an engine's slots that late short prompts leave free for prompts that can still be on time. */
const lateSpareSlotShare = 0.28;
/** Share of the target after which a waiting short prompt counts as late, because its prefill takes the rest. */
const shortLateWaitShare = 0.6;
/** Share of the target within which the predicted first token of a short prompt must fall for the prompt to be placed at once. */
const shortFirstTokenShare = 1;
/** Multiple of the target within which the predicted first token of a late short prompt must fall. */
const lateShortTargetMultiple = 2;
/** Multiple of the target for which a short prompt waits for a slot; callers give up after about six times the target. */
const shortWaitTargetMultiple = 4;
/** Share of the time left to the target within which the predicted first token of a plan must fall for the plan to be used at once. */
const onTimeShare = 0.8;
/** Share of the target for which a prompt waits for engines that can prefill it in time. */
const waitShare = 0.5;
/** Value that other requests may lose to a plan that is used at once, as a share of the value that the prompt still has. */
const acceptedLossShare = 0.08;
/** Share of the idle engines that a late prompt may use. */
const lateEngineShare = 0.5;
/** Share of the time between arrival and deadline for which a late prompt waits for engines. */
const lateWaitShare = 0.35;
/** Share of the time left to the deadline within which a late prompt must get its first token, so that its answer can still be decoded. */
const lateDeadlineShare = 0.5;

/**
 * Selects the engines for a prompt so that the least value is lost to lateness, both its own value and that of other requests.
 * Short prompts fill engines from one end of an order that all entries share, and long prompts from the other end. This keeps
 * long prefills away from short streams, while either kind of prompt can use all engines when the other kind is absent.
 * An engine prefills the newest helper part first, so that parts sent to a busy engine can delay its waiting prompts
 * without bound. Long prompts therefore use idle engines only, and wait for them in the entry.
 */
export const selectPlacement = (profile: EngineProfile, candidates: readonly PlacementCandidate[], demand: PromptDemand): PlacementDecision => {
	const prefillMs = computePrefillMs(profile, demand.promptTokens);
	const meanPrefillMs = computePrefillMs(profile, profile.meanPromptTokens);
	if (prefillMs <= Math.min(meanPrefillMs, demand.targetMs * shortPrefillShare) && isWithinEngineMemory(profile, demand)) {
		return selectShortPlan(profile, candidates, demand);
	}

	// An engine with at most one mean prompt left to prefill counts as idle: few engines have none, and that prefill ends
	// within about one pass.
	const idle = candidates.filter(({load}) => load.prefillMs <= meanPrefillMs);
	const plans = partCounts
		.filter(count => count <= Math.min(idle.length, helperLimit + 1))
		.map(count => buildPlan(profile, idle, {...demand, isShort: false}, count))
		.filter(plan => plan !== undefined);
	const leftMs = (demand.targetMs - demand.waitedMs) * onTimeShare;
	const best = findCheapest(plans.filter(({placement, lostShare}) => placement.firstTokenMs <= leftMs && lostShare <= acceptedLossShare));
	if (best !== undefined) {
		return toDecision(best);
	}

	const canBeOnTime = prefillMs / Math.min(candidates.length, helperLimit + 1) <= leftMs;
	const canWait = candidates.length > 0 && demand.waitedMs < demand.targetMs * waitShare;
	if (canBeOnTime && canWait) {
		return {type: 'wait'};
	}

	const late = findLatePlan(plans, demand, {prefillMs, engines: candidates.length, idleEngines: idle.length});
	if (late !== undefined) {
		return toDecision(late);
	}

	const totalMs = demand.waitedMs + demand.deadlineMs;
	return candidates.length > 0 && demand.waitedMs < totalMs * lateWaitShare
		? {type: 'wait'}
		: selectLeastLoss(profile, {candidates, plans}, demand);
};

/**
 * Selects one engine for a short prompt. The prompt waits for a slot in the entry, since a request that is queued on an
 * engine cannot move to a slot that becomes free elsewhere. While slots are scarce, prompts that can still be on time go
 * first: serving in the order of arrival would make all of them late. The rest of an answer that has begun goes with them.
 */
const selectShortPlan = (profile: EngineProfile, candidates: readonly PlacementCandidate[], demand: PromptDemand): PlacementDecision => {
	const isLate = !demand.hasBegun && demand.waitedMs > demand.targetMs * shortLateWaitShare;
	const spareSlots = isLate ? Math.floor(profile.slots * lateSpareSlotShare) : countSpareSlots(profile);
	const free = candidates.filter(({load}) => load.requests < profile.slots - spareSlots);
	const preferred = free.filter(({load, sparedSlots = 0}) => load.requests < profile.slots - spareSlots - sparedSlots);
	const limitMs = demand.targetMs * (isLate || demand.hasBegun ? lateShortTargetMultiple : shortFirstTokenShare);
	for (const engines of preferred.length === free.length ? [free] : [preferred, free]) {
		const plan = buildPlan(profile, engines, {...demand, isShort: true}, 1);
		if (plan !== undefined && plan.placement.firstTokenMs <= limitMs) {
			return toDecision(plan);
		}
	}

	return candidates.length > 0 && demand.waitedMs < Math.min(demand.targetMs * shortWaitTargetMultiple, demand.deadlineMs)
		? {type: 'wait'}
		: {type: 'none'};
};

/**
 * Finds a plan for a prompt that will be late in any case. The plan uses the fewest idle engines that still finish the
 * prompt, and leaves half of them to prompts that can be on time: if late prompts took all engines, every later prompt
 * would be late too. A prompt for which half of all engines are too few may use every idle engine, so that it does not
 * wait for more of them to become idle.
 */
const findLatePlan = (
	plans: readonly PlacementPlan[],
	demand: PromptDemand,
	{prefillMs, engines, idleEngines}: {prefillMs: number; engines: number; idleEngines: number},
): PlacementPlan | undefined => {
	const limitMs = demand.deadlineMs * lateDeadlineShare;
	const isAboveEngineShare = prefillMs / limitMs > engines * lateEngineShare;
	const usableEngines = isAboveEngineShare ? idleEngines : idleEngines * lateEngineShare;
	return plans.find(({placement, lostShare}) =>
		lostShare <= acceptedLossShare * (1 - lateLossShare) && placement.helperIds.length + 1 <= usableEngines && placement.firstTokenMs <= limitMs);
};

/**
 * Selects the plan that costs other requests the least, for a late prompt whose wait is over. Refuses the prompt when others would
 * lose more than it is still worth, which is `1 - lateLossShare` of its value.
 */
const selectLeastLoss = (profile: EngineProfile, {candidates, plans}: {candidates: readonly PlacementCandidate[]; plans: readonly PlacementPlan[]}, demand: PromptDemand): PlacementDecision => {
	const worthwhile = plans.filter(({placement, lostShare}) => lostShare < 1 - lateLossShare && placement.firstTokenMs <= demand.deadlineMs);
	return toDecision(findLeastLoss(worthwhile) ?? buildQueuedPlan(profile, candidates, demand));
};

/**
 * Queues a prompt behind the prefills of one engine when no plan on idle engines is left; undefined when its deadline would pass
 * first or others would lose more than it is still worth.
 */
const buildQueuedPlan = (profile: EngineProfile, candidates: readonly PlacementCandidate[], demand: PromptDemand): PlacementPlan | undefined => {
	const plan = buildPlan(profile, candidates, {...demand, isShort: false}, 1);
	return plan !== undefined && plan.placement.firstTokenMs <= demand.deadlineMs && plan.lostShare < 1 - lateLossShare ? plan : undefined;
};

const toDecision = (plan: PlacementPlan | undefined): PlacementDecision =>
	plan === undefined ? {type: 'none'} : {type: 'place', placement: plan.placement};

const findCheapest = (plans: readonly PlacementPlan[]): PlacementPlan | undefined => plans.toSorted((a, b) => a.cost - b.cost)[0];

const findLeastLoss = (plans: readonly PlacementPlan[]): PlacementPlan | undefined => plans.toSorted((a, b) => a.lostShare - b.lostShare)[0];
