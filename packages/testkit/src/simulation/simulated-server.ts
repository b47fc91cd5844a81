import type {BackendServerProfile, EngineReport} from '@knapweedrack/core';
import {
	EngineModel, type EngineModelEvent, type EngineModelOptions, type EngineWork,
} from '../engine/engine-model.js';
import type {CacheChange} from '../engine/prefix-cache.js';
import type {VirtualClock} from './virtual-clock.js';

/** Event that the sender of work receives after the work was accepted. */
export type WorkEvent = 'firstToken' | 'finished' | 'expired' | 'cancelled' | 'connectionLost';

/** Answer of a simulated backend server to submitted work; only `accepted` work gets events. */
export type WorkAnswer = 'accepted' | 'overloaded' | 'outOfMemory' | 'bootChanged' | 'segmentNotFound' | 'connectionLost';

type WorkListener = (event: WorkEvent) => void;

/** Change of the prefix cache; `seq` counts from 1 in each boot. */
export type CacheFeedItem = {seq: number; kind: CacheChange['kind']; blocks: string[]};

const restartDurationMs = 500;

/** Backend server that runs the engine model in virtual time. */
export class SimulatedServer {
	readonly model: EngineModel;
	/** Number of crashes because more work was submitted than a cold engine can take. */
	crashes = 0;
	/** Virtual time in ms of the last submitted work; minus infinity before. */
	lastSubmittedAt = -Infinity;
	/** Callback for the changes of the prefix cache; undefined while nobody subscribes. */
	publishCache: ((items: CacheFeedItem[]) => void) | undefined;
	readonly #listeners = new Map<string, WorkListener>();
	#boot = 1;
	#sequence = 0;
	#downUntil = 0;
	#nextUpdateAt: number | undefined;

	constructor(
		readonly id: string,
		readonly failureDomain: string,
		readonly options: EngineModelOptions,
		private readonly clock: VirtualClock,
	) {
		this.model = new EngineModel(options);
	}

	get bootId(): string {
		return `${this.id}.${this.#boot}`;
	}

	get isDown(): boolean {
		return this.clock.now < this.#downUntil;
	}

	get profile(): BackendServerProfile {
		const {kvTokens, prefillTokensPerSecond, maxConcurrency, coldConcurrency, coldPrefillTokens} = this.options;
		return {
			id: this.id, kvTokens, prefillTokensPerSecond, maxConcurrency, coldConcurrency, coldPrefillTokens,
		};
	}

	/** Runs one-token requests until the engine is warm; called before the trace starts. */
	resetToWarm(): void {
		for (let index = 0; this.model.isCold; index++) {
			const id = `warm-up-${index}`;
			this.submit({
				requestId: id, attemptId: id, kind: 'generate', promptTokens: 1, maxTokens: 1, answerTokens: 1, priority: 0,
				deadlineAt: Number.MAX_SAFE_INTEGER, blocks: [], importTokens: 0,
			}, () => undefined);
			this.model.runUntil(this.model.getNextTime()!);
		}

		this.#listeners.clear();
	}

	/** Submits work to the engine; if a boot id is given, the work is refused by any other boot. */
	submit(work: EngineWork, listener: WorkListener, bootId?: string): WorkAnswer {
		if (this.isDown) {
			return 'connectionLost';
		}

		if (bootId !== undefined && bootId !== this.bootId) {
			return 'bootChanged';
		}

		this.#updateModel();
		if (work.kind === 'segment' && !this.model.hasReservation(work.requestId)) {
			return 'segmentNotFound';
		}

		this.lastSubmittedAt = this.clock.now;
		const result = this.model.submit(work, this.clock.now);
		if (result.type === 'refused') {
			return result.error;
		}

		if (result.type === 'crashed') {
			this.crashes++;
			this.#restart(restartDurationMs);
			return 'connectionLost';
		}

		this.#listeners.set(work.attemptId, listener);
		this.#scheduleUpdate();
		return 'accepted';
	}

	/** Restarts the engine cold, which loses all its work; after a crash the server is down for the restart time. */
	resetToCold(isCrash: boolean): void {
		this.#restart(isCrash ? restartDurationMs : 0);
	}

	cancel(requestId: string): void {
		this.#updateModel();
		this.model.cancel(requestId, this.clock.now);
		this.#updateModel();
	}

	reserve(requestId: string, kvTokens: number, ttlMs: number): boolean {
		this.#updateModel();
		const isReserved = !this.isDown && this.model.reserve(requestId, kvTokens, this.clock.now + ttlMs);
		this.#scheduleUpdate();
		return isReserved;
	}

	release(requestId: string): void {
		this.#updateModel();
		this.model.release(requestId, this.clock.now);
		this.#updateModel();
	}

	/** Creates the status report for the current time; undefined while the engine is down. */
	createReport(state: EngineReport['state']): EngineReport | undefined {
		return this.isDown
			? undefined
			: {
				serverId: this.id,
				bootId: this.bootId,
				state,
				profile: this.profile,
				kvTokensUsed: this.model.kvTokensUsed,
				running: [...this.model.jobs].map(({work, phase, kvTokens}) => ({
					requestId: work.requestId, attemptId: work.attemptId, phase, kvTokens,
				})),
				reservations: [...this.model.reservations].map(({requestId, kvTokens, expiresAt}) => ({
					requestId, kvTokens, expiresInMs: expiresAt - this.clock.now,
				})),
			};
	}

	#restart(downMs: number): void {
		this.#downUntil = this.clock.now + downMs;
		this.#boot++;
		this.#sequence = 0;
		this.model.reset();
		this.model.consumeCacheChanges();
		const listeners = [...this.#listeners.values()];
		this.#listeners.clear();
		for (const listener of listeners) {
			listener('connectionLost');
		}
	}

	#updateModel(): void {
		for (const event of this.model.runUntil(this.clock.now)) {
			this.#notifyListener(event);
		}

		const changes = this.model.consumeCacheChanges();
		if (changes.length > 0) {
			this.publishCache?.(changes.map(({kind, blocks}) => ({seq: ++this.#sequence, kind, blocks})));
		}

		this.#scheduleUpdate();
	}

	#notifyListener(event: EngineModelEvent): void {
		const listener = this.#listeners.get(event.work.attemptId);
		if (listener === undefined) {
			return;
		}

		if (event.type === 'token' && event.index === 0) {
			listener('firstToken');
		} else if (event.type === 'finished') {
			this.#listeners.delete(event.work.attemptId);
			listener('finished');
		} else if (event.type === 'ended') {
			this.#listeners.delete(event.work.attemptId);
			listener(event.reason);
		}
	}

	#scheduleUpdate(): void {
		const next = this.model.getNextTime();
		if (next === undefined || (this.#nextUpdateAt !== undefined && this.#nextUpdateAt <= next)) {
			return;
		}

		this.#nextUpdateAt = next;
		this.clock.schedule(next, () => {
			if (this.#nextUpdateAt === next) {
				this.#nextUpdateAt = undefined;
				this.#updateModel();
			}
		});
	}
}
