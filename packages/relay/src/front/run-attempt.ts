import {Buffer} from 'node:buffer';
import {
	executionKinds, isRepeatable, memoryKinds, readingDecisions, type MemoryHold, type ReadingDecision,
} from '@knapweedrack/core';
import {
	startAttempt, type AnswerHead, type AttemptEnd, type AttemptListener, type RunningAttempt,
} from '../exchange/attempt.js';
import type {BackendConnection} from '../exchange/backend-connections.js';
import {describeEvents, EventSplitter, type SplitEvents} from '../exchange/event-splitter.js';
import {runAfterInput} from '../exchange/run-after-input.js';
import type {PlacedRequest} from '../placement/placement-task.js';
import {lossKinds} from '../quarantine/crash-detection-task.js';
import {
	hasRequestId, isEventStream, isFromServer, isSuccessOf, isUnusable,
} from './answer-checks.js';
import {untakenReasons, type UntakenReason} from './answer-writer.js';
import type {AttemptOptions, CancelReason} from './attempt-options.js';
import type {AttemptResult} from './attempt-result.js';
import {KeptEvents} from './kept-events.js';
import type {RelayServices} from './relay-services.js';
import {SilenceWatch} from './silence-watch.js';

/** Bytes of an answer that are buffered until it is complete, so that the request can be retried when the connection fails. */
const heldAnswerLimitBytes = 64 * 1024;
/** Largest body of a failure, of an unusable answer, or of one event, in bytes; a longer one ends the attempt. */
const unforwardedLimitBytes = 1024 * 1024;

const cancelResults: Record<CancelReason, AttemptResult> = {
	requestOver: {type: 'cancelled'},
	lostSilent: {
		type: 'broken', cause: 'the backend server was silent and another one continued the answer', loss: lossKinds.silence, hasLost: true,
	},
	lost: {type: 'cancelled', hasLost: true},
};

/** Runs one attempt and forwards its answer to the caller; rejects when its start or the handling of its end throws. */
export const runAttempt = async (services: RelayServices, options: AttemptOptions): Promise<AttemptResult> =>
	new Promise((resolve, reject) => {
		const task = new AttemptTask(services, options, {resolve, reject});
		task.start();
	});

/**
 * Handling of the answer: no head yet, forwarded by event, buffered, forwarded by chunk after the buffer is full, or buffered
 * as a failure.
 */
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
	#sentAt = 0;
	#firstByteAt: number | undefined;
	#latestEventAt = 0;
	#longestPauseMs = 0;
	/** True once an event with data was passed on. */
	#hasBroughtData = false;
	#hasCompleted = false;
	#isDelimited = false;
	#isOver = false;
	/** Events of an attempt that has lost; it stays set after `resume` until the attempt has reached the place of the caller. */
	#kept: KeptEvents | undefined;
	#isKept = false;
	/** End of the answer of a kept attempt. */
	#keptEnd: AttemptEnd | undefined;
	#silence: SilenceWatch | undefined;
	/** Cancels the decision at the end of a pause. */
	#cancelPauseCheck: (() => void) | undefined;
	#running: RunningAttempt | undefined;
	#connection: BackendConnection | undefined;
	/** Memory for bytes that cannot be forwarded yet: incomplete events, buffered answers and kept events. */
	readonly #hold: MemoryHold;

	constructor(
		private readonly services: RelayServices,
		private readonly options: AttemptOptions,
		private readonly settle: {resolve: (result: AttemptResult) => void; reject: (error: Error) => void},
	) {
		this.#hold = services.memory.open({kind: memoryKinds.held, workspace: options.workspace});
	}

	start(): void {
		try {
			this.#send();
		} catch (error) {
			this.#fail(error as Error);
		}
	}

	/** Forwards the complete events of a stream. */
	passEvents(chunk: Buffer): boolean {
		if (isUnusable(this.#head!)) {
			return this.hold(chunk);
		}

		const events = this.#splitter.add(chunk);
		if (events.bytes === undefined) {
			if (this.#splitter.heldBytes > unforwardedLimitBytes) {
				this.#abort('an event of the stream is too long');
			}

			return this.#holdOrAbort();
		}

		const canContinue = this.#kept === undefined ? this.#passComplete(events.bytes, events) : this.#keepEvents(this.#kept, events.bytes);
		return this.#holdOrAbort() && canContinue;
	}

	/** Buffers an answer until it is complete or exceeds `heldAnswerLimitBytes`, or there is no memory to buffer it. */
	hold(chunk: Buffer): boolean {
		this.#heldChunks.push(chunk);
		this.#heldBytes += chunk.length;
		const isBeyondLimit = !this.#tryHold() || this.#heldBytes > heldAnswerLimitBytes;
		if (this.#mode === answerModes.held && isBeyondLimit && this.options.writer.isOpen && !isUnusable(this.#head!) && this.options.claimAnswer()) {
			this.#mode = answerModes.passing;
			// No other attempt can go on with this answer.
			this.options.progress.isResumable = false;
			this.#silence?.stop();
			this.options.writer.start(this.#head!);
			this.#firstByteAt = this.services.timer.now();
			this.#recordFirstByte();
			const bytes = this.#removeHeldBytes();
			this.#tryHold();
			return this.#passOn(bytes);
		}

		if (this.#heldBytes > unforwardedLimitBytes) {
			this.#abort('the answer cannot be forwarded and is too long');
		}

		return this.#holdOrAbort();
	}

	pass(chunk: Buffer): boolean {
		return this.#passOn(chunk);
	}

	/** Ends a stream that the backend server has ended; one that ends within an event was broken off. */
	endStream(head: AnswerHead): AttemptResult {
		const {writer, progress} = this.options;
		const hasEvents = this.#firstByteAt !== undefined || isEventStream(head);
		if (this.#kept !== undefined) {
			return {type: 'broken', cause: 'the stream ended before the last event that the caller has received', loss: undefined};
		}

		if (hasEvents && this.#splitter.isWithinEvent) {
			return {type: 'broken', cause: 'the stream ended within an event', loss: lossKinds.connection};
		}

		// An end without an event ends the answer only when its framing shows that the server has said so, not when the connection was closed.
		const isEmpty = isEventStream(head) && !this.#hasBroughtData;
		if (isEmpty && !this.#isDelimited && (progress.isEventStream || !this.options.isAlone())) {
			return {type: 'broken', cause: 'the stream ended without an event', loss: undefined};
		}

		if (!this.options.claimAnswer()) {
			return cancelResults.lost;
		}

		if (writer.isOpen) {
			writer.start(head);
		}

		if (!writer.write(this.#splitter.removeIncompleteEvent())) {
			writer.cut(untakenReasons.noMemory);
			return {type: 'cut', cause: untakenReasons.noMemory};
		}

		writer.end();
		return {type: 'delivered'};
	}

	/** Forwards a buffered answer. */
	endHeld(head: AnswerHead): AttemptResult {
		const {writer} = this.options;
		if (!writer.isOpen) {
			return {type: 'broken', cause: noStreamCause, loss: undefined};
		}

		if (!this.options.claimAnswer()) {
			return cancelResults.lost;
		}

		this.#firstByteAt = this.services.timer.now();
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
			? {
				type: 'not_run', cause: `status ${head.status}`, causeAddress: head.envelope.causeAddress, status: head.status,
			}
			: {type: 'failed', head, body: Buffer.concat(this.#heldChunks)};
	}

	/** Leaves the answer unread until the caller takes a part or the longest pause is over. */
	pauseReading(): boolean {
		const {services: {timer}, options: {writer}} = this;
		this.#cancelPauseCheck ??= timer.schedule(writer.computePauseLeftMs(timer.now()), () => {
			this.#cancelPauseCheck = runAfterInput(() => {
				this.#cancelPauseCheck = undefined;
				if (!this.#isOver) {
					this.#followReader(true);
				}
			});
		});
		return false;
	}

	/** Ends the attempt after the last event that was passed on; another one continues the stream when the caller has taken that. */
	detach(cause: UntakenReason): boolean {
		this.#running?.cancel();
		this.#finish({type: 'detached', cause});
		return true;
	}

	/** Ends an answer that no other attempt can continue. */
	cut(cause: UntakenReason): boolean {
		this.options.writer.cut(cause);
		this.#running?.cancel();
		this.#finish({type: 'cut', cause});
		return true;
	}

	/** Holds the events of a kept attempt, or passes on those after the caller's last one once it has reached that. */
	#keepEvents(kept: KeptEvents, bytes: Buffer): boolean {
		this.#silence?.recordEvent();
		const {lastEventId} = this.options.progress;
		if (!kept.add(bytes, lastEventId) && this.#isKept) {
			this.#running?.cancel();
			this.#finish(cancelResults.lost);
			return true;
		}

		return this.#isKept || this.#passKept(kept);
	}

	/** Passes on the events of a kept attempt that follow the caller's last one. */
	#passKept(kept: KeptEvents): boolean {
		const rest = kept.removeAfter(this.options.progress.lastEventId);
		if (rest === undefined) {
			return true;
		}

		this.#kept = undefined;
		return rest.length === 0 || this.#passComplete(rest, describeEvents(rest));
	}

	#passComplete(bytes: Buffer, {lastEventId, endsWithId}: SplitEvents): boolean {
		const {writer, progress, placed} = this.options;
		// Comments and other blocks without data are no part of the answer, so they do not end an attempt that may bring the next one.
		const hasData = endsWithId !== undefined;
		if (!hasData && !this.options.isAlone()) {
			this.#silence?.recordEvent();
			return this.#holdBlocks(bytes);
		}

		if (!this.options.claimAnswer()) {
			return true;
		}

		this.#hasBroughtData ||= hasData;
		this.#recordEvents(placed);
		if (writer.isOpen) {
			writer.start(this.#head!);
			progress.isEventStream = isEventStream(this.#head!);
			this.#recordFirstByte();
		}

		return this.#passOn(Buffer.concat([this.#removeHeldBytes(), bytes]), () => {
			progress.latestPartAt = this.services.timer.now();
			progress.lastEventId = lastEventId ?? progress.lastEventId;
			progress.isResumable = endsWithId ?? progress.isResumable;
		});
	}

	/** Writes a part of the answer to the caller and records it once it is written; returns false to pause reading. */
	#passOn(bytes: Buffer, recordPart: () => void = () => undefined): boolean {
		const hasRoom = this.options.writer.write(bytes);
		if (hasRoom) {
			recordPart();
		}

		return this.#followReader(hasRoom);
	}

	/** Does with the answer what its caller's reading calls for; returns false to pause reading. */
	#followReader(hasRoom: boolean): boolean {
		const {services: {timer}, options: {writer, progress, route}} = this;
		if (writer.isOver) {
			return true;
		}

		const isResumable = this.#mode === answerModes.stream && isEventStream(this.#head!) && isRepeatable(route) && progress.isResumable;
		return readingHandlers[writer.decideReading(timer.now(), {isResumable, hasRoom})](this, hasRoom ? untakenReasons.behind : untakenReasons.noMemory);
	}

	/** An attempt that has continued a stream can go on with it when the winner breaks off. */
	#tryKeep(): boolean {
		if (this.#isOver || this.#mode !== answerModes.stream || !this.#hasBroughtData || !this.options.progress.isResumable) {
			return false;
		}

		this.#isKept = true;
		// Blocks without data that were held here are no part of the answer.
		this.#removeHeldBytes();
		this.#kept ??= new KeptEvents(this.options.progress.lastEventId);
		return true;
	}

	#resume(): void {
		this.#isKept = false;
		if (this.#kept !== undefined) {
			this.#passKept(this.#kept);
		}

		if (this.#keptEnd !== undefined && !this.#isKept) {
			this.#handleEnd(this.#keptEnd);
		}
	}

	/** Holds blocks without data until the next event of this attempt. */
	#holdBlocks(bytes: Buffer): boolean {
		this.#heldChunks.push(bytes);
		this.#heldBytes += bytes.length;
		if (this.#heldBytes > unforwardedLimitBytes) {
			this.#abort('the stream has too many bytes without an event');
		}

		return true;
	}

	/** Accounts for the bytes that are held now; returns false when there is no memory for them. */
	#tryHold(): boolean {
		const added = this.#heldBytes + this.#splitter.heldBytes + (this.#kept?.bytes ?? 0) - this.#hold.bytes;
		if (added <= 0) {
			this.#hold.remove(-added);
			return true;
		}

		return this.#hold.tryAdd(added);
	}

	/** Ends the attempt when there is no memory for the bytes that are held now; returns true, since no caller has to take them. */
	#holdOrAbort(): boolean {
		if (!this.#isOver && !this.#tryHold()) {
			this.services.metrics.countEvent('attempt.no_memory');
			this.#abort('there is no memory to hold the answer');
		}

		return true;
	}

	/** Removes and returns the bytes that are held, so that they no longer count against a limit. */
	#removeHeldBytes(): Buffer {
		const bytes = Buffer.concat(this.#heldChunks);
		this.#heldChunks = [];
		this.#heldBytes = 0;
		return bytes;
	}

	#send(): void {
		const {services: {connections, reachability, wire, countEntries}, options: {placed, request, body, requestId, service}} = this;
		const share = Math.max(1, Math.floor(service.maxConnections / Math.max(1, countEntries())));
		const connection = connections.acquire(placed.server, share);
		if (connection === undefined) {
			this.#finish({type: 'not_sent', cause: 'all connections to the backend server are in use'});
			return;
		}

		this.#connection = connection;
		this.#sentAt = this.services.timer.now();
		const running = startAttempt(
			connection,
			{
				method: request.method ?? 'GET', path: request.url ?? '/', headers: this.#buildHeaders(), body, requestId,
			},
			this.#buildListener(),
			wire.decodeAnswer,
		);
		this.#running = running;
		// From here on bytes may be sent at any time, so the request counts as sent until the result of the attempt says otherwise.
		this.options.setSent();
		reachability.recordSent();
		this.options.setControl({
			cancel: reason => {
				running.cancel();
				this.#finish(cancelResults[reason]);
			},
			tryKeep: () => this.#tryKeep(),
			resume: () => {
				try {
					this.#resume();
				} catch (error) {
					this.#fail(error as Error);
				}
			},
		});
		this.#cleanups.push(this.options.writer.subscribeToRoom(() => {
			this.#stopPauseCheck();
			// Resuming delivers bytes that were read before, which may pause the answer again.
			this.#silence?.resume();
			running.resume();
		}), () => {
			this.#stopPauseCheck();
		});
		this.#silence = new SilenceWatch(this.services, this.options, () => this.#mode === answerModes.waiting);
		this.#silence.start();
	}

	#stopPauseCheck(): void {
		this.#cancelPauseCheck?.();
		this.#cancelPauseCheck = undefined;
	}

	#buildHeaders(): string[] {
		const {services: {wire}, options: {placed, request, remainingMs, workspace, progress, reservations}} = this;
		return wire.encodeDispatch(request.rawHeaders, {
			serverId: placed.server.id,
			remainingMs,
			workspace,
			helpers: placed.helpers.map(({id, address}) => ({address, reservationId: reservations.get(id)})),
			urgency: this.options.urgency,
			lastEventId: progress.lastEventId,
		});
	}

	#buildListener(): AttemptListener {
		return {
			handleHead: head => {
				this.#handleHead(head);
			},
			handleData: chunk => this.#handleData(chunk),
			handleEnd: end => {
				try {
					this.#handleEnd(end);
				} catch (error) {
					this.#fail(error as Error);
				}
			},
		};
	}

	#handleHead(head: AnswerHead): void {
		this.#head = head;
		this.#mode = this.#selectMode(head);
		this.options.notifyProgress();
		const {services: {serverLimits, serverNotices}, options: {placed: {server}}} = this;
		if (isFromServer(head)) {
			serverLimits.recordAnswer(server, head.envelope.requestsPerSecondLimit);
		}

		if (isFromServer(head) || hasRequestId(head)) {
			serverNotices.recordAnswer(server, head.envelope, {sentAt: this.#sentAt, tunnelPeerId: this.#connection?.tunnelPeerId});
		}

		if (this.#mode === answerModes.stream && this.options.progress.isEventStream && !isEventStream(head)) {
			this.#abort(noStreamCause);
		}
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

		this.options.notifyProgress();
		const canContinue = dataHandlers[this.#mode](this, chunk);
		if (!canContinue) {
			this.#silence?.pause();
		}

		return canContinue;
	}

	#recordEvents(placed: PlacedRequest): void {
		const now = this.services.timer.now();
		if (this.#firstByteAt === undefined) {
			this.#firstByteAt = now;
			placed.setDecoding();
		} else {
			this.#longestPauseMs = Math.max(this.#longestPauseMs, now - this.#latestEventAt);
		}

		this.#latestEventAt = now;
		this.#silence?.recordEvent();
	}

	/** Records the time to the first byte that the caller receives. A retried stream may have sent that byte in an earlier attempt. */
	#recordFirstByte(): void {
		const {services: {metrics, timer}, options: {route, arrivedAt}} = this;
		metrics.recordFirstByte(route.name, timer.now() - arrivedAt);
	}

	/** Closes the connection because of what the backend server has sent. */
	#abort(cause: string): void {
		this.#running?.cancel();
		this.#finish({type: 'broken', cause, loss: undefined});
	}

	#handleEnd(end: AttemptEnd): void {
		if (this.#isKept && end.type === 'complete') {
			this.#keptEnd = end;
			this.#silence?.stop();
			this.options.notifyProgress();
			this.options.notifyEndedKept();
			return;
		}

		if (end.type !== 'complete') {
			this.#finish(end.type === 'broken' ? {type: 'broken', cause: end.cause, loss: end.isConnectionLost ? lossKinds.connection : undefined} : end);
			return;
		}

		if (this.#head === undefined || isUnusable(this.#head)) {
			this.#finish({type: 'broken', cause: 'the answer has no signature or has a content encoding', loss: undefined});
			return;
		}

		this.#isDelimited = end.isDelimited;
		this.#hasCompleted = end.isDelimited && this.#isResultOfRun(this.#head);
		this.#finish(endHandlers[this.#mode](this, this.#head));
	}

	/** True when the content was run to its end; a stream of events has at least one. */
	#isResultOfRun(head: AnswerHead): boolean {
		const {requestId, route} = this.options;
		const isStreamRun = this.#mode === answerModes.stream && (!isEventStream(head) || this.#firstByteAt !== undefined);
		return (route.execution !== executionKinds.stream || isStreamRun) && isSuccessOf(head, requestId);
	}

	/** Ends the attempt and its connection after an exception. */
	#fail(error: Error): void {
		if (this.#isOver) {
			return;
		}

		this.#stop();
		this.#running?.cancel();
		this.#connection?.release();
		this.settle.reject(error);
	}

	#stop(): void {
		this.#isOver = true;
		this.#hold.release();
		this.#silence?.stop();
		for (const cleanup of this.#cleanups) {
			cleanup();
		}
	}

	#finish(result: AttemptResult): void {
		if (this.#isOver) {
			return;
		}

		this.#stop();
		// A buffered answer is dropped and the request can be retried; an answer that was partly forwarded can only be aborted.
		if (this.#mode === answerModes.passing && result.type === 'broken') {
			this.options.writer.writeOwnAnswer(badGatewayStatus, {});
		}

		this.settle.resolve({
			...result, firstByteAt: this.#firstByteAt, longestPauseMs: this.#longestPauseMs, silentMs: this.services.timer.now() - Math.max(this.#sentAt, this.#latestEventAt),
			hasCompleted: this.#hasCompleted, isDelimited: this.#isDelimited,
			hasHead: this.#head !== undefined, requestsPerSecondLimit: this.#head?.envelope.requestsPerSecondLimit, backoffMs: this.#head?.envelope.backoffMs,
			tunnelPeerId: this.#connection?.tunnelPeerId,
		});
	}
}

const noStreamCause = 'the answer is not a stream, but an earlier attempt has begun to stream to the caller';
const okStatus = 200;
const tooManyRequestsStatus = 429;
const serverErrorStatus = 500;
const badGatewayStatus = 502;

const dataHandlers: Record<AnswerMode, (task: AttemptTask, chunk: Buffer) => boolean> = {
	waiting: () => true,
	stream: (task, chunk) => task.passEvents(chunk),
	held: (task, chunk) => task.hold(chunk),
	failure: (task, chunk) => task.hold(chunk),
	passing: (task, chunk) => task.pass(chunk),
};

const readingHandlers: Record<ReadingDecision, (task: AttemptTask, cause: UntakenReason) => boolean> = {
	[readingDecisions.read]: () => true,
	[readingDecisions.pause]: task => task.pauseReading(),
	[readingDecisions.detach]: (task, cause) => task.detach(cause),
	[readingDecisions.cut]: (task, cause) => task.cut(cause),
};

const endHandlers: Record<AnswerMode, (task: AttemptTask, head: AnswerHead) => AttemptResult> = {
	waiting: () => ({type: 'broken', cause: 'the answer ended before its head was received', loss: lossKinds.connection}),
	stream: (task, head) => task.endStream(head),
	held: (task, head) => task.endHeld(head),
	failure: (task, head) => task.endFailure(head),
	passing: task => task.endPassing(),
};
