import type {BackendServerProfile, PermitRequest} from '../types/index.js';
import type {AdmissionBounds} from './admission-bounds.js';
import type {ResolvedAdmissionOptions} from './admission-options.js';
import type {QueuedRequest} from './admission-queue.js';
import {computeSumFrom, computeSumUpTo} from './lane-sums.js';
import {lanes} from './lanes.js';
import type {PermitLedger} from './permit-ledger.js';

/** Capacity set aside for a request that waited for long. */
export type CapacityClaim = {queued: QueuedRequest; waitedMs: number};

/** State of an admission point against which requests are checked. */
export type CapacityCheckContext = {
	ledger: PermitLedger;
	options: ResolvedAdmissionOptions;
	getProfile: () => BackendServerProfile;
	/** Prefill tokens with which a request counts. */
	countPrefill: (request: PermitRequest) => number;
};

/** Share of the KV memory that shorter prompts may use while a longer one collects memory. */
const shorterPromptKvShare = 0.125;
/** Waiting time, in multiples of the aging time, after which a longer prompt may collect all memory. */
const claimAllMemoryAgingFactor = 3;

/** Checks whether a queued request may be granted now. */
export class CapacityCheck {
	constructor(private readonly context: CapacityCheckContext) {}

	/** True when a request fits beside the work in flight and beside the capacity set aside for a longer one. */
	hasRoom({request, lane}: QueuedRequest, bounds: AdmissionBounds, claim: CapacityClaim | undefined): boolean {
		const {ledger} = this.context;
		return ledger.concurrency + 1 <= this.#computeConcurrencyBound(bounds, claim)
			&& ledger.kvTokens + request.kvTokens <= bounds.kvTokens
			&& this.#hasRoomBesideClaim(request, lane, bounds, claim)
			&& ledger.prefillTokens + this.context.countPrefill(request) <= bounds.prefillTokens
			&& this.#hasLaneRoom(request, lane, bounds);
	}

	#computeConcurrencyBound({concurrency}: AdmissionBounds, claim: CapacityClaim | undefined): number {
		return claim !== undefined && concurrency > 1 ? concurrency - 1 : concurrency;
	}

	/** Memory held by longer prompts does not count against shorter ones, because they would all wait until it is returned. */
	#hasRoomBesideClaim(request: PermitRequest, lane: number, bounds: AdmissionBounds, claim: CapacityClaim | undefined): boolean {
		if (claim === undefined) {
			return true;
		}

		const isShorter = lane < claim.queued.lane;
		const used = isShorter ? computeSumUpTo(this.context.ledger.usage.laneKvTokens, claim.queued.lane - 1) : this.context.ledger.kvTokens;
		return used + request.kvTokens <= this.#computeClaimBound(bounds, claim);
	}

	#computeClaimBound({kvTokens}: AdmissionBounds, claim: CapacityClaim): number {
		const isUrgent = claim.waitedMs >= claimAllMemoryAgingFactor * this.context.options.agingMs;
		const reserve = isUrgent ? 0 : kvTokens * shorterPromptKvShare;
		return Math.max(reserve, kvTokens - claim.queued.request.kvTokens);
	}

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

	#computePrefillWindowTokens(): number {
		return (this.context.getProfile().prefillTokensPerSecond * this.context.options.prefillWindowMs) / 1000;
	}
}
