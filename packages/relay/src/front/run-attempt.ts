import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	computeFullPassMs, executionKinds, isRepeatable, type Route, type Service,
} from '@knapweedrack/core';
import {
	startAttempt, type AnswerHead, type AttemptEnd, type AttemptListener,
} from '../exchange/attempt.js';
import {EventSplitter} from '../exchange/event-splitter.js';
import type {PlacedRequest} from '../placement/placement-task.js';
import type {AnswerWriter} from './answer-writer.js';
import type {RelayServices} from './relay-services.js';

/** Bytes of an answer that are held back until it is complete, so that a request that broke off can be repeated. */
const heldAnswerLimitBytes = 64 * 1024;
/** Multiple of a route's target after which a backend server without an answer is given up for another one. */
const silentTargetFactor = 2;
/** Share of the remaining time that one attempt may use when another one can follow. */
const attemptTimeShare = 0.5;

/** Factor and addition on the predicted first token after which it is overdue, in ms; predictions are within a pass of it. */
const firstTokenFactor = 2;
const firstTokenMarginMs = 500;
/** Least pause within a stream after which its next event is overdue, in ms; reading beside it takes about this time. */
const minOverduePauseMs = 900;
/** Multiple of the pass of a full engine after which an event is overdue. */
const overduePassFactor = 4;

/** How an attempt ended for its request. */
export type AttemptResult = {firstByteMs?: number | undefined; longestPauseMs?: number | undefined} & (
	/** The whole answer was passed on. */
	| {type: 'delivered'}
	/** The backend server answered with a failure. */
	| {type: 'failed'; head: AnswerHead; body: Buffer}
	/** The backend server stated that it did not run the request. */
	| {type: 'not_run'; cause: string; causeAddress: string | undefined}
	/** No byte of the request was sent. */
	| {type: 'not_sent'; cause: string}
	| {type: 'broken'; cause: string}
	| {type: 'cancelled'}
);

/** What the caller of a stream has received so far. */
export type StreamProgress = {lastEventId: string | undefined};

/** One attempt of a request. */
export type AttemptOptions = {
	request: IncomingMessage;
	requestId: string | undefined;
	body: Buffer | undefined;
	route: Route;
	service: Service;
	placed: PlacedRequest;
	workspace: string | undefined;
	/** Reservations by the id of the helper that keeps the memory. */
	reservations: ReadonlyMap<string, string>;
	remainingMs: number;
	/** Arrival of the request, on the timer service's clock. */
	arrivedAt: number;
	writer: AnswerWriter;
	progress: StreamProgress;
	/** True when no other attempt may follow. */
	isLast: boolean;
	setCancel: (cancel: () => void) => void;
	setSent: () => void;
};

/** Runs one attempt and passes its answer on. */
export const runAttempt = async (services: RelayServices, options: AttemptOptions): Promise<AttemptResult> =>
	new Promise(resolve => {
		const task = new AttemptTask(services, options, resolve);
		task.start();
	});

/** States of the answer of an attempt. */
const answerModes = {
	waiting: 'waiting', stream: 'stream', held: 'held', passing: 'passing', failure: 'failure',
} as const;
type AnswerMode = (typeof answerModes)[keyof typeof answerModes];

class AttemptTask {
	readonly #splitter = new EventSplitter();
	readonly #cleanups: Array<() => void> = [];
	#mode: AnswerMode = answerModes.waiting;
	#head: AnswerHead | undefined;
	#heldChunks: Buffer[] = [];
	#heldBytes = 0;
	#firstByteMs: number | undefined;
	#latestEventAt = 0;
	#longestPauseMs = 0;
	#isOver = false;
	#postponeDueTime: ((dueAt: number) => void) | undefined;

	constructor(
		private readonly services: RelayServices,
		private readonly options: AttemptOptions,
		private readonly resolve: (result: AttemptResult) => void,
	) {}

	start(): void {
		const {services: {connections, wire, countEntries}, options: {placed, request, body, requestId, service}} = this;
		const share = Math.max(1, Math.floor(service.maxConnections / Math.max(1, countEntries())));
		const connection = connections.acquire(placed.server, share);
		if (connection === undefined) {
			this.#finish({type: 'not_sent', cause: 'all connections are in use'});
			return;
		}

		const running = startAttempt(
			connection,
			{
				method: request.method ?? 'GET', path: request.url ?? '/', headers: this.#buildHeaders(), body, requestId,
			},
			this.#buildListener(),
			wire.decodeAnswer,
		);
		// Bytes may leave at any moment from here, so the request counts as sent until the attempt shows otherwise.
		this.options.setSent();
		this.options.setCancel(() => {
			running.cancel();
			this.#finish({type: 'cancelled'});
		});
		this.#cleanups.push(this.options.writer.subscribeToDrain(() => {
			running.resume();
		}));
		const giveUp = (): void => {
			running.cancel();
			this.#finish(running.wasSent() ? {type: 'broken', cause: 'no answer in time'} : {type: 'not_sent', cause: 'no connection in time'});
		};

		this.#scheduleSilenceLimit(giveUp);
		this.#watchSilence(giveUp);
	}

	/** Passes on complete events. */
	passEvents(chunk: Buffer): boolean {
		const {writer, progress, placed} = this.options;
		if (isUnusable(this.#head!)) {
			return true;
		}

		const {bytes, lastEventId} = this.#splitter.add(chunk);
		if (bytes === undefined) {
			return true;
		}

		this.#recordEvents(placed);

		if (writer.isOpen) {
			writer.start(this.#head!);
			this.#recordFirstByte();
		}

		progress.lastEventId = lastEventId ?? progress.lastEventId;
		return writer.write(bytes);
	}

	/** Holds a short answer back until it is complete. */
	hold(chunk: Buffer): boolean {
		this.#heldChunks.push(chunk);
		this.#heldBytes += chunk.length;
		if (this.#mode === answerModes.held && this.#heldBytes > heldAnswerLimitBytes && this.options.writer.isOpen && !isUnusable(this.#head!)) {
			this.#mode = answerModes.passing;
			this.options.writer.start(this.#head!);
			this.#firstByteMs = this.services.timer.now();
			this.#recordFirstByte();
			const bytes = Buffer.concat(this.#heldChunks);
			this.#heldChunks = [];
			return this.options.writer.write(bytes);
		}

		return true;
	}

	pass(chunk: Buffer): boolean {
		return this.options.writer.write(chunk);
	}

	/** Ends a stream that arrived completely. */
	endStream(head: AnswerHead): AttemptResult {
		const {writer} = this.options;
		if (writer.isOpen) {
			writer.start(head);
		}

		const rest = this.#splitter.removeIncompleteEvent();
		if (rest.length > 0) {
			writer.write(rest);
		}

		writer.end();
		return {type: 'delivered'};
	}

	/** Passes on an answer that was held back. */
	endHeld(head: AnswerHead): AttemptResult {
		const {writer} = this.options;
		if (!writer.isOpen) {
			return {type: 'broken', cause: 'an answer of another form than the stream that was begun'};
		}

		this.#firstByteMs = this.services.timer.now();
		this.#recordFirstByte();
		writer.writeWhole(head, Buffer.concat(this.#heldChunks));
		return {type: 'delivered'};
	}

	endPassing(): AttemptResult {
		this.options.writer.end();
		return {type: 'delivered'};
	}

	endFailure(head: AnswerHead): AttemptResult {
		return head.envelope.isNotRun
			? {type: 'not_run', cause: `status ${head.status}`, causeAddress: head.envelope.causeAddress}
			: {type: 'failed', head, body: Buffer.concat(this.#heldChunks)};
	}

	#buildHeaders(): string[] {
		const {services: {wire}, options: {placed, request, remainingMs, workspace, progress, reservations}} = this;
		return wire.encodeDispatch(request.rawHeaders, {
			serverId: placed.server.id,
			remainingMs,
			workspace,
			helpers: placed.helpers.map(({id, address}) => ({address, reservationId: reservations.get(id)})),
			urgency: undefined,
			lastEventId: progress.lastEventId,
		});
	}

	/** Gives up a backend server that stays silent when the request may run on another one. */
	#scheduleSilenceLimit(giveUp: () => void): void {
		const {route, isLast, remainingMs} = this.options;
		if (isLast || route.execution !== executionKinds.idempotent) {
			return;
		}

		const silentMs = Math.min(remainingMs * attemptTimeShare, route.targetMs * silentTargetFactor);
		this.#cleanups.push(this.services.timer.schedule(silentMs, () => {
			if (this.#mode === answerModes.waiting) {
				giveUp();
			}
		}));
	}

	/** Lets a stream be given up together with all other work of a backend server that has fallen silent. */
	#watchSilence(giveUp: () => void): void {
		const {services: {silentServers, timer}, options: {placed, route, isLast}} = this;
		if (route.execution !== executionKinds.stream) {
			return;
		}

		const dueAt = timer.now() + (placed.predictedFirstTokenMs * firstTokenFactor) + firstTokenMarginMs;
		const attempt = silentServers.add(placed.server.id, dueAt, isRepeatable(route) && !isLast ? giveUp : undefined);
		this.#postponeDueTime = attempt.postpone;
		this.#cleanups.push(attempt.remove);
	}

	#buildListener(): AttemptListener {
		return {
			handleHead: head => {
				this.#handleHead(head);
			},
			handleData: chunk => this.#handleData(chunk),
			handleEnd: end => {
				this.#handleEnd(end);
			},
		};
	}

	#handleHead(head: AnswerHead): void {
		this.#head = head;
		this.#mode = this.#selectMode(head);
	}

	#selectMode(head: AnswerHead): AnswerMode {
		if (head.envelope.isNotRun || head.status >= serverErrorStatus || head.status === tooManyRequestsStatus) {
			return answerModes.failure;
		}

		return this.#isStream(head) ? answerModes.stream : answerModes.held;
	}

	#isStream(head: AnswerHead): boolean {
		return this.options.route.execution === executionKinds.stream && head.status === okStatus;
	}

	#handleData(chunk: Buffer): boolean {
		if (this.#isOver) {
			return true;
		}

		return dataHandlers[this.#mode](this, chunk);
	}

	#recordEvents(placed: PlacedRequest): void {
		const now = this.services.timer.now();
		if (this.#firstByteMs === undefined) {
			this.#firstByteMs = now;
			placed.setWriting();
		} else {
			this.#longestPauseMs = Math.max(this.#longestPauseMs, now - this.#latestEventAt);
		}

		this.#latestEventAt = now;
		this.#postponeDueTime?.(now + computeOverduePauseMs(this.options.service));
	}

	/** Records the time to the first byte that the caller gets; a repeated stream has sent it already. */
	#recordFirstByte(): void {
		const {services: {metrics, timer}, options: {route, arrivedAt}} = this;
		metrics.recordFirstByte(route.name, timer.now() - arrivedAt);
	}

	#handleEnd(end: AttemptEnd): void {
		if (end.type !== 'complete') {
			this.#finish(end);
			return;
		}

		if (this.#head === undefined || isUnusable(this.#head)) {
			this.#finish({type: 'broken', cause: 'the answer is not signed or is encoded'});
			return;
		}

		this.#finish(endHandlers[this.#mode](this, this.#head));
	}

	#finish(result: AttemptResult): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		for (const cleanup of this.#cleanups) {
			cleanup();
		}

		// A held answer is dropped and can be repeated; one that was partly passed on can only be cut.
		if (this.#mode === answerModes.passing && result.type === 'broken') {
			this.options.writer.writeOwnAnswer(badGatewayStatus, {});
		}

		this.resolve({...result, firstByteMs: this.#firstByteMs, longestPauseMs: this.#longestPauseMs});
	}
}

const okStatus = 200;
const tooManyRequestsStatus = 429;
const serverErrorStatus = 500;
const badGatewayStatus = 502;
const redirectStatus = 300;

const computeOverduePauseMs = ({engine}: Service): number =>
	engine === undefined ? minOverduePauseMs : Math.max(minOverduePauseMs, computeFullPassMs(engine) * overduePassFactor);

/** A success without a signature, or with an encoded body, is not the backend server's answer. */
const isUnusable = ({status, envelope, headers}: AnswerHead): boolean =>
	status < redirectStatus && (!envelope.isSigned || headers['content-encoding'] !== undefined);

const dataHandlers: Record<AnswerMode, (task: AttemptTask, chunk: Buffer) => boolean> = {
	waiting: () => true,
	stream: (task, chunk) => task.passEvents(chunk),
	held: (task, chunk) => task.hold(chunk),
	failure: (task, chunk) => task.hold(chunk),
	passing: (task, chunk) => task.pass(chunk),
};

const endHandlers: Record<AnswerMode, (task: AttemptTask, head: AnswerHead) => AttemptResult> = {
	waiting: () => ({type: 'broken', cause: 'an end without a head'}),
	stream: (task, head) => task.endStream(head),
	held: (task, head) => task.endHeld(head),
	failure: (task, head) => task.endFailure(head),
	passing: task => task.endPassing(),
};
