import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	executionKinds, isRepeatable, selectTarget, healthSignals, type Route, type RouteTable, type HealthSignal, type Service,
} from '@knapweedrack/core';
import {waitFor} from '@knapweedrack/entry/timer-service';
import type {RequestEnvelope} from '../contracts.js';
import {refusingServerCode} from '../exchange/backend-connections.js';
import {reserveMemory, type MemoryReservation} from '../exchange/memory-reservation.js';
import type {PlacedRequest, PlacementDemand} from '../placement/placement-task.js';
import {answerReasons, type AnswerReason} from './answer-reasons.js';
import {AnswerWriter} from './answer-writer.js';
import type {AttemptResult} from './attempt-result.js';
import {computeRetryDelayMs} from './compute-retry-delay.js';
import {hashContent, hashPart} from './hash-content.js';
import {recordCrashEvidence} from './record-crash-evidence.js';
import {runAttempt, type StreamProgress} from './run-attempt.js';
import {retryRefusals, type RetryRefusal} from './retry-refusals.js';
import {readRequestBody} from './request-body.js';
import type {RelayServices} from './relay-services.js';
import {
	computeBackoffMs, isPlacementUsable, isRetryPossible, listUsableServers,
} from './server-availability.js';

/**
 * Share of the grace period of a planned stop after which new streams are refused, because they would not finish before the
 * process ends.
 */
const streamRefusalShare = 0.3;
/** Interval at which placement of a waiting prompt is retried, in ms; much shorter than the shortest target. */
const placementRetryMs = 20;
/** Delay before a failed memory reservation is retried, in ms; streams end, and free memory, in about this time. */
const reservationRetryMs = 150;
/** Share of the time until its deadline for which a request waits for free memory; the same share as `lateWaitShare` for idle engines. */
const reservationWaitShare = 0.35;
const noReservation: MemoryReservation = {ids: new Map(), release: () => undefined};
/** Data shared by all attempts of a request. */
type RequestWork = {route: Route; table: RouteTable; workspace: string | undefined; body: Buffer | undefined};
type AttemptWork = RequestWork & {reservations: ReadonlyMap<string, string>};

/** Handles one caller request from its head to the final answer. */
export class RelayRequest {
	readonly #services: RelayServices;
	readonly #request: IncomingMessage;
	readonly #writer: AnswerWriter;
	readonly #envelope: RequestEnvelope;
	readonly #arrivedAt: number;
	/** Backend servers that are not selected again for this request. */
	readonly #excludedServerIds = new Set<string>();
	/** Number of attempts that sent bytes of the request to a backend server. */
	#sentAttempts = 0;
	/** True once a backend server may have run the request. */
	#mayHaveRun = false;
	#cancelAttempt: (() => void) | undefined;
	readonly #progress: StreamProgress;
	#route: Route | undefined;
	/** Fingerprints of the content and of the parts of its prompt that other requests may share; empty until the whole request was read. */
	#fingerprints: string[] = [];

	constructor(services: RelayServices, request: IncomingMessage, response: ServerResponse) {
		this.#services = services;
		this.#request = request;
		this.#envelope = services.wire.decodeRequest(request.headers);
		this.#arrivedAt = services.timer.now();
		this.#progress = {lastEventId: this.#envelope.lastEventId, isResumable: true};
		this.#writer = new AnswerWriter(response, () => services.getStoppingMs() !== undefined);
	}

	/** Serves the request; resolves when its answer has ended. */
	async run(): Promise<void> {
		const admitted = this.#admit();
		if (typeof admitted === 'string') {
			this.#answer(admitted);
			return;
		}

		const {route, table, workspace} = admitted;
		this.#route = route;
		const body = await readRequestBody(this.#request, table.configuration.limits, this.#services.timer);
		if (body.type !== 'read') {
			this.#answerUnreadBody(body.type);
			return;
		}

		const {model, sharedPartIds = []} = this.#envelope.prompt ?? {};
		const content = hashContent({
			workspace, method: this.#request.method ?? '', path: this.#request.url ?? '', body: body.body,
		});
		this.#fingerprints = [content, ...new Set(sharedPartIds.map(id => hashPart(model, id)))];
		const cancelTimeout = this.#services.timer.schedule(Math.max(0, this.#computeRemainingMs(route)), () => {
			this.#handleTimeout();
		});
		this.#writer.subscribeToCallerGone(() => {
			this.#handleCallerGone(route);
		});
		await this.#runAttempts({
			route, table, workspace, body: body.body,
		});
		cancelTimeout();
		this.#services.metrics.recordDuration(route.name, this.#services.timer.now() - this.#arrivedAt);
	}

	#admit(): {route: Route; table: RouteTable; workspace: string | undefined} | AnswerReason {
		const {storeState, getStoppingMs, bounds} = this.#services;
		const {table} = storeState;
		if (table === undefined || !storeState.isLoaded) {
			return 'unconfigured';
		}

		if (countHeaderBytes(this.#request) > table.configuration.limits.headerBytes) {
			return 'headTooLarge';
		}

		const [path = '/'] = (this.#request.url ?? '/').split('?');
		const route = table.findRoute(this.#request.headers.host ?? '', path);
		if (route === undefined) {
			return 'unknownRoute';
		}

		if (route.execution === executionKinds.stream && (getStoppingMs() ?? 0) > bounds.graceMs * streamRefusalShare) {
			return 'stopping';
		}

		const workspace = this.#findWorkspace(table, route);
		return typeof workspace === 'string' ? workspace : {route, table, workspace: workspace.name};
	}

	#findWorkspace(table: RouteTable, route: Route): {name: string | undefined} | AnswerReason {
		if (!table.isCredentialRequired || route.isPublic) {
			return {name: undefined};
		}

		if (!this.#services.storeState.hasFreshCredentials()) {
			return 'unconfirmedCredential';
		}

		const {credential} = this.#envelope;
		const workspace = credential === undefined ? undefined : table.findWorkspace(credential);
		return workspace === undefined ? 'unknownCredential' : {name: workspace.name};
	}

	async #runAttempts(work: RequestWork): Promise<void> {
		const {route, table} = work;
		const {random, getBudget, timer} = this.#services;
		const serviceName = selectTarget(route.targets, random());
		const service = serviceName === undefined ? undefined : table.findService(serviceName);
		if (service === undefined) {
			this.#answer('noServer');
			return;
		}

		getBudget(service.name).recordRequest(timer.now());
		while (!this.#writer.isOver) {
			if (this.#isRefusedByQuarantine()) {
				return;
			}

			const placed = this.#services.placement.place(service, this.#buildDemand(route), this.#excludedServerIds);
			if (placed === undefined) {
				this.#answerUnplaced();
				return;
			}

			if (placed === 'wait') {
				await waitFor(timer, placementRetryMs);
				continue;
			}

			const reservation = await this.#reserve(placed);
			if (reservation === undefined) {
				placed.release();
				if (this.#isReservationTimeOver(route)) {
					this.#answerUnplaced();
					return;
				}

				await waitFor(timer, reservationRetryMs);
				continue;
			}

			// While memory was being reserved, the caller may have disconnected, the request may have timed out or its content may have ended servers.
			if (this.#writer.isOver || this.#isRefusedByQuarantine()) {
				reservation.release();
				placed.release();
				return;
			}

			if (!isPlacementUsable(this.#services, placed)) {
				reservation.release();
				placed.release();
				continue;
			}

			this.#excludedServerIds.add(placed.server.id);
			const result = await this.#runPlacedAttempt(placed, service, {...work, reservations: reservation.ids});
			reservation.release();
			if (result.type === 'delivered' || this.#writer.isOver) {
				return;
			}

			const refusal = this.#findRetryRefusal(result, route, service);
			if (refusal !== undefined) {
				this.#services.log.writeRequest('retry.refused', this.#envelope.requestId, {route: route.name, reason: refusal, outcome: result.type});
				this.#answerFailed(result, route);
				return;
			}
		}
	}

	/** Ends the request and returns true when its content must not run. */
	#isRefusedByQuarantine(): boolean {
		if (!this.#services.quarantine.isRefused(this.#fingerprints, {hasRun: this.#mayHaveRun})) {
			return false;
		}

		this.#answer(this.#mayHaveRun ? 'serverFailed' : 'quarantined');
		return true;
	}

	#buildDemand(route: Route): PlacementDemand {
		const {prompt} = this.#envelope;
		return {
			promptTokens: prompt?.promptTokens ?? 0,
			outputTokens: prompt?.expectedOutputTokens ?? prompt?.outputTokens ?? 0,
			targetMs: route.targetMs,
			waitedMs: this.#services.timer.now() - this.#arrivedAt,
			deadlineMs: this.#computeRemainingMs(route),
			pauseTargetMs: route.pauseTargetMs,
		};
	}

	/** Reserves the memory that a placement needs on helpers; returns undefined when not all of it could be reserved. */
	async #reserve({reservations}: PlacedRequest): Promise<MemoryReservation | undefined> {
		return reservations.length === 0 ? noReservation : reserveMemory(this.#services, reservations, this.#envelope.requestId);
	}

	/** True once waiting for memory has used so much time that too little remains for the answer; the caller should retry later. */
	#isReservationTimeOver(route: Route): boolean {
		const waitedMs = this.#services.timer.now() - this.#arrivedAt;
		return waitedMs > (waitedMs + this.#computeRemainingMs(route)) * reservationWaitShare;
	}

	async #runPlacedAttempt(placed: PlacedRequest, service: Service, {route, workspace, body, reservations}: AttemptWork): Promise<AttemptResult> {
		const {log, metrics, timer} = this.#services;
		const sentAt = timer.now();
		const mayHaveRunBefore = this.#mayHaveRun;
		const holds = this.#services.serverNotices.describeHolds(this.#services.storeState.listUsableServers(service.name));
		const positions = this.#services.quarantine.startRun(this.#fingerprints);
		const result = await runAttempt(this.#services, {
			request: this.#request, requestId: this.#envelope.requestId, body, route, service, placed, workspace, reservations,
			remainingMs: this.#computeRemainingMs(route), arrivedAt: this.#arrivedAt, writer: this.#writer, progress: this.#progress,
			isLast: this.#sentAttempts + 1 >= route.attemptLimit,
			isRetryPossible: () => isRetryPossible(this.#services, {service, excludedServerIds: this.#excludedServerIds, fingerprints: this.#fingerprints}),
			setCancel: cancel => {
				this.#cancelAttempt = cancel;
			},
			setSent: () => {
				this.#mayHaveRun = true;
			},
		});
		this.#cancelAttempt = undefined;
		placed.release();
		if (result.type === 'not_run' || result.type === 'not_sent') {
			this.#mayHaveRun = mayHaveRunBefore;
		}

		if (result.type !== 'not_sent') {
			this.#sentAttempts++;
		}

		this.#recordSignal(placed.server.id, result);
		recordCrashEvidence(this.#services, {
			positions, requestId: this.#envelope.requestId, attempt: this.#sentAttempts, server: placed.server, sentAt,
		}, result);
		metrics.countAttempt(service.name, result.type);
		log.writeRequest('attempt', this.#envelope.requestId, {
			route: route.name, server: placed.server.id, inputs: placed.inputs, outcome: result.type,
			...('cause' in result && {cause: result.cause}), ...('causeAddress' in result && {causeAddress: result.causeAddress}), ...('head' in result && {status: result.head.status}),
			limit: result.requestsPerSecondLimit, backoffMs: result.backoffMs, holds, tunnel: result.tunnelPeerId,
			predictedMs: Math.round(placed.predictedFirstTokenMs),
			firstByteMs: result.firstByteAt === undefined ? undefined : Math.round(result.firstByteAt - sentAt),
			longestPauseMs: result.longestPauseMs === undefined ? undefined : Math.round(result.longestPauseMs),
			silentMs: result.silentMs === undefined ? undefined : Math.round(result.silentMs),
			waitedMs: Math.round(sentAt - this.#arrivedAt),
			durationMs: Math.round(timer.now() - sentAt), configuration: this.#services.storeState.table?.configuration.version,
			tokens: this.#envelope.prompt?.promptTokens, content: this.#fingerprints[0], parts: this.#fingerprints.slice(1),
		});
		return result;
	}

	#recordSignal(serverId: string, result: AttemptResult): void {
		const {placement, storeState} = this.#services;
		const cause = result.type === 'not_run' && result.causeAddress !== undefined ? storeState.findServerByAddress(result.causeAddress) : undefined;
		if (cause !== undefined && cause.id !== serverId) {
			// The server that answered is healthy; it could not use one of its helpers, so the failure counts against the helper.
			placement.recordSignal(cause.id, healthSignals.unreachable);
			this.#excludedServerIds.add(cause.id);
			this.#excludedServerIds.delete(serverId);
			return;
		}

		const signal = signalsByResult.get(result.type);
		const isRefusingRequests = result.type === 'not_sent' && result.cause === refusingServerCode;
		if (signal !== undefined && !isRefusingRequests) {
			placement.recordSignal(serverId, signal);
		}
	}

	/**
	 * A request may be retried when it was not run or may run twice, and while an answer can still be sent to its caller. The retry
	 * must be within the attempt limit, the deadline and the retry budget of the service; an attempt that was not sent uses no budget.
	 */
	#findRetryRefusal(result: AttemptResult, route: Route, service: Service): RetryRefusal | undefined {
		const {getBudget, timer, countEntries} = this.#services;
		const isSafe = result.type === 'not_sent' || (result.type === 'not_run' && !this.#mayHaveRun) || isRepeatable(route);
		if (!isSafe) {
			return retryRefusals.mayHaveRun;
		}

		if (!this.#writer.isOpen && !(this.#writer.canContinue && isRepeatable(route) && this.#progress.isResumable)) {
			return retryRefusals.notResumable;
		}

		if (this.#computeRemainingMs(route) <= 0) {
			return retryRefusals.deadline;
		}

		if (this.#sentAttempts >= route.attemptLimit) {
			return retryRefusals.attemptLimit;
		}

		if (result.type === 'not_sent') {
			return undefined;
		}

		const isWithinBudget = getBudget(service.name).tryConsume(timer.now(), countEntries());
		this.#services.metrics.countRetry(service.name, isWithinBudget);
		return isWithinBudget ? undefined : retryRefusals.budget;
	}

	#computeRemainingMs(route: Route): number {
		const elapsedMs = this.#services.timer.now() - this.#arrivedAt;
		return Math.min(route.timeoutMs, this.#envelope.deadlineMs ?? Number.POSITIVE_INFINITY) - elapsedMs;
	}

	#handleTimeout(): void {
		this.#cancelAttempt?.();
		this.#answer(this.#mayHaveRun ? 'timeout' : 'timeoutNotRun');
	}

	#handleCallerGone(route: Route): void {
		// A request that must not run twice continues, because its caller may query the result by other means.
		if (isRepeatable(route) || route.execution === executionKinds.stream || !this.#mayHaveRun) {
			this.#cancelAttempt?.();
		}

		this.#services.log.writeRequest('caller.gone', this.#envelope.requestId, {route: route.name, afterMs: Math.round(this.#services.timer.now() - this.#arrivedAt)});
	}

	#answerUnreadBody(type: 'too_large' | 'idle' | 'aborted'): void {
		if (type !== 'aborted') {
			this.#answer(type === 'idle' ? 'bodyIdle' : 'bodyTooLarge');
		}
	}

	#answerUnplaced(): void {
		const servers = listUsableServers(this.#services, this.#route);
		const notRunReason = servers.length > 0 ? 'overloaded' : 'noServer';
		const refusalReason = computeBackoffMs(this.#services, servers) === undefined ? notRunReason : 'serversBackingOff';
		this.#answer(this.#mayHaveRun ? 'serverFailed' : refusalReason);
	}

	#answerFailed(result: AttemptResult, route: Route): void {
		if (result.type === 'failed' && this.#writer.isOpen && (isRepeatable(route) || !notRunStatuses.has(result.head.status))) {
			this.#services.metrics.countAnswer(route.name, 'server_status');
			this.#writer.writeWhole(result.head, result.body);
			return;
		}

		this.#answer(this.#mayHaveRun ? 'serverFailed' : 'notRunByServers');
	}

	#computeRetryAfterMs(reason: AnswerReason): number {
		const {quarantine, random, timer} = this.#services;
		return computeRetryDelayMs({
			reason,
			isQuarantined: quarantine.isQuarantined(this.#fingerprints),
			backoffMs: backoffReasons.has(reason) ? computeBackoffMs(this.#services, listUsableServers(this.#services, this.#route)) : undefined,
			targetMs: this.#route?.targetMs ?? 0,
			callerLeftMs: (this.#envelope.deadlineMs ?? Number.POSITIVE_INFINITY) - (timer.now() - this.#arrivedAt),
			random: random(),
		});
	}

	/** Fields of the log line of a request that is refused because of its content. */
	#describeQuarantine(): Record<string, unknown> {
		const causes = this.#services.quarantine.describeCauses(this.#fingerprints);
		return {crashes: causes[0]?.crashes ?? [], causes: causes.map(({crashes, ...cause}) => ({...cause, crashes: crashes.length}))};
	}

	/** Ends the request with the entry's own answer. */
	#answer(reason: AnswerReason): void {
		if (this.#writer.isOver) {
			return;
		}

		const {wire, log, metrics, timer} = this.#services;
		const {status, isNotRun} = answerReasons[reason];
		const retryAfterMs = isNotRun && status === 503 ? this.#computeRetryAfterMs(reason) : undefined;
		metrics.countAnswer(this.#route?.name ?? 'none', reason);
		log.writeRequest('answer', this.#envelope.requestId, {
			route: this.#route?.name, reason, status, isNotRun, retryAfterMs, afterMs: Math.round(timer.now() - this.#arrivedAt), sentTo: this.#sentAttempts,
			configuration: this.#services.storeState.table?.configuration.version, configurationAgeMs: Math.round(this.#services.storeState.computeConfigurationAgeMs()),
			tokens: this.#envelope.prompt?.promptTokens, content: this.#fingerprints[0], parts: this.#fingerprints.slice(1),
			...(reason === 'quarantined' && this.#describeQuarantine()),
			holds: this.#services.serverNotices.describeHolds(listUsableServers(this.#services, this.#route)),
		});
		this.#writer.writeOwnAnswer(status, wire.encodeOwnAnswer({requestId: this.#envelope.requestId, retryAfterMs}));
	}
}

/**
 * HTTP statuses that tell a caller that its request was not run. They are not forwarded for a request that a backend server
 * ran and that must not run twice, since its caller could then repeat it.
 */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Reasons of refusals for which a caller should return once the first backend server accepts requests, while all of them back off. */
const backoffReasons = new Set<AnswerReason>(['serversBackingOff', 'notRunByServers', 'timeoutNotRun']);

const signalsByResult = new Map<AttemptResult['type'], HealthSignal>([
	['delivered', healthSignals.answered],
	['failed', healthSignals.failed],
	['not_run', healthSignals.busy],
	['not_sent', healthSignals.unreachable],
	['broken', healthSignals.lost],
]);

const countHeaderBytes = (request: IncomingMessage): number => {
	let bytes = 0;
	for (const part of request.rawHeaders) {
		bytes += part.length + 2;
	}

	return bytes;
};
