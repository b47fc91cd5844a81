import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	executionKinds, isRepeatable, memoryKinds, selectTarget, type Route, type RouteTable,
} from '@knapweedrack/core';
import {waitFor} from '@knapweedrack/entry/timer-service';
import type {RequestEnvelope} from '../contracts.js';
import {answerReasons, type AnswerReason} from './answer-reasons.js';
import {AnswerWriter} from './answer-writer.js';
import type {AttemptResult} from './attempt-result.js';
import {closeAfterAnswer, isCheaplyDiscarded, limitDiscard} from './close-unread.js';
import {computeRetryDelayMs, type RefusedRequest} from './compute-retry-delay.js';
import {hashContent, hashPart} from './hash-content.js';
import {RequestAttempts, type AttemptsEnd} from './request-attempts.js';
import {readRequestBody, type BodyResult} from './request-body.js';
import type {RelayServices} from './relay-services.js';
import {computeBackoffMs, listUsableServers} from './server-availability.js';

/**
 * Share of the grace period of a planned stop after which new requests are refused that may not finish before the process ends:
 * streams, and requests whose time limit is later.
 */
const stopRefusalShare = 0.3;
/** Time after which they are refused at the latest, in ms: by then callers know that this entry has left the list of entries. */
const stopRefusalMs = 3000;

/** A request whose body was read. */
type WholeRequest = {route: Route; table: RouteTable; workspace: string | undefined; body: Buffer | undefined};

/**
 * Time after a restart in which requests wait for the configuration, in ms: a process reads it within some hundred ms. When all entries
 * restart at once, their callers have used up their retries, so that a refusal would be final for them.
 */
const restartWaitMs = 1000;
/** Longest wait of one request, in ms; callers abandon a request that is not read within a second. */
const startWaitMs = 500;
/** Interval at which a waiting request is admitted again, in ms. */
const startCheckMs = 10;

/** What an admitted request uses, or why it is refused. */
type Admission = {route: Route; table: RouteTable; workspace: string | undefined} | AnswerReason;

/** Handles one caller request from its head to the final answer. */
export class RelayRequest {
	readonly #services: RelayServices;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #writer: AnswerWriter;
	readonly #envelope: RequestEnvelope;
	readonly #arrivedAt: number;
	/** Undefined until the whole request was read. */
	#attempts: RequestAttempts | undefined;
	#route: Route | undefined;
	/** Name of the service; undefined until one was selected. */
	#service: string | undefined;
	/** Urgency of the request on a service whose requests differ in it. */
	#urgency: number | undefined;
	/** Fingerprints of the content and of the parts of its prompt that other requests may share; empty until the whole request was read. */
	#fingerprints: string[] = [];

	constructor(services: RelayServices, request: IncomingMessage, response: ServerResponse) {
		this.#services = services;
		this.#request = request;
		this.#response = response;
		this.#envelope = services.wire.decodeRequest(request.headers);
		this.#arrivedAt = services.timer.now();
		this.#writer = new AnswerWriter(response, () => services.getStoppingMs() !== undefined);
	}

	/** Serves the request; resolves when its answer has ended. */
	async run(): Promise<void> {
		if (this.#writer.isOver) {
			// Refused while it waited for its turn.
			return;
		}

		const admitted = await this.#admitAfterStart();
		if (typeof admitted === 'string') {
			this.#answer(admitted);
			return;
		}

		const {route, table, workspace} = admitted;
		this.#route = route;
		this.#setCaller(route, workspace);
		const {bodyArrivals: arrivals, timer} = this.#services;
		const body = await readRequestBody(this.#request, {
			limits: table.configuration.limits, remainingMs: this.#computeRemainingMs(route), workspace, arrivals, timer,
		});
		if (body.type !== 'read') {
			this.#answerUnreadBody(body.type);
			return;
		}

		try {
			if (this.#writer.isOver) {
				// Refused meanwhile, for example by a planned stop.
				return;
			}

			await this.#runWhole({
				route, table, workspace, body: body.body,
			});
		} finally {
			body.hold?.release();
		}
	}

	/** Refuses the request unless a backend server may have run it. */
	refuse(): void {
		if (!this.#mayHaveRun) {
			this.#answer('stopping');
		}
	}

	/** Serves the request after its body was read. */
	async #runWhole({route, table, workspace, body}: WholeRequest): Promise<void> {
		const {model, sharedPartIds = []} = this.#envelope.prompt ?? {};
		const content = hashContent({
			workspace, method: this.#request.method ?? '', path: this.#request.url ?? '', body,
		});
		this.#fingerprints = [content, ...new Set(sharedPartIds.map(id => hashPart(model, id)))];
		const cancelTimeout = this.#services.timer.schedule(Math.max(0, this.#computeRemainingMs(route)), () => {
			this.#handleTimeout();
		});
		this.#writer.subscribeToCallerGone(() => {
			this.#handleCallerGone(route);
		});
		await this.#runAttempts({
			route, table, workspace, body,
		});
		cancelTimeout();
		this.#services.metrics.recordDuration(route.name, this.#services.timer.now() - this.#arrivedAt);
	}

	/** Holds what the caller does not take of its answer in its workspace's account. */
	#setCaller(route: Route, workspace: string | undefined): void {
		const {timer, memory, metrics, refusalLog} = this.#services;
		this.#writer.setCaller({
			timer, hold: memory.open({kind: memoryKinds.answer, workspace}), stallMs: route.timeoutMs,
			notifyClosed: reason => {
				metrics.countEvent(`caller.answer_${reason}`);
				refusalLog.write('caller.answer_cut', reason, this.#envelope.requestId, {route: route.name, afterMs: Math.round(timer.now() - this.#arrivedAt)});
			},
		});
	}

	/** Admits the request; right after a restart, once the configuration and the credentials were read. */
	async #admitAfterStart(): Promise<Admission> {
		const {getRestartedMs, timer} = this.#services;
		let admitted = this.#admit();
		while (isUnread(admitted) && (getRestartedMs() ?? restartWaitMs) < restartWaitMs && timer.now() - this.#arrivedAt < startWaitMs && !this.#writer.isOver) {
			await waitFor(timer, startCheckMs);
			admitted = this.#admit();
		}

		return admitted;
	}

	#admit(): Admission {
		const {storeState} = this.#services;
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

		if (this.#isLateInStop(route)) {
			return 'stopping';
		}

		const workspace = this.#findWorkspace(table, route);
		return typeof workspace === 'string' ? workspace : {route, table, workspace: workspace.name};
	}

	/** True when a planned stop has come so far that a backend server may not finish the request before the process ends. */
	#isLateInStop(route: Route): boolean {
		const {getStoppingMs, getStopLeftMs, bounds} = this.#services;
		const isLate = (getStoppingMs() ?? 0) > Math.min(bounds.graceMs * stopRefusalShare, stopRefusalMs);
		return isLate && (route.execution === executionKinds.stream || this.#computeRemainingMs(route) > getStopLeftMs()!);
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

	async #runAttempts({route, table, workspace, body}: WholeRequest): Promise<void> {
		const {random, getBudget, timer} = this.#services;
		const serviceName = selectTarget(route.targets, random());
		const service = serviceName === undefined ? undefined : table.findService(serviceName);
		if (service === undefined) {
			this.#answer('noServer');
			return;
		}

		this.#service = service.name;
		this.#urgency = table.getUrgency(service.name, route, workspace);
		getBudget(service.name).recordRequest(timer.now());
		this.#attempts = new RequestAttempts(this.#services, {
			request: this.#request, envelope: this.#envelope, body, route, service, workspace, urgency: this.#urgency, fingerprints: this.#fingerprints,
			writer: this.#writer, arrivedAt: this.#arrivedAt, computeRemainingMs: () => this.#computeRemainingMs(route), isLateInStop: () => this.#isLateInStop(route),
		});
		this.#answerEnd(await this.#attempts.run(), route);
	}

	/** Ends the request with the entry's own answer when no attempt has delivered one. */
	#answerEnd(end: AttemptsEnd, route: Route): void {
		if (end.type === 'failed') {
			this.#answerFailed(end.result, route);
			return;
		}

		if (end.type === 'unplaced') {
			this.#answerUnplaced();
			return;
		}

		if (end.type === 'deadlineUnreachable') {
			this.#answer(this.#mayHaveRun ? 'serverFailed' : 'deadlineUnreachable');
			return;
		}

		if (end.type === 'stopping') {
			this.#answer('stopping');
			return;
		}

		if (end.type === 'content_refused') {
			this.#answer(this.#mayHaveRun ? 'serverFailed' : 'quarantined');
		}
	}

	/** True once a backend server may have run the request. */
	get #mayHaveRun(): boolean {
		return this.#attempts?.mayHaveRun ?? false;
	}

	#computeRemainingMs(route: Route): number {
		const elapsedMs = this.#services.timer.now() - this.#arrivedAt;
		return Math.min(route.timeoutMs, this.#envelope.deadlineMs ?? Number.POSITIVE_INFINITY) - elapsedMs;
	}

	#handleTimeout(): void {
		this.#attempts?.cancel();
		this.#answer(this.#mayHaveRun ? 'timeout' : 'timeoutNotRun');
	}

	#handleCallerGone(route: Route): void {
		// A request that must not run twice continues, because its caller may query the result by other means.
		if (isRepeatable(route) || route.execution === executionKinds.stream || !this.#mayHaveRun) {
			this.#attempts?.cancel();
		}

		this.#services.log.writeRequest('caller.gone', this.#envelope.requestId, {route: route.name, afterMs: Math.round(this.#services.timer.now() - this.#arrivedAt)});
	}

	#answerUnreadBody(type: UnreadBodyType): void {
		if (type !== 'aborted') {
			this.#answer(unreadBodyReasons[type]);
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
			queue: this.#describeQueue(),
			isQuarantined: quarantine.isQuarantined(this.#fingerprints),
			backoffMs: backoffReasons.has(reason) ? computeBackoffMs(this.#services, listUsableServers(this.#services, this.#route)) : undefined,
			targetMs: this.#route?.targetMs ?? 0,
			callerLeftMs: (this.#envelope.deadlineMs ?? Number.POSITIVE_INFINITY) - (timer.now() - this.#arrivedAt),
			random: random(),
		});
	}

	#describeQueue(): RefusedRequest['queue'] {
		return this.#service === undefined || this.#urgency === undefined
			? undefined
			: {urgency: this.#urgency, drainMs: this.#services.waiting.estimateDrainMs(this.#service, this.#urgency)};
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

		const {wire, log, metrics, timer, refusalLog} = this.#services;
		const {status, isNotRun} = answerReasons[reason];
		const retryAfterMs = isNotRun && status === 503 ? this.#computeRetryAfterMs(reason) : undefined;
		metrics.countAnswer(this.#route?.name ?? 'none', reason);
		const fields = {
			route: this.#route?.name, reason, status, isNotRun, retryAfterMs, afterMs: Math.round(timer.now() - this.#arrivedAt), sentTo: this.#attempts?.sentAttempts ?? 0,
			configuration: this.#services.storeState.table?.configuration.version, configurationAgeMs: Math.round(this.#services.storeState.computeConfigurationAgeMs()),
			tokens: this.#envelope.prompt?.promptTokens, content: this.#fingerprints[0], parts: this.#fingerprints.slice(1),
			...(reason === 'quarantined' && this.#describeQuarantine()),
			holds: this.#services.serverNotices.describeHolds(listUsableServers(this.#services, this.#route)),
		};
		if (crowdReasons.has(reason)) {
			metrics.countRefusedCaller(reason);
			refusalLog.write('answer', reason, this.#envelope.requestId, fields);
		} else {
			log.writeRequest('answer', this.#envelope.requestId, fields);
		}

		if (!this.#request.complete && (bodyReasons.has(reason) || !isCheaplyDiscarded(this.#request))) {
			this.#writer.closeConnection();
			closeAfterAnswer(this.#request, this.#response, timer);
		} else {
			limitDiscard(this.#request, timer);
		}

		this.#writer.writeOwnAnswer(status, wire.encodeOwnAnswer({requestId: this.#envelope.requestId, retryAfterMs}));
	}
}

/**
 * HTTP statuses that tell a caller that its request was not run. They are not forwarded for a request that a backend server
 * ran and that must not run twice, since its caller could then repeat it.
 */
const notRunStatuses = new Set([408, 421, 429, 503]);

type UnreadBodyType = Exclude<BodyResult['type'], 'read'>;

const unreadBodyReasons = {
	too_large: 'bodyTooLarge', idle: 'bodyIdle', late: 'bodyLate', evicted: 'bodyEvicted', // eslint-disable-line @typescript-eslint/naming-convention
} as const satisfies Record<Exclude<UnreadBodyType, 'aborted'>, AnswerReason>;

/** Reasons of requests whose body is not read to its end. */
const bodyReasons = new Set<AnswerReason>(Object.values(unreadBodyReasons));

/** Reasons that a crowd of callers causes by what it sends; their log lines are limited. */
const crowdReasons = new Set<AnswerReason>(['headTooLarge', ...bodyReasons]);

/** Reasons of refusals for which a caller should return once the first backend server accepts requests, while all of them back off. */
const backoffReasons = new Set<AnswerReason>(['serversBackingOff', 'notRunByServers', 'timeoutNotRun']);

const countHeaderBytes = (request: IncomingMessage): number => {
	let bytes = 0;
	for (const part of request.rawHeaders) {
		bytes += part.length + 2;
	}

	return bytes;
};

/** True when a request is refused because the process has not read the configuration or the credentials yet. */
const isUnread = (admitted: unknown): boolean => admitted === 'unconfigured' || admitted === 'unconfirmedCredential';
