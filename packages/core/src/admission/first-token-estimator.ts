import type {BackendServerProfile, PermitRequest} from '../types/index.js';
import type {AdmissionBounds} from './admission-bounds.js';
import type {ResolvedAdmissionOptions} from './admission-options.js';
import type {AdmissionQueue} from './admission-queue.js';
import type {ServiceRateEstimator} from './service-rate-estimator.js';
import {computeLane} from './lanes.js';
import {computeSumUpTo} from './lane-sums.js';
import type {PermitLedger} from './permit-ledger.js';

/** Parts of an admission point from which the time to first token is estimated. */
export type FirstTokenEstimatorContext = {
	queue: AdmissionQueue;
	ledger: PermitLedger;
	serviceRates: ServiceRateEstimator;
	options: ResolvedAdmissionOptions;
	getProfile: () => BackendServerProfile;
};

/** Estimates the time to first token from the queue, the work in flight and the measured grant rate. */
export class FirstTokenEstimator {
	constructor(private readonly context: FirstTokenEstimatorContext) {}

	/** Time to first token in ms of a request that is granted now; a longer prompt gets only its share of the prefill rate. */
	estimateGranted(request: PermitRequest, lane: number): number {
		const inFlight = computeSumUpTo(this.context.ledger.usage.lanePrefillTokens, lane);
		const share = lane === 0 ? 1 : this.context.options.longPrefillShare;
		return this.computePrefillMs((inFlight + request.prefillTokens) / share);
	}

	/** Time in ms of a prefill at the full prefill rate of the profile. */
	computePrefillMs(tokens: number): number {
		return (tokens * 1000) / this.context.getProfile().prefillTokensPerSecond;
	}

	/** Estimated time in ms from the first to the last token. */
	estimateDecodeMs(request: PermitRequest): number {
		return request.decodeTokens * this.context.serviceRates.decodeMsPerToken;
	}

	/** Time to first token in ms of a prompt of this length that arrives now behind the whole queue of its lane. */
	estimateSample(prefillTokens: number, bounds: AdmissionBounds): number {
		return Math.ceil(this.#estimate(prefillTokens, prefillTokens, {share: 1, slots: 1}, bounds));
	}

	/** Time to first token in ms of a request that arrives now. */
	estimateFirstToken(request: PermitRequest, bounds: AdmissionBounds): number {
		const share = this.context.queue.estimateShareAhead(computeLane(request.prefillTokens), request.workspaceId, request.weight);
		return this.#estimate(request.prefillTokens, request.kvTokens, {share, slots: request.isSuspect ? 0 : 1}, bounds);
	}

	/** Time to first token in ms; the scarcest of prefill rate, concurrency slots and KV memory decides. */
	#estimate(prefillTokens: number, kvTokens: number, ahead: {share: number; slots: number}, bounds: AdmissionBounds): number {
		const lane = computeLane(prefillTokens);
		const backlog = this.context.queue.backlogs[lane]!;
		const rate = Math.max(1, this.context.serviceRates.getGrantRate(lane));
		const inFlight = this.context.ledger.usage.lanePrefillTokens[lane]!;
		const prefillMs = ((inFlight + (backlog.prefillTokens * ahead.share) + prefillTokens) * 1000) / rate;
		const ownPrefillMs = (prefillTokens * 1000) / rate;
		const missingSlots = (backlog.size * ahead.share) + ahead.slots - (bounds.concurrency - this.context.ledger.concurrency);
		const missingKvTokens = (backlog.kvTokens * ahead.share) + kvTokens - (bounds.kvTokens - this.context.ledger.kvTokens);
		const turnover = Math.max(missingSlots / Math.max(1, bounds.concurrency), missingKvTokens / Math.max(1, bounds.kvTokens));
		return Math.max(prefillMs, ownPrefillMs + (Math.max(0, turnover) * this.context.serviceRates.holdMs));
	}
}
