import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {
	clearInterval, clearTimeout, setInterval, setTimeout,
} from 'node:timers';
import {setTimeout as wait} from 'node:timers/promises';
import type {EngineReport} from '@knapweedrack/core';
import {FaultTable} from '../faults/fault-table.js';
import {closeConnection, type Exchange} from '../http/exchange.js';
import {CacheFeed} from './cache-feed.js';
import {EngineClock} from './engine-clock.js';
import type {EngineFault, FrameFault} from './engine-faults.js';
import {
	EngineModel, type EngineModelEvent, type EngineWork, type SubmitResult,
} from './engine-model.js';
import type {EngineOptions} from './engine-options.js';
import {EngineStatus} from './engine-status.js';
import {GenerateStreams} from './generate-streams.js';

/** Longest delay that `setTimeout` accepts, in ms. */
const maxTimerDelayMs = 2_147_483_647;

const frameFaultKinds = ['framesLate', 'framesCrossed', 'framesDuplicated', 'framesDropped', 'framesReordered', 'framesTruncated'] as const;

/** How accepted work ended. */
export type WorkEnd = 'finished' | 'cancelled' | 'expired';

/** Monotonic real time in ms. */
export const getNow = (): number => performance.now();

/** Runs the engine model in real time and applies boots, crashes and freezes to it. */
export class EngineRuntime {
	readonly model: EngineModel;
	readonly cacheFeed: CacheFeed;
	readonly streams = new GenerateStreams();
	readonly faults = new FaultTable<EngineFault>();
	readonly #clock: EngineClock;
	readonly #status: EngineStatus;
	readonly #exchanges = new Set<Exchange>();
	readonly #prompts = new Map<string, string>();
	readonly #endHandlers = new Map<string, (end: WorkEnd) => void>();
	/** Number of started attempts by request id; survives crashes. */
	readonly #attempts = new Map<string, number>();
	readonly #eventHandlers: {[Type in EngineModelEvent['type']]: (event: Extract<EngineModelEvent, {type: Type}>, now: number) => void} = {
		started: ({work}, now) => {
			this.#recordStart(work, now);
		},
		token: ({work, index}, now) => {
			this.streams.sendToken(work, index, now);
		},
		finished: ({work}) => {
			this.streams.remove(work.attemptId);
			this.#recordEnd(work, 'finished');
		},
		ended: ({work, reason}, now) => {
			this.streams.closeIncomplete(work.attemptId, now);
			this.#recordEnd(work, reason);
		},
	};

	#seenAttempts = new Set<string>();
	#bootId = randomUUID();
	#crashes = 0;
	#downUntil = 0;
	#isClosed = false;
	#timer: NodeJS.Timeout | undefined;
	readonly #publishTimer: NodeJS.Timeout | undefined;
	#freezeEnd: {promise: Promise<void>; resolve: () => void} | undefined;

	constructor(readonly options: EngineOptions) {
		this.model = new EngineModel(options);
		this.cacheFeed = new CacheFeed({delayMs: options.cacheEventDelayMs, lossRate: options.cacheEventLossRate, seed: options.seed});
		this.#clock = new EngineClock(options.timeScale);
		this.#status = new EngineStatus(options, this.model, this.#clock);
		if (options.statusLagMs > 0) {
			this.#publishTimer = setInterval(() => {
				this.#publishStatus();
			}, options.statusLagMs).unref();
		}
	}

	get bootId(): string {
		return this.#bootId;
	}

	get crashes(): number {
		return this.#crashes;
	}

	get attempts(): ReadonlyMap<string, number> {
		return this.#attempts;
	}

	/** True while the engine is down after a crash, and once it is closed. */
	get isUnavailable(): boolean {
		return this.#isClosed || getNow() < this.#downUntil;
	}

	get isLeaving(): boolean {
		return this.faults.has('leaving', getNow());
	}

	/** Modelled time in ms, `delayMs` of real time from now. */
	getModelTime(delayMs = 0): number {
		return this.#clock.getModelTime(getNow()) + this.#clock.toModelDuration(delayMs);
	}

	getReport(fencingNumber: number | undefined): EngineReport {
		return this.#status.get(getNow(), {bootId: this.#bootId, isLeaving: this.isLeaving, fencingNumber});
	}

	hasSeenAttempt(attemptId: string): boolean {
		return this.#seenAttempts.has(attemptId);
	}

	/** Resolves at the end of a freeze, or at once when the engine is not frozen. */
	async waitForFreezeEnd(): Promise<void> {
		await this.#freezeEnd?.promise;
	}

	/** Registers an exchange whose connection a crash must close. */
	addExchange(exchange: Exchange): void {
		this.#exchanges.add(exchange);
		exchange.response.once('close', () => {
			this.#exchanges.delete(exchange);
		});
	}

	/** Submits work to the model; `handleEnd` is called when accepted work ends, except by a crash. */
	submit(work: EngineWork, prompt: string, handleEnd?: (end: WorkEnd) => void): SubmitResult {
		const result = this.model.submit(work, this.getModelTime());
		if (result.type === 'crashed') {
			this.crash();
		}

		if (result.type === 'accepted') {
			this.#seenAttempts.add(work.attemptId);
			this.#prompts.set(work.attemptId, prompt);
			if (handleEnd) {
				this.#endHandlers.set(work.attemptId, handleEnd);
			}
		}

		return result;
	}

	/** Runs the model up to the present and schedules the next run. */
	runUntilNow(): void {
		if (this.isUnavailable || this.#clock.isFrozen) {
			return;
		}

		const now = getNow();
		const bootId = this.#bootId;
		this.model.setSlowness(this.faults.find('slow', now)?.factor ?? 1);
		for (const event of this.model.runUntil(this.#clock.getModelTime(now))) {
			this.#eventHandlers[event.type](event as never, now);
			// A handler crashed the engine, so the remaining events belong to work that no longer exists.
			if (bootId !== this.#bootId) {
				return;
			}
		}

		this.cacheFeed.publish(this.model.consumeCacheChanges(), now);
		this.#schedule();
	}

	/** Returns the fault to apply to the frames of a new stream and counts one use of the fault. */
	consumeFrameFault(prompt: string): FrameFault | undefined {
		for (const kind of frameFaultKinds) {
			const fault = this.faults.consume(kind, getNow(), ({marker}) => prompt.includes(marker));
			if (fault) {
				return fault;
			}
		}

		return undefined;
	}

	/** Applies a new fault if its kind acts at once instead of on later requests. */
	handleFault(fault: EngineFault): void {
		if (fault.kind === 'crash') {
			this.crash();
		}

		if (fault.kind === 'cold') {
			this.reset();
		}

		if (fault.kind === 'freeze') {
			void this.#runFreeze(fault.durationMs);
		}
	}

	/** Closes all connections and stays unavailable for `restartMs`. */
	crash(): void {
		this.#crashes += 1;
		this.#downUntil = getNow() + this.options.restartMs;
		this.reset();
	}

	/** Closes all connections and starts again with a new boot id and empty memory. */
	reset(): void {
		this.#bootId = randomUUID();
		this.#seenAttempts = new Set();
		this.#prompts.clear();
		this.#endHandlers.clear();
		this.model.reset();
		this.model.consumeCacheChanges();
		this.cacheFeed.reset();
		this.#status.reset();
		this.streams.closeAll();
		for (const exchange of this.#exchanges) {
			closeConnection(exchange);
		}

		this.#exchanges.clear();
	}

	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		clearInterval(this.#publishTimer);
		this.#freezeEnd?.resolve();
	}

	#recordStart(work: EngineWork, now: number): void {
		this.#attempts.set(work.requestId, (this.#attempts.get(work.requestId) ?? 0) + 1);
		const prompt = this.#prompts.get(work.attemptId) ?? '';
		if (this.faults.consume('crashMarker', now, ({marker}) => prompt.includes(marker))) {
			this.crash();
		}
	}

	#recordEnd({attemptId}: EngineWork, end: WorkEnd): void {
		this.#prompts.delete(attemptId);
		const handleEnd = this.#endHandlers.get(attemptId);
		this.#endHandlers.delete(attemptId);
		handleEnd?.(end);
	}

	#publishStatus(): void {
		if (!this.#clock.isFrozen) {
			this.#status.publish(getNow());
		}
	}

	#schedule(): void {
		clearTimeout(this.#timer);
		const next = this.model.getNextTime();
		if (next === undefined) {
			return;
		}

		const delayMs = this.#clock.toRealDuration(next - this.getModelTime());
		this.#timer = setTimeout(() => {
			this.runUntilNow();
		}, Math.min(maxTimerDelayMs, Math.max(0, Math.ceil(delayMs))));
		this.#timer.unref();
	}

	async #runFreeze(durationMs: number): Promise<void> {
		if (this.#clock.isFrozen) {
			return;
		}

		this.#clock.stop(getNow());
		this.#freezeEnd = createDeferred();
		const {resolve} = this.#freezeEnd;
		await wait(durationMs, undefined, {ref: false});
		this.#freezeEnd = undefined;
		this.model.applyFreeze(this.#clock.toModelDuration(this.#clock.start(getNow())));
		resolve();
		this.runUntilNow();
	}
}

const createDeferred = (): {promise: Promise<void>; resolve: () => void} => {
	let resolve!: () => void;
	const promise = new Promise<void>(_resolve => {
		resolve = _resolve;
	});
	return {promise, resolve};
};
