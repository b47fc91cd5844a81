import {
	AttemptRace, executionKinds, healthSignals, isRepeatable, type HealthSignal,
} from '@knapweedrack/core';
import {refusingServerCode} from '../exchange/backend-connections.js';
import type {PlacedRequest} from '../placement/placement-task.js';
import type {AdmittedRequest} from './admitted-request.js';
import {cancelReasons, type AttemptControl, type StreamProgress} from './attempt-options.js';
import type {AttemptResult} from './attempt-result.js';
import {
	prepareAttempt, type AttemptPreparation, type PreparedAttempt, type UnpreparedAttempt,
} from './prepare-attempt.js';
import {recordAttempt, type RecordedAttempt} from './record-attempt.js';
import {recordCrashEvidence, type EndedAttempt} from './record-crash-evidence.js';
import type {RelayServices} from './relay-services.js';
import {retryRefusals, type RetryRefusal} from './retry-refusals.js';
import {runAttempt} from './run-attempt.js';

/** Delay before a successor that no server could take is tried again, in ms. */
const successorRetryMs = 500;

/** How the attempts of a request ended; `failed` when the last one did and the request may not be retried. */
export type AttemptsEnd = UnpreparedAttempt | {type: 'failed'; result: AttemptResult};

/** Settles when a successor has ended, so that an error of it is handled where it is awaited. */
type SettledSuccessor = Promise<[PromiseSettledResult<void>]>;

/** One running attempt. */
type Attempt = AttemptControl & {serverId: string};

/** An attempt that has ended; `number` counts the attempts of the request. */
type EndedRun = Pick<EndedAttempt, 'positions' | 'sentAt'> & Pick<RecordedAttempt, 'holds'> & {number: number; result: AttemptResult};

/**
 * Sends one request to backend servers until it is answered. An attempt whose backend server is silent runs on while another one is
 * started beside it; the first to continue the answer cancels the other.
 */
export class RequestAttempts {
	readonly #services: RelayServices;
	readonly #admitted: AdmittedRequest;
	/** Backend servers that are not selected again for this request. */
	readonly #excludedServerIds = new Set<string>();
	readonly #progress: StreamProgress;
	readonly #race = new AttemptRace<Attempt>();
	/** Attempts that were started beside a silent one, since the last retry. */
	#successors: SettledSuccessor[] = [];
	/** Results of the attempts that ended without losing to another one, since the last retry. */
	#results: AttemptResult[] = [];
	#isPreparingSuccessor = false;
	/** Time before which no successor is prepared, on the clock of the timer service, in ms. */
	#nextSuccessorAt = Number.NEGATIVE_INFINITY;
	#latestRefusal: RetryRefusal | undefined;
	/** Number of attempts so far, which numbers them. */
	#attempts = 0;
	/** Number of attempts that sent bytes of the request to a backend server. */
	#sentAttempts = 0;
	/** Number of attempts that a backend server may have run. */
	#possibleRuns = 0;
	/** Number of retries taken from the budget; an attempt that was not sent leaves its retry to the next one. */
	#paidRetries = 0;

	constructor(services: RelayServices, admitted: AdmittedRequest) {
		this.#services = services;
		this.#admitted = admitted;
		this.#progress = {
			lastEventId: admitted.envelope.lastEventId, isResumable: true, isEventStream: false, latestPartAt: undefined,
		};
	}

	/** Number of attempts that sent bytes of the request to a backend server. */
	get sentAttempts(): number {
		return this.#sentAttempts;
	}

	/** True once a backend server may have run the request. */
	get mayHaveRun(): boolean {
		return this.#possibleRuns > 0;
	}

	/** Sends the request until an attempt delivers its answer or no other one may follow; rejects when one throws. */
	async run(): Promise<AttemptsEnd> {
		try {
			return await this.#runUntilEnd();
		} catch (error) {
			this.cancel();
			throw error;
		}
	}

	/** Cancels all running attempts, because nobody waits for an answer any more. */
	cancel(): void {
		for (const attempt of [...this.#race.running, ...this.#race.kept]) {
			attempt.cancel(cancelReasons.requestOver);
		}
	}

	async #runUntilEnd(): Promise<AttemptsEnd> {
		const {writer} = this.#admitted;
		let latest: AttemptResult | undefined;
		// What a server has answered tells the caller more than that a later attempt had no answer.
		let failure: AttemptResult | undefined;
		while (!writer.isOver) {
			const prepared = await this.#prepare(() => !writer.isOver);
			if (prepared.type !== 'prepared') {
				this.#logRetryRefusal(preparationRefusals[prepared.type], latest);
				return failure === undefined || prepared.type === 'over' ? prepared : {type: 'failed', result: failure};
			}

			const result = await this.#runToEnd(prepared);
			latest = result;
			failure = result.type === 'failed' ? result : failure;
			if (result.type === 'detached') {
				await this.#waitForReader();
			}

			if (writer.isOver || result.type === 'delivered') {
				break;
			}

			const refusal = this.#findRetryRefusal(result);
			if (refusal !== undefined) {
				this.#logRetryRefusal(refusal, result);
				return {type: 'failed', result: failure ?? result};
			}
		}

		return {type: 'over'};
	}

	/** Waits until the caller has taken what was passed on, or has gone; the rest of its stream is due from then on. */
	async #waitForReader(): Promise<void> {
		const {timer} = this.#services;
		await this.#admitted.writer.waitUntilTaken();
		this.#progress.latestPartAt &&= timer.now();
	}

	/** Logs why no attempt follows one that has ended. */
	#logRetryRefusal(reason: RetryRefusal | undefined, latest: AttemptResult | undefined): void {
		if (reason !== undefined && latest !== undefined) {
			this.#services.log.writeRequest('retry.refused', this.#admitted.envelope.requestId, {route: this.#admitted.route.name, reason, outcome: latest.type});
		}
	}

	/** Runs an attempt and those that are started while it is silent, and returns the result that counts. */
	async #runToEnd(prepared: PreparedAttempt): Promise<AttemptResult> {
		this.#successors = [];
		this.#results = [];
		await this.#runAttempt(prepared);
		// Successors may be added while an earlier one is awaited.
		for (const successor of this.#successors) {
			const [outcome] = await successor;
			if (outcome.status === 'rejected') {
				throw outcome.reason as Error;
			}
		}

		// The failure that a backend server has answered tells the caller more than one of this entry.
		const findLast = (type: AttemptResult['type']): AttemptResult | undefined => this.#results.findLast(result => result.type === type);
		return findLast('delivered') ?? findLast('failed') ?? this.#results.at(-1)!;
	}

	#isContentRefused(): boolean {
		return this.#services.quarantine.isRefused(this.#admitted.fingerprints, {hasRun: this.mayHaveRun});
	}

	async #prepare(isNeeded: () => boolean): Promise<AttemptPreparation> {
		return prepareAttempt(this.#services, this.#admitted, {
			excludedServerIds: this.#excludedServerIds, isNeeded, isRefusedByStop: () => !this.mayHaveRun && this.#admitted.isLateInStop(),
			isContentRefused: () => this.#isContentRefused(), getLatestPartAt: () => this.#progress.latestPartAt,
		});
	}

	/** Starts another attempt once all running ones are silent; they run on until it continues the answer. */
	#handleSilence(attempt: Attempt): void {
		// Streams are recorded by `SilentServerTask`, which looks at all streams of a server.
		if (this.#admitted.route.execution === executionKinds.idempotent) {
			this.#services.placement.recordSilence(attempt.serverId);
		}

		this.#race.recordSilence(attempt);
		if (this.#race.isSilentThroughout && this.#race.kept.length > 0 && this.#progress.isResumable) {
			this.#resumeKept();
		}

		if (!this.#race.isSilentThroughout || this.#isPreparingSuccessor || this.#services.timer.now() < this.#nextSuccessorAt) {
			return;
		}

		const refusal = this.#findSuccessorRefusal();
		if (refusal === undefined) {
			this.#successors.push(Promise.allSettled([this.#runSuccessor()]));
		} else {
			this.#logSuccessorRefusal(refusal);
		}
	}

	async #runSuccessor(): Promise<void> {
		const {writer} = this.#admitted;
		const {claimCount} = this.#race;
		const prepared = await this.#prepareSuccessor(() => !writer.isOver && this.#race.claimCount === claimCount);
		if (prepared.type !== 'prepared') {
			this.#nextSuccessorAt = this.#services.timer.now() + successorRetryMs;
			this.#logSuccessorRefusal(preparationRefusals[prepared.type]);
			return;
		}

		this.#latestRefusal = undefined;
		await this.#runAttempt(prepared, () => {
			this.#logSuccessor(prepared.placed.server.id);
		});
	}

	#logSuccessor(serverId: string): void {
		this.#services.log.writeRequest('successor.started', this.#admitted.envelope.requestId, {
			route: this.#admitted.route.name, server: serverId, silentServers: this.#race.running.map(attempt => attempt.serverId), lastEventId: this.#progress.lastEventId,
		});
	}

	async #prepareSuccessor(isNeeded: () => boolean): Promise<AttemptPreparation> {
		this.#isPreparingSuccessor = true;
		try {
			return await this.#prepare(isNeeded);
		} finally {
			this.#isPreparingSuccessor = false;
		}
	}

	/** Logs a reason when it is another one than before, since a silent attempt asks again until it ends. */
	#logSuccessorRefusal(reason: RetryRefusal | undefined): void {
		if (reason !== undefined && reason !== this.#latestRefusal) {
			this.#latestRefusal = reason;
			this.#services.log.writeRequest('successor.refused', this.#admitted.envelope.requestId, {route: this.#admitted.route.name, reason});
		}
	}

	/**
	 * Finds out why no other attempt may be started beside a silent one. A retry is taken before placement, which uses up what cold,
	 * limited and returning servers accept; a retry that is not used stays for the next attempt.
	 */
	#findSuccessorRefusal(): RetryRefusal | undefined {
		const {getBudget, timer, countEntries} = this.#services;
		const {route, service} = this.#admitted;
		if (!this.#progress.isResumable) {
			return retryRefusals.notResumable;
		}

		if (this.#sentAttempts >= route.attemptLimit) {
			return retryRefusals.attemptLimit;
		}

		const hasRoom = this.#isRetryPaid() || getBudget(service.name).hasRoom(timer.now(), countEntries());
		return hasRoom && this.#tryPayRetry() ? undefined : retryRefusals.budget;
	}

	/** Runs one attempt, releases what it holds, also when it throws, and records what its result tells. */
	async #runAttempt(prepared: PreparedAttempt, notifyStart: () => void = () => undefined): Promise<void> {
		const {placed, reservation} = prepared;
		const attempt: Attempt = {
			serverId: placed.server.id, cancel: () => undefined, tryKeep: () => false, resume: () => undefined,
		};
		let isReleased = false;
		const release = (): void => {
			if (!isReleased) {
				isReleased = true;
				placed.release();
				reservation.release();
			}
		};

		try {
			notifyStart();
			const ended = await this.#sendAttempt(prepared, attempt, release);
			release();
			this.#race.remove(attempt);
			this.#recordResult(placed, ended);
		} finally {
			release();
			this.#race.remove(attempt);
			if (this.#race.running.length === 0) {
				this.#endLead();
			}
		}
	}

	/** Lets the kept attempts go on when the one that led has broken off, and cancels them when it has ended the answer. */
	#endLead(): void {
		const {writer} = this.#admitted;
		if (writer.canContinue && this.#progress.isResumable && !writer.isFull) {
			this.#resumeKept();
			return;
		}

		for (const attempt of this.#race.kept) {
			this.#cancelLoser(attempt);
		}
	}

	#resumeKept(): void {
		for (const attempt of this.#race.resumeKept()) {
			// One that goes on makes the others losers again.
			if (this.#race.running.includes(attempt)) {
				this.#services.log.writeRequest('attempt.resumed', this.#admitted.envelope.requestId, {
					route: this.#admitted.route.name, server: attempt.serverId, lastEventId: this.#progress.lastEventId,
				});
				attempt.resume();
			}
		}
	}

	#cancelLoser(attempt: Attempt): void {
		attempt.cancel(this.#race.isSilent(attempt) ? cancelReasons.lostSilent : cancelReasons.lost);
		this.#race.remove(attempt);
	}

	async #sendAttempt(prepared: PreparedAttempt, attempt: Attempt, release: () => void): Promise<EndedRun> {
		const {timer, serverNotices, storeState, quarantine} = this.#services;
		const {service, fingerprints} = this.#admitted;
		const sentAt = timer.now();
		const number = ++this.#attempts;
		this.#excludedServerIds.add(attempt.serverId);
		this.#race.add(attempt);
		const holds = serverNotices.describeHolds(storeState.listUsableServers(service.name));
		const positions = quarantine.startRun(fingerprints);
		try {
			const result = await this.#runToResult(prepared, attempt, release);
			return {
				number, sentAt, holds, positions, result,
			};
		} catch (error) {
			quarantine.endRun(fingerprints);
			throw error;
		}
	}

	#recordResult(placed: PlacedRequest, {number, sentAt, holds, positions, result}: EndedRun): void {
		if (!result.hasLost) {
			this.#results.push(result);
		}

		if (result.type === 'detached') {
			// Its caller is slow, so the server may continue the stream.
			this.#excludedServerIds.delete(placed.server.id);
		}

		this.#recordSignal(placed.server.id, result);
		recordCrashEvidence(this.#services, {
			positions, requestId: this.#admitted.envelope.requestId, attempt: number, server: placed.server, sentAt,
		}, result);
		recordAttempt(this.#services, this.#admitted, {
			placed, result, sentAt, holds,
		});
	}

	/** Runs one attempt and counts whether it reached its backend server. */
	async #runToResult({placed, reservation}: PreparedAttempt, attempt: Attempt, release: () => void): Promise<AttemptResult> {
		const {
			service, route, request, envelope, body, workspace, urgency, arrivedAt, writer, computeRemainingMs,
		} = this.#admitted;
		let isSent = false;
		const result = await runAttempt(this.#services, {
			request, requestId: envelope.requestId, body, route, service, placed, workspace, urgency, reservations: reservation.ids,
			remainingMs: computeRemainingMs(), arrivedAt, writer, progress: this.#progress,
			claimAnswer: () => this.#claimAnswer(attempt),
			isAlone: () => this.#race.running.length === 1,
			notifyProgress: () => {
				this.#race.recordProgress(attempt);
			},
			notifySilent: isRepeatable(route)
				? () => {
					this.#handleSilence(attempt);
				}
				: undefined,
			setControl(control) {
				Object.assign(attempt, control);
			},
			notifyEndedKept: release,
			setSent: () => {
				isSent = true;
				this.#sentAttempts++;
				this.#possibleRuns++;
			},
		});
		if (isSent && result.type === 'not_sent') {
			this.#sentAttempts--;
		}

		if (isSent && (result.type === 'not_sent' || result.type === 'not_run')) {
			this.#possibleRuns--;
		}

		return result;
	}

	/** Lets an attempt go on with the answer and cancels the others; returns false when it has lost to another one. */
	#claimAnswer(attempt: Attempt): boolean {
		const losers = this.#race.claim(attempt, loser => loser.tryKeep());
		for (const loser of losers ?? []) {
			this.#cancelLoser(loser);
		}

		return losers !== undefined;
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

		// The silence of an attempt that lost was recorded while it lasted.
		const signal = result.hasLost ? undefined : signalsByResult.get(result.type);
		const isRefusingRequests = result.type === 'not_sent' && result.cause === refusingServerCode;
		if (signal !== undefined && !isRefusingRequests) {
			placement.recordSignal(serverId, signal);
		}
	}

	/**
	 * A request may be retried when it was not run or may run twice, and while an answer can still be sent to its caller. The retry
	 * must be within the attempt limit, the deadline and the retry budget of the service; an attempt that was not sent uses no budget.
	 */
	#findRetryRefusal(result: AttemptResult): RetryRefusal | undefined {
		const {writer, route, computeRemainingMs} = this.#admitted;
		const isSafe = result.type === 'not_sent' || (result.type === 'not_run' && !this.mayHaveRun) || isRepeatable(route);
		if (!isSafe) {
			return retryRefusals.mayHaveRun;
		}

		if (!writer.isOpen && !(writer.canContinue && isRepeatable(route) && this.#progress.isResumable)) {
			return retryRefusals.notResumable;
		}

		if (computeRemainingMs() <= 0) {
			return retryRefusals.deadline;
		}

		if (this.#sentAttempts >= route.attemptLimit) {
			return retryRefusals.attemptLimit;
		}

		return this.#tryPayRetry() ? undefined : retryRefusals.budget;
	}

	/** True when the next attempt is the first one, or takes the place of one that was paid for and not sent. */
	#isRetryPaid(): boolean {
		return this.#paidRetries >= this.#sentAttempts;
	}

	/** Takes a retry from the budget unless one is left over; returns false when the budget has none. */
	#tryPayRetry(): boolean {
		if (this.#isRetryPaid()) {
			return true;
		}

		const {getBudget, timer, countEntries, metrics} = this.#services;
		const {service} = this.#admitted;
		const isWithinBudget = getBudget(service.name).tryConsume(timer.now(), countEntries());
		metrics.countRetry(service.name, isWithinBudget);
		if (isWithinBudget) {
			this.#paidRetries++;
		}

		return isWithinBudget;
	}
}

/** Reasons for which no further attempt was prepared; none when it was no longer needed. */
const preparationRefusals: Record<UnpreparedAttempt['type'], RetryRefusal | undefined> = {
	over: undefined,
	stopping: retryRefusals.stopping,
	content_refused: retryRefusals.content, // eslint-disable-line @typescript-eslint/naming-convention -- End of the attempts of a request.
	unplaced: retryRefusals.noServer,
	deadlineUnreachable: retryRefusals.deadline,
};

const signalsByResult = new Map<AttemptResult['type'], HealthSignal>([
	['delivered', healthSignals.answered],
	['failed', healthSignals.failed],
	['not_run', healthSignals.busy],
	['not_sent', healthSignals.unreachable],
	['broken', healthSignals.lost],
]);
