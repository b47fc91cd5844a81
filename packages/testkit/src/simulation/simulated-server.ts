import type {BackendServerProfile, EngineReport} from '@knapweedrack/core';
import {
	EngineModel, type EngineModelEvent, type EngineModelOptions, type EngineWork,
} from '../engine/engine-model.js';
import type {CacheChange} from '../engine/prefix-cache.js';
import type {VirtualClock} from './virtual-clock.js';

/** What the sender of work learns about it. */
export type WorkEvent = 'firstToken' | 'finished' | 'expired' | 'cancelled' | 'connectionLost';

/** Answer of a simulated backend server to work. */
export type WorkAnswer = 'accepted' | 'overloaded' | 'outOfMemory' | 'bootChanged' | 'segmentNotFound' | 'connectionLost';

type Listener = (event: WorkEvent) => void;

/** Cache events of one boot. */
export type CacheFeedItem = {seq: number; kind: CacheChange['kind']; blocks: string[]};

const restartMs = 500;

/** A backend server of the bench: the engine model in virtual time. */
export class SimulatedServer {
	readonly model: EngineModel;
	/** Crashes because more was submitted than a cold engine can take. */
	crashes = 0;
	/** Time at which work was submitted last. */
	lastSubmittedAt = -Infinity;
	/** Called with the changes of the prefix cache. */
	publishCache: ((items: CacheFeedItem[]) => void) | undefined;
	readonly #listeners = new Map<string, Listener>();
	#boot = 1;
	#sequence = 0;
	#downUntil = 0;
	#wakeAt: number | undefined;

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

	/** Runs as many tiny requests as make the engine warm; used before the trace starts. */
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

	/** Takes work; with a boot id, only while that boot runs. */
	submit(work: EngineWork, listener: Listener, bootId?: string): WorkAnswer {
		if (this.isDown) {
			return 'connectionLost';
		}

		if (bootId !== undefined && bootId !== this.bootId) {
			return 'bootChanged';
		}

		this.#handleTime();
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
			this.#restart(restartMs);
			return 'connectionLost';
		}

		this.#listeners.set(work.attemptId, listener);
		this.#scheduleNext();
		return 'accepted';
	}

	/** The engine is cold from now on, and all its work is lost; a crash also takes its restart time. */
	resetToCold(isCrash: boolean): void {
		this.#restart(isCrash ? restartMs : 0);
	}

	cancel(requestId: string): void {
		this.#handleTime();
		this.model.cancel(requestId, this.clock.now);
		this.#handleTime();
	}

	reserve(requestId: string, kvTokens: number, ttlMs: number): boolean {
		this.#handleTime();
		const isReserved = !this.isDown && this.model.reserve(requestId, kvTokens, this.clock.now + ttlMs);
		this.#scheduleNext();
		return isReserved;
	}

	release(requestId: string): void {
		this.#handleTime();
		this.model.release(requestId, this.clock.now);
		this.#handleTime();
	}

	/** Status at the present time; undefined while the engine is down. */
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

	#handleTime(): void {
		for (const event of this.model.runUntil(this.clock.now)) {
			this.#notify(event);
		}

		const changes = this.model.consumeCacheChanges();
		if (changes.length > 0) {
			this.publishCache?.(changes.map(({kind, blocks}) => ({seq: ++this.#sequence, kind, blocks})));
		}

		this.#scheduleNext();
	}

	#notify(event: EngineModelEvent): void {
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

	#scheduleNext(): void {
		const next = this.model.getNextTime();
		if (next === undefined || (this.#wakeAt !== undefined && this.#wakeAt <= next)) {
			return;
		}

		this.#wakeAt = next;
		this.clock.schedule(next, () => {
			if (this.#wakeAt === next) {
				this.#wakeAt = undefined;
				this.#handleTime();
			}
		});
	}
}
