import {
	attemptResults, refusalReasons,
	type AttemptResult, type BackendServerProfile, type EngineReport, type LoadSnapshot, type Permit, type PermitRequest,
	type RefusalReason,
} from '../types/index.js';
import {WarmupLevel, type WarmupHandover} from '../warmup/index.js';
import {computeBounds, type AdmissionBounds} from './admission-bounds.js';
import type {AdmissionCommand, AdmissionEvent, AdmissionMode} from './admission-events.js';
import {resolveAdmissionOptions, type AdmissionOptions, type ResolvedAdmissionOptions} from './admission-options.js';
import {AdmissionQueue, type QueuedRequest} from './admission-queue.js';
import {CapacityCheck, type CapacityClaim} from './capacity-check.js';
import {ServiceRateEstimator} from './service-rate-estimator.js';
import {LaneCredits} from './lane-credits.js';
import {FirstTokenEstimator} from './first-token-estimator.js';
import {computeSumFrom} from './lane-sums.js';
import {computeEnginePriority, computeLane, lanes} from './lanes.js';
import {buildPermitId, parsePermitId} from './permit-id.js';
import {PermitLedger, type HeldPermit} from './permit-ledger.js';

type EventHandlers = {[Type in AdmissionEvent['type']]: (event: AdmissionEvent & {type: Type}) => void};

const minRetryAfterMs = 100;
const maxRetryAfterMs = 60_000;
const deadlineScanIntervalMs = 250;
/** Factor on the estimated time of short prompts: waiting times vary, and the margin keeps most admitted requests within their deadline. */
const shortEstimateMargin = 1.15;
/**
 * Factor on the estimated time in the longer lanes, whose requests also wait for KV memory.
 * With a smaller factor, many requests are queued and then refused near their deadline.
 */
const longEstimateMargin = 2;
/** Longest wait of a request of the longer lanes at one server, as a share of the time from its arrival to its deadline. */
const maxWaitShare = 0.25;
/** Prompt lengths in tokens for which the load snapshot contains a time to first token. */
const shortSampleTokens = 1024;
const longSampleTokens = 131_072;

/** Results after which the engine certainly does not run the attempt. */
const endedResults: ReadonlySet<AttemptResult> = new Set([attemptResults.completed, attemptResults.notStarted]);
const errorResults: ReadonlySet<AttemptResult> = new Set([attemptResults.failed, attemptResults.crashed]);

/**
 * Issues the permits of one owned backend server: queues, grants and refuses requests.
 * A pure state machine: it performs no input or output and receives the time with each event.
 */
export class AdmissionPoint {
	readonly #options: ResolvedAdmissionOptions;
	readonly #queue: AdmissionQueue;
	readonly #ledger: PermitLedger;
	readonly #warmup: WarmupLevel;
	readonly #serviceRates: ServiceRateEstimator;
	readonly #credits: LaneCredits;
	readonly #firstTokenEstimator: FirstTokenEstimator;
	readonly #capacityCheck: CapacityCheck;
	#profile: BackendServerProfile;
	#mode: AdmissionMode = 'full';
	#bootId: string | undefined;
	/** True when the last report says that the server is leaving the service. */
	#isLeaving = false;
	/** True once the boot id has changed while this entry owns the server. */
	#hasRestarted = false;
	/** True at the start and after a crash, until a report shows the state of the server. */
	#needsReport: boolean;
	/** Time of the last report; the time of the first event until there is a report. */
	#reportedAt: number | undefined;
	#sequence = 0;
	#now = 0;
	#scannedAt = 0;
	#commands: AdmissionCommand[] = [];
	readonly #handlers: EventHandlers = {
		request: ({request}) => {
			this.#handleRequest(request);
		},
		renew: ({permitIds}) => {
			for (const permitId of permitIds) {
				this.#handleRenew(permitId);
			}
		},
		firstToken: ({permitId}) => {
			this.#handleFirstToken(permitId);
		},
		release: ({permitId, result}) => {
			this.#handleRelease(permitId, result);
		},
		withdraw: ({attemptId}) => {
			this.#handleWithdraw(attemptId);
		},
		report: ({report}) => {
			this.#handleReport(report);
		},
		mode: ({mode}) => {
			this.#mode = mode;
		},
		tick: () => undefined,
	};

	constructor(profile: BackendServerProfile, options: AdmissionOptions = {}) {
		this.#options = resolveAdmissionOptions(options);
		this.#profile = profile;
		this.#needsReport = this.#options.hasReports;
		this.#queue = new AdmissionQueue(lanes.length, this.#options.agingMs);
		this.#warmup = new WarmupLevel(profile, this.#options.warmup);
		this.#serviceRates = new ServiceRateEstimator(lanes.length, profile.prefillTokensPerSecond, this.#options.decodeMsPerToken);
		this.#credits = new LaneCredits({
			laneCount: lanes.length,
			longShare: this.#options.longPrefillShare,
			maxCreditMs: this.#options.prefillWindowMs,
		});
		this.#ledger = new PermitLedger({
			laneCount: lanes.length,
			reportLagMs: this.#options.hasReports ? this.#options.reportLagMs : 0,
			untrackedGraceMs: this.#options.permitLifetimeMs,
		});
		const context = {ledger: this.#ledger, options: this.#options, getProfile: () => this.#profile};
		this.#firstTokenEstimator = new FirstTokenEstimator({...context, queue: this.#queue, serviceRates: this.#serviceRates});
		this.#capacityCheck = new CapacityCheck({...context, countPrefill: request => this.#countPrefill(request)});
	}

	/** Load at the time of the last event; its concurrency limit is 0 while no permits are issued. */
	get load(): LoadSnapshot {
		const {bounds} = this;
		return {
			serverId: this.#profile.id,
			queuedPrefillTokens: this.#queue.backlogs.reduce((sum, backlog) => sum + backlog.prefillTokens, 0),
			runningPrefillTokens: this.#ledger.prefillTokens,
			kvTokensUsed: this.#ledger.kvTokens,
			kvTokens: this.#profile.kvTokens,
			running: this.#ledger.concurrency,
			concurrencyLimit: this.#isServing ? bounds.concurrency : 0,
			shortFirstTokenMs: this.#firstTokenEstimator.estimateSample(shortSampleTokens, bounds),
			longFirstTokenMs: this.#firstTokenEstimator.estimateSample(longSampleTokens, bounds),
		};
	}

	/** Capacity bounds at the present warm-up level and mode. */
	get bounds(): AdmissionBounds {
		return computeBounds(this.#profile, this.#warmup.limits, this.#mode);
	}

	/** Boot id of the last report; `undefined` before the first one. */
	get bootId(): string | undefined {
		return this.#bootId;
	}

	/** Warm-up level for the next owner at a planned handover; `undefined` before the first report. */
	get handover(): WarmupHandover | undefined {
		return this.#bootId === undefined ? undefined : {bootId: this.#bootId, factor: this.#warmup.factor};
	}

	/** True while a permit holds capacity. Entries stop renewing a permit that is unknown here. */
	hasPermit(permitId: string): boolean {
		return this.#ledger.get(permitId) !== undefined;
	}

	/** Applies an event and returns the commands that follow from it. */
	handle(event: AdmissionEvent, now: number): AdmissionCommand[] {
		this.#now = now;
		this.#reportedAt ??= now;
		this.#credits.updateTime(this.#ledger.usage.lanePrefillTokens, now);
		this.#serviceRates.updateTime(this.#queue.backlogs, now);
		this.#updateExpired();
		this.#apply(event);
		this.#refuseUnreachable();
		this.#grantQueued();
		const commands = this.#commands;
		this.#commands = [];
		return commands;
	}

	/** True when no report arrived for so long that requests are refused, so that they can be sent to another server at once. */
	get #isReportOverdue(): boolean {
		return this.#options.hasReports && this.#now - (this.#reportedAt ?? this.#now) >= this.#options.reportTimeoutMs;
	}

	/** True when permits may be issued. */
	get #isServing(): boolean {
		return !this.#needsReport && !this.#isReportOverdue && !this.#isLeaving && this.#mode !== 'stopped';
	}

	#apply<Type extends AdmissionEvent['type']>(event: AdmissionEvent & {type: Type}): void {
		(this.#handlers[event.type] as (event: AdmissionEvent & {type: Type}) => void)(event);
	}

	#handleRequest(request: PermitRequest): void {
		const held = this.#ledger.findByAttempt(request.attemptId);
		if (held !== undefined) {
			// The message is a retry: the reply to the first one was lost.
			this.#commands.push({type: 'grant', permit: held.permit});
			return;
		}

		if (this.#queue.has(request.attemptId)) {
			return;
		}

		const queued: QueuedRequest = {
			request,
			lane: computeLane(request.prefillTokens),
			enqueuedAt: this.#now,
			deadlineAt: this.#now + request.deadlineInMs,
		};
		const refusal = this.#findRefusal(queued);
		if (refusal !== undefined) {
			this.#refuse(queued, refusal.reason, refusal.retryAfterMs);
			return;
		}

		this.#queue.add(queued);
	}

	/** Reason and retry time when a new request must be refused at once. */
	#findRefusal(queued: QueuedRequest): {reason: RefusalReason; retryAfterMs: number} | undefined {
		const {request} = queued;
		const refusalWhenEmpty = this.#findRefusalWhenEmpty(request);
		if (refusalWhenEmpty !== undefined) {
			return refusalWhenEmpty;
		}

		const firstTokenMs = this.#firstTokenEstimator.estimateFirstToken(request, this.bounds);
		if (this.#queue.size >= this.#options.maxQueued) {
			return {reason: refusalReasons.queueFull, retryAfterMs: firstTokenMs / 4};
		}

		const margin = queued.lane === 0 ? shortEstimateMargin : longEstimateMargin;
		const lateMs = (margin * (firstTokenMs + this.#firstTokenEstimator.estimateDecodeMs(request))) - request.deadlineInMs;
		// A retry can succeed once the queue has become shorter by the time that exceeds the deadline.
		return lateMs > 0 ? {reason: refusalReasons.deadlineUnreachable, retryAfterMs: lateMs} : undefined;
	}

	/** Reason and retry time when a request cannot be granted now even on an empty server. */
	#findRefusalWhenEmpty(request: PermitRequest): {reason: RefusalReason; retryAfterMs: number} | undefined {
		const {permitLifetimeMs} = this.#options;
		if (request.kvTokens > this.#profile.kvTokens) {
			return {reason: refusalReasons.promptTooLong, retryAfterMs: 0};
		}

		if (this.#isLeaving || this.#isReportOverdue) {
			return {reason: refusalReasons.noBackendServer, retryAfterMs: minRetryAfterMs};
		}

		const {limits} = this.#warmup;
		if (this.#mode !== 'full' && !this.#isWithinBounds(request, this.bounds)) {
			return {reason: refusalReasons.ownershipDisputed, retryAfterMs: permitLifetimeMs};
		}

		return this.#isWithinBounds(request, {kvTokens: this.#profile.kvTokens, ...limits})
			? undefined
			: {reason: refusalReasons.deadlineUnreachable, retryAfterMs: permitLifetimeMs};
	}

	#isWithinBounds(request: PermitRequest, bounds: AdmissionBounds): boolean {
		return bounds.concurrency >= 1 && request.kvTokens <= bounds.kvTokens && this.#countPrefill(request) <= bounds.prefillTokens;
	}

	/**
	 * Prefill tokens with which a request counts against the bounds. While the server warms up, this is the whole prompt:
	 * the entry may have recorded the cached prefix before a restart that emptied the KV cache.
	 */
	#countPrefill({prefillTokens, promptTokens, isDeferred}: PermitRequest): number {
		if (!this.#warmup.isWarm) {
			return Math.max(prefillTokens, promptTokens ?? 0);
		}

		return isDeferred ? 0 : prefillTokens;
	}

	#handleRenew(permitId: string): void {
		const held = this.#ledger.get(permitId);
		if (held !== undefined) {
			this.#ledger.renew(held, this.#now + this.#options.permitLifetimeMs);
			return;
		}

		const parsed = parsePermitId(permitId);
		if (parsed !== undefined && this.#isAdoptable(parsed)) {
			this.#addAdopted(permitId, parsed.attemptId);
		}
	}

	/**
	 * True when an unknown permit may be one that a former owner issued and its holder still uses.
	 * A late renewal of a permit that this owner issued, that was released, or that was issued before a restart of
	 * the engine must not hold capacity again.
	 */
	#isAdoptable({fencingNumber, attemptId}: {fencingNumber: number; attemptId: string}): boolean {
		return fencingNumber < this.#options.fencingNumber
			&& !this.#hasRestarted
			&& this.#mode !== 'stopped'
			&& !this.#ledger.isKnown(attemptId);
	}

	#addAdopted(permitId: string, attemptId: string): void {
		this.#ledger.addAdopted({
			permitId,
			requestId: '',
			attemptId,
			serverId: this.#profile.id,
			bootId: this.#bootId ?? '',
			lifetimeMs: this.#options.permitLifetimeMs,
			fencingNumber: this.#options.fencingNumber,
			enginePriority: 0,
		}, this.#now);
	}

	#handleFirstToken(permitId: string): void {
		const held = this.#ledger.get(permitId);
		if (held === undefined || held.firstTokenAt !== undefined) {
			return;
		}

		held.firstTokenAt = this.#now;
		this.#ledger.recordFirstToken(held);
		if (!held.isAdopted) {
			this.#warmup.recordFirstToken({
				firstTokenMs: this.#now - held.grantedAt,
				expectedMs: held.expectedFirstTokenMs,
			}, this.#now);
		}
	}

	#handleRelease(permitId: string, result: AttemptResult): void {
		const held = this.#ledger.get(permitId);
		if (held === undefined) {
			return;
		}

		if (errorResults.has(result)) {
			this.#warmup.reset(this.#now);
		}

		if (result === attemptResults.crashed) {
			this.#needsReport = this.#options.hasReports;
		}

		if (result === attemptResults.completed) {
			this.#warmup.recordCompleted(held.grantedAt, this.#now);
			this.#serviceRates.recordHold(this.#now - held.grantedAt);
			this.#serviceRates.recordDecode(this.#now - (held.firstTokenAt ?? held.grantedAt), held.decodeTokens);
		}

		if (endedResults.has(result) || !this.#options.hasReports) {
			this.#ledger.remove(held, this.#now);
		} else {
			this.#ledger.recordReleased(held, this.#now);
		}
	}

	#handleWithdraw(attemptId: string): void {
		if (this.#queue.remove(attemptId) !== undefined) {
			return;
		}

		const held = this.#ledger.findByAttempt(attemptId);
		if (held !== undefined) {
			this.#handleRelease(held.permit.permitId, attemptResults.cancelled);
		}
	}

	#handleReport(report: EngineReport): void {
		this.#profile = report.profile;
		this.#warmup.updateProfile(report.profile);
		if (this.#bootId !== report.bootId) {
			this.#handleBootIdChange(report.bootId);
		}

		this.#needsReport = false;
		this.#reportedAt = this.#now;
		this.#isLeaving = report.state === 'leaving';
		const orphans = this.#ledger.reconcileReport(report, this.#now);
		// In every other mode another entry may still act as owner and hold a permit for the attempt, so it must not be cancelled.
		if (this.#mode === 'full') {
			this.#commands.push(...orphans.map(orphan => ({type: 'cancel' as const, ...orphan})));
		}
	}

	#handleBootIdChange(bootId: string): void {
		if (this.#bootId !== undefined) {
			this.#ledger.reset();
			this.#hasRestarted = true;
		}

		const {handover} = this.#options;
		if (this.#bootId === undefined && handover?.bootId === bootId) {
			this.#warmup.resetTo(handover.factor, this.#now);
		} else {
			this.#warmup.reset(this.#now);
		}

		this.#bootId = bootId;
	}

	#updateExpired(): void {
		for (const held of this.#ledger.updateExpired(this.#now)) {
			if (!this.#options.hasReports) {
				this.#ledger.remove(held, this.#now);
			}
		}
	}

	/** Refuses queued requests that can no longer finish in time or no longer fit. */
	#refuseUnreachable(): void {
		if (this.#mode === 'stopped' || this.#isLeaving || this.#isReportOverdue) {
			this.#refuseAll();
			return;
		}

		if (this.#now - this.#scannedAt < deadlineScanIntervalMs) {
			return;
		}

		this.#scannedAt = this.#now;
		for (const queued of this.#queue.list()) {
			const minTotalMs = this.#estimateMinFirstTokenMs(queued) + this.#firstTokenEstimator.estimateDecodeMs(queued.request);
			const refusalWhenEmpty = this.#findRefusalWhenEmpty(queued.request);
			if (refusalWhenEmpty !== undefined || this.#isWaitingTooLong(queued) || this.#now + minTotalMs > queued.deadlineAt) {
				this.#queue.remove(queued.request.attemptId);
				this.#refuse(
					queued,
					refusalWhenEmpty?.reason ?? refusalReasons.deadlineUnreachable,
					refusalWhenEmpty?.retryAfterMs ?? this.#firstTokenEstimator.estimateFirstToken(queued.request, this.bounds),
				);
			}
		}
	}

	/** True when a longer prompt has waited so long that it is refused, while there is time left to run it on another server. */
	#isWaitingTooLong({lane, enqueuedAt, deadlineAt}: QueuedRequest): boolean {
		return lane > 0 && this.#now - enqueuedAt > maxWaitShare * (deadlineAt - enqueuedAt);
	}

	/**
	 * Least time to first token, in ms, of a queued request. The measured grant rate is used for the shortest lane only;
	 * longer prompts are granted too irregularly, so the prefill rate of the profile is used for them.
	 */
	#estimateMinFirstTokenMs({request, lane}: QueuedRequest): number {
		const inFlight = this.#ledger.usage.lanePrefillTokens[0]!;
		return lane === 0
			? ((inFlight + request.prefillTokens) * 1000) / Math.max(1, this.#serviceRates.getGrantRate(0))
			: this.#firstTokenEstimator.computePrefillMs(request.prefillTokens);
	}

	#refuseAll(): void {
		const reason = this.#mode === 'stopped' ? refusalReasons.ownershipDisputed : refusalReasons.noBackendServer;
		for (const queued of this.#queue.list()) {
			this.#queue.remove(queued.request.attemptId);
			this.#refuse(queued, reason, minRetryAfterMs);
		}
	}

	#refuse({request}: QueuedRequest, reason: RefusalReason, retryAfterMs: number): void {
		this.#commands.push({
			type: 'refuse',
			requestId: request.requestId,
			attemptId: request.attemptId,
			reason,
			retryAfterMs: Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, retryAfterMs))),
		});
	}

	#grantQueued(): void {
		if (!this.#isServing || this.#queue.size === 0 || this.#ledger.usage.suspects > 0) {
			return;
		}

		const {bounds} = this;
		if (this.#tryGrantSuspect(bounds)) {
			return;
		}

		const claim = this.#findClaim(bounds);
		for (let lane = 0; lane < lanes.length; lane++) {
			this.#grantLane(lane, bounds, claim);
		}
	}

	/**
	 * Grants a suspect (a request that was in flight at a crash) when the server is empty, since it must run alone.
	 * True when no other request may be granted now.
	 */
	#tryGrantSuspect(bounds: AdmissionBounds): boolean {
		const suspect = this.#queue.getFirstSuspect();
		if (suspect === undefined) {
			return false;
		}

		if (this.#ledger.concurrency === 0 && this.#ledger.kvTokens === 0 && this.#isWithinBounds(suspect.request, bounds)) {
			this.#queue.remove(suspect.request.attemptId);
			this.#grant(suspect);
			return true;
		}

		// Under steady load the server never becomes empty, so granting stops until the suspect has run.
		return this.#now - suspect.enqueuedAt >= this.#options.agingMs;
	}

	/**
	 * Grants the first requests of the lanes that have waited for the aging time, the longest-waiting one first.
	 * Returns the claim of the first one that does not fit; capacity is then set aside for it.
	 */
	#findClaim(bounds: AdmissionBounds): CapacityClaim | undefined {
		for (;;) {
			const oldest = this.#findOldestHead();
			const waitedMs = oldest === undefined ? 0 : this.#now - oldest.enqueuedAt;
			if (oldest === undefined || waitedMs < this.#options.agingMs) {
				return undefined;
			}

			if (!this.#capacityCheck.hasRoom(oldest, bounds, undefined)) {
				return {queued: oldest, waitedMs};
			}

			this.#queue.removeFirst(oldest.lane);
			this.#grant(oldest);
		}
	}

	#findOldestHead(): QueuedRequest | undefined {
		let oldest: QueuedRequest | undefined;
		for (let lane = 0; lane < lanes.length; lane++) {
			const head = this.#queue.getFirst(lane);
			if (head !== undefined && (oldest === undefined || head.enqueuedAt < oldest.enqueuedAt)) {
				oldest = head;
			}
		}

		return oldest;
	}

	#grantLane(lane: number, bounds: AdmissionBounds, claim: CapacityClaim | undefined): void {
		for (;;) {
			const head = this.#queue.getFirst(lane);
			if (head === undefined || !this.#hasCredit(lane, claim) || !this.#capacityCheck.hasRoom(head, bounds, claim)) {
				return;
			}

			this.#queue.removeFirst(lane);
			this.#grant(head);
		}
	}

	/** False when a longer prompt has a claim or is in prefill, and the lane has used up its share of the engine's time. */
	#hasCredit(lane: number, claim: CapacityClaim | undefined): boolean {
		const isLongerWaiting = (claim?.queued.lane ?? -1) > lane
			|| computeSumFrom(this.#ledger.usage.lanePrefillTokens, lane + 1) > 0;
		return !isLongerWaiting || this.#credits.isAvailable(lane);
	}

	/** Issues a permit. Only grants to requests that waited count for the grant rate of the lane. */
	#grant({request, lane, enqueuedAt}: QueuedRequest): void {
		const {fencingNumber, permitLifetimeMs} = this.#options;
		const permit: Permit = {
			permitId: buildPermitId(fencingNumber, ++this.#sequence, request.attemptId),
			requestId: request.requestId,
			attemptId: request.attemptId,
			serverId: this.#profile.id,
			bootId: this.#bootId ?? '',
			lifetimeMs: permitLifetimeMs,
			fencingNumber,
			enginePriority: computeEnginePriority(request.prefillTokens, request.priority),
		};
		const held: HeldPermit = {
			permit,
			lane,
			kvTokens: request.kvTokens,
			prefillTokensInFlight: this.#countPrefill(request),
			decodeTokens: request.decodeTokens,
			grantedAt: this.#now,
			firstTokenAt: undefined,
			expiresAt: this.#now + permitLifetimeMs,
			expectedFirstTokenMs: this.#firstTokenEstimator.estimateGranted(request, lane),
			isSuspect: request.isSuspect,
			abandonedAt: undefined,
			isReleased: false,
			isAdopted: false,
		};
		this.#ledger.add(held);
		if (enqueuedAt < this.#now) {
			this.#serviceRates.recordGrant(lane, request.prefillTokens);
		}

		this.#commands.push({type: 'grant', permit});
	}
}
