import type {BackendServerProfile, PermitRequest} from '../types/index.js';
import type {AdmissionBounds} from './admission-bounds.js';
import type {ResolvedAdmissionOptions} from './admission-options.js';
import type {QueuedRequest} from './admission-queue.js';
import {computeSumFrom, computeSumUpTo} from './lane-sums.js';
import {lanes} from './lanes.js';
import type {PermitLedger} from './permit-ledger.js';

/** Claim of a request that has waited for at least the aging time: capacity is set aside for it. */
export type CapacityClaim = {queued: QueuedRequest; waitedMs: number};

/** Parts of an admission point that the capacity check reads. */
export type CapacityCheckContext = {
	ledger: PermitLedger;
	options: ResolvedAdmissionOptions;
	getProfile: () => BackendServerProfile;
	/** Returns the prefill tokens with which a request counts against the bounds. */
	countPrefill: (request: PermitRequest) => number;
};

/** Share of the KV memory that stays usable for shorter prompts while memory is set aside for a longer one. */
const shorterPromptKvShare = 0.125;
/** Waiting time, in multiples of the aging time, after which all KV memory may be set aside for a longer prompt, without this share. */
const claimAllMemoryAgingFactor = 3;

/** Checks whether a queued request may be granted now. */
export class CapacityCheck {
	constructor(private readonly context: CapacityCheckContext) {}

	/** True when a request fits in addition to the work in flight and to the capacity set aside for a claim. */
	hasRoom({request, lane}: QueuedRequest, bounds: AdmissionBounds, claim: CapacityClaim | undefined): boolean {
		const {ledger} = this.context;
		return ledger.concurrency + 1 <= this.#computeConcurrencyBound(bounds, claim)
			&& ledger.kvTokens + request.kvTokens <= bounds.kvTokens
			&& this.#hasRoomBesideClaim(request, lane, bounds, claim)
			&& ledger.prefillTokens + this.context.countPrefill(request) <= bounds.prefillTokens
			&& this.#hasLaneRoom(request, lane, bounds);
	}

	/** Keeps one slot free for the claim, unless the server has only one. */
	#computeConcurrencyBound({concurrency}: AdmissionBounds, claim: CapacityClaim | undefined): number {
		return claim !== undefined && concurrency > 1 ? concurrency - 1 : concurrency;
	}

	/**
	 * True when a request leaves the memory of the claim free. Memory held by prompts of the claim's lane and longer
	 * lanes does not count against shorter prompts, which would otherwise all wait until a long one ends.
	 */
	#hasRoomBesideClaim(request: PermitRequest, lane: number, bounds: AdmissionBounds, claim: CapacityClaim | undefined): boolean {
		if (claim === undefined) {
			return true;
		}

		const isShorter = lane < claim.queued.lane;
		const used = isShorter ? computeSumUpTo(this.context.ledger.usage.laneKvTokens, claim.queued.lane - 1) : this.context.ledger.kvTokens;
		return used + request.kvTokens <= this.#computeClaimBound(bounds, claim);
	}

	/** KV tokens that requests other than the claim may use. */
	#computeClaimBound({kvTokens}: AdmissionBounds, claim: CapacityClaim): number {
		const isUrgent = claim.waitedMs >= claimAllMemoryAgingFactor * this.context.options.agingMs;
		const reserve = isUrgent ? 0 : kvTokens * shorterPromptKvShare;
		return Math.max(reserve, kvTokens - claim.queued.request.kvTokens);
	}

	/**
	 * True when a request fits the prefill window and the shares of its lane. A lane with no prefill in flight or no
	 * KV memory in use admits one request of any size, so that no prompt is too large for its lane.
	 */
	#hasLaneRoom(request: PermitRequest, lane: number, bounds: AdmissionBounds): boolean {
		const {usage} = this.context.ledger;
		const inFlight = usage.lanePrefillTokens[lane]!;
		if (!request.isDeferred && inFlight > 0 && inFlight + request.prefillTokens > this.#computePrefillWindowTokens()) {
			return false;
		}

		const {concurrencyShare, kvShare} = lanes[lane]!;
		const concurrency = computeSumFrom(usage.laneConcurrency, lane);
		const kvTokens = computeSumFrom(usage.laneKvTokens, lane);
		return concurrency + 1 <= Math.max(1, Math.floor(bounds.concurrency * concurrencyShare))
			&& (kvTokens === 0 || kvTokens + request.kvTokens <= bounds.kvTokens * kvShare);
	}

	/** Prefill tokens that the engine processes in the prefill window. */
	#computePrefillWindowTokens(): number {
		return (this.context.getProfile().prefillTokensPerSecond * this.context.options.prefillWindowMs) / 1000;
	}
}
