import {
	computeFullPassMs, executionKinds, type Route, type Service,
} from '@knapweedrack/core';
import {runAfterInput} from '../exchange/run-after-input.js';
import type {WatchedAttempt} from '../exchange/silent-server-task.js';
import type {PlacedRequest} from '../placement/placement-task.js';
import type {RelayServices} from './relay-services.js';

/** Multiple of a route's target after which an attempt without an answer counts as silent. */
const silentTargetFactor = 2;
/** Interval at which a silent attempt is reported again, in ms. */
const silenceReportMs = 50;
/** Share of the remaining time after which an attempt without an answer counts as silent. */
const attemptTimeShare = 0.5;

/**
 * The first token is overdue after its predicted time multiplied by this factor, plus a margin in ms; predictions are accurate
 * to one engine pass.
 */
const firstTokenFactor = 2;
const firstTokenMarginMs = 500;
/** Shortest pause within a stream after which its next event is overdue, in ms; a concurrent prefill takes about this time. */
const minOverduePauseMs = 900;
/** Multiple of the duration of a pass on a full engine after which an event is overdue. */
const overduePassFactor = 4;

/** An attempt whose silence is watched. */
export type WatchOptions = {
	requestId: string | undefined;
	route: Route;
	service: Service;
	placed: PlacedRequest;
	remainingMs: number;
	/** Called repeatedly while the backend server is silent; undefined when the request may not run on another one meanwhile. */
	notifySilent: (() => void) | undefined;
};

/** Finds out when an attempt has waited too long for its backend server. */
export class SilenceWatch {
	/** Watches a stream together with the other streams of its backend server. */
	#watched: WatchedAttempt | undefined;
	/** True while nothing is read from the backend server, because the caller has not taken what was written. */
	#isPaused = false;
	#cancelReport: (() => void) | undefined;

	/** `isWaiting` returns true while the attempt has no head of an answer. */
	constructor(private readonly services: Pick<RelayServices, 'silentServers' | 'timer'>, private readonly options: WatchOptions, private readonly isWaiting: () => boolean) {}

	/** Starts watching a request that was sent now; one that must run once and is no stream shows nothing and is not watched. */
	start(): void {
		startHandlers[this.options.route.execution]?.(this);
	}

	stop(): void {
		this.#watched?.remove();
		this.#watched = undefined;
		this.#cancelReport?.();
	}

	/** Records an event of a stream; the next one is due from now on. */
	recordEvent(): void {
		this.#watched?.postpone(this.services.timer.now() + computeOverduePauseMs(this.options.service));
	}

	/** Lets no bytes be due, because none are read. */
	pause(): void {
		this.#isPaused = true;
		this.#watched?.pause();
	}

	/** Lets the next bytes be due after a pause. */
	resume(): void {
		if (this.#isPaused) {
			this.#isPaused = false;
			this.recordEvent();
		}
	}

	/** Reports an idempotent request as silent while it has no answer after a time limit. */
	watchAnswer(): void {
		const {route, remainingMs, notifySilent} = this.options;
		if (notifySilent !== undefined) {
			this.#scheduleReport(Math.min(remainingMs * attemptTimeShare, route.targetMs * silentTargetFactor), notifySilent);
		}
	}

	/** Reports a stream as silent while the bytes of all streams of its backend server are overdue. */
	watchEvents(): void {
		const {services: {silentServers, timer}, options: {placed, requestId, notifySilent}} = this;
		const dueAt = timer.now() + (placed.predictedFirstTokenMs * firstTokenFactor) + firstTokenMarginMs;
		this.#watched = silentServers.add({serverId: placed.server.id, requestId}, dueAt, notifySilent);
	}

	#scheduleReport(delayMs: number, notifySilent: () => void): void {
		this.#cancelReport = this.services.timer.schedule(delayMs, () => {
			this.#cancelReport = runAfterInput(() => {
				if (this.isWaiting()) {
					this.#scheduleReport(silenceReportMs, notifySilent);
					notifySilent();
				}
			});
		});
	}
}

const startHandlers: Partial<Record<Route['execution'], (watch: SilenceWatch) => void>> = {
	[executionKinds.idempotent](watch) {
		watch.watchAnswer();
	},
	[executionKinds.stream](watch) {
		watch.watchEvents();
	},
};

const computeOverduePauseMs = ({engine}: Service): number =>
	engine === undefined ? minOverduePauseMs : Math.max(minOverduePauseMs, computeFullPassMs(engine) * overduePassFactor);
