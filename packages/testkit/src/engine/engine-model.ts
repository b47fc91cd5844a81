import {KvLedger, type KvReservation, type KvSegment} from './kv-ledger.js';
import {PrefixCache, type CacheChange} from './prefix-cache.js';
import {prefixBlockTokens} from './hashes.js';

/** Capacity and speed of an engine. */
export type EngineModelOptions = {
	kvTokens: number;
	prefillTokensPerSecond: number;
	/** Largest number of prefill tokens in one step of the batch. */
	prefillChunkTokens: number;
	/** Shortest duration of a step with decoding requests, in ms. */
	decodeStepMs: number;
	maxConcurrency: number;
	/** Requests a cold engine can run at the same time. */
	coldConcurrency: number;
	/** Prefill tokens in flight that a cold engine can take. */
	coldPrefillTokens: number;
	/** Completed requests since boot after which the engine is warm. */
	warmAfterRequests: number;
	/** Speed of copying the KV cache of segments from other engines. */
	importTokensPerSecond: number;
};

/** Options used where none are given. */
export const engineModelDefaults: EngineModelOptions = {
	kvTokens: 400_000,
	prefillTokensPerSecond: 40_000,
	prefillChunkTokens: 2048,
	decodeStepMs: 20,
	maxConcurrency: 64,
	coldConcurrency: 2,
	coldPrefillTokens: 8192,
	warmAfterRequests: 8,
	importTokensPerSecond: 400_000,
};

/** One answer to generate or one prompt segment to prefill; times are modelled ms. */
export type EngineWork = {
	requestId: string;
	attemptId: string;
	kind: 'generate' | 'segment';
	promptTokens: number;
	/** Most tokens that may be generated; KV memory for all of them is reserved at the start. 0 for a segment. */
	maxTokens: number;
	/** Tokens that will be generated; 0 for a segment. */
	answerTokens: number;
	/** Lower values run first. */
	priority: number;
	/** Modelled time at which the engine cancels the work. */
	deadlineAt: number;
	/** Hashes of the full prefix blocks; empty when the prefix cache is not used. */
	blocks: string[];
	/** Tokens of the segments whose KV cache is copied from other engines before the prefill. */
	importTokens: number;
	/** Set only when `kind` is `segment`. */
	segment?: KvSegment | undefined;
};

/** Phase of a request in the status of the engine. */
export type JobPhase = 'queued' | 'prefill' | 'decode' | 'paused';

/** Accepted work and its progress. */
export type EngineJob = {
	work: EngineWork;
	phase: JobPhase;
	kvTokens: number;
	isReserved: boolean;
	remainingPrefillTokens: number;
	generatedTokens: number;
	/** Modelled time at which the import of segments is complete. */
	readyAt: number;
	/** Prefix blocks that must not be evicted while the job runs. */
	reservedBlocks: string[];
	/** Phase to return to after a pause. */
	resumePhase: Exclude<JobPhase, 'paused'>;
};

/** Whether submitted work was accepted; `crashed` when it overloaded a cold engine. */
export type SubmitResult = {type: 'accepted'} | {type: 'crashed'} | {type: 'refused'; error: 'overloaded' | 'outOfMemory'};

/** Progress or end of work; `at` is modelled time in ms. */
export type EngineModelEvent =
	| {type: 'started'; work: EngineWork; at: number}
	| {type: 'token'; work: EngineWork; index: number; at: number}
	| {type: 'finished'; work: EngineWork; at: number}
	| {type: 'ended'; work: EngineWork; reason: 'cancelled' | 'expired'; at: number};

type Step = {
	endsAt: number;
	prefills: Array<{job: EngineJob; tokens: number}>;
	decodes: EngineJob[];
};

/**
 * Models the scheduler of one engine with continuous batching. Callers pass in modelled time in ms, which must not decrease.
 * One step of the batch generates one token for each decoding request and prefills one chunk, most urgent request first.
 * A step takes as long as the slower of the two, because both run in the same pass over the weights.
 */
export class EngineModel {
	readonly #options: EngineModelOptions;
	readonly #jobs = new Map<string, EngineJob>();
	readonly #cache = new PrefixCache();
	#ledger: KvLedger;
	#step: Step | undefined;
	#events: EngineModelEvent[] = [];
	#completedRequests = 0;
	#slowness = 1;

	constructor(options: EngineModelOptions) {
		this.#options = options;
		this.#ledger = new KvLedger(options.kvTokens);
	}

	get kvTokensUsed(): number {
		return this.#ledger.usedTokens;
	}

	get isCold(): boolean {
		return this.#completedRequests < this.#options.warmAfterRequests;
	}

	get jobs(): Iterable<EngineJob> {
		return this.#jobs.values();
	}

	get reservations(): Iterable<KvReservation> {
		return this.#ledger.reservations;
	}

	/** Multiplies the duration of the steps that start from now on. */
	setSlowness(factor: number): void {
		this.#slowness = factor;
	}

	/** Submits work; overloading a cold engine returns `crashed`, after which the caller must call `reset`. */
	submit(work: EngineWork, now: number): SubmitResult {
		if (this.#jobs.size >= this.#options.maxConcurrency) {
			return {type: 'refused', error: 'overloaded'};
		}

		const kvTokens = work.promptTokens + work.maxTokens;
		const memory = this.#ledger.add(work.requestId, kvTokens);
		if (memory === 'outOfMemory') {
			return {type: 'refused', error: memory};
		}

		this.#addJob(work, {kvTokens, isReserved: memory === 'reserved', now});
		if (this.#isOverloadedWhileCold()) {
			return {type: 'crashed'};
		}

		this.#startStep(now);
		return {type: 'accepted'};
	}

	/** Runs the engine up to `now` and returns the events since the last call. */
	runUntil(now: number): EngineModelEvent[] {
		for (let next = this.getNextTime(); next !== undefined && next <= now; next = this.getNextTime()) {
			this.#handleNext(next);
		}

		const events = this.#events;
		this.#events = [];
		return events;
	}

	/** Modelled time of the next end of a step, import, deadline or reservation; undefined when the engine is idle. */
	getNextTime(): number | undefined {
		let next = this.#step?.endsAt ?? Number.POSITIVE_INFINITY;
		for (const job of this.#jobs.values()) {
			next = Math.min(next, job.work.deadlineAt);
			if (!this.#step && job.phase !== 'paused') {
				next = Math.min(next, job.readyAt);
			}
		}

		for (const {expiresAt} of this.#ledger.reservations) {
			next = Math.min(next, expiresAt);
		}

		return Number.isFinite(next) ? next : undefined;
	}

	/** Ends all work of a request and frees its reservation and segments. */
	cancel(requestId: string, now: number): boolean {
		const jobs = this.#listJobs(requestId);
		for (const job of jobs) {
			this.#endJob(job, 'cancelled', now);
		}

		const wasReserved = this.#ledger.release(requestId);
		return wasReserved || jobs.length > 0;
	}

	/** Pauses a request without freeing its memory; undefined when no such request runs. */
	pause(requestId: string): JobPhase | undefined {
		for (const job of this.#listJobs(requestId)) {
			job.phase = 'paused';
		}

		return this.#listJobs(requestId)[0]?.phase;
	}

	/** Resumes a paused request; undefined when no such request runs. */
	resume(requestId: string, now: number): JobPhase | undefined {
		for (const job of this.#listJobs(requestId)) {
			job.phase = job.resumePhase;
		}

		this.#startStep(now);
		return this.#listJobs(requestId)[0]?.phase;
	}

	/** Creates or replaces a reservation; false when too little memory is free. */
	reserve(requestId: string, kvTokens: number, expiresAt: number): boolean {
		const isReserved = this.#ledger.reserve(requestId, kvTokens, expiresAt);
		this.#trimCache();
		return isReserved;
	}

	/** Frees a reservation and ends the work that uses it. */
	release(requestId: string, now: number): boolean {
		return this.#release(requestId, 'cancelled', now);
	}

	hasReservation(requestId: string): boolean {
		return this.#ledger.get(requestId) !== undefined;
	}

	findSegment(requestId: string, index: number): KvSegment | undefined {
		return this.#ledger.get(requestId)?.segments.get(index);
	}

	/** Brings deadlines and expiries forward by the duration of a freeze, because modelled time stood still while real time passed. */
	applyFreeze(durationMs: number): void {
		for (const job of this.#jobs.values()) {
			job.work.deadlineAt -= durationMs;
		}

		for (const reservation of this.#ledger.reservations) {
			reservation.expiresAt -= durationMs;
		}
	}

	/** Restarts the engine cold, with empty memory. */
	reset(): void {
		this.#jobs.clear();
		this.#ledger = new KvLedger(this.#options.kvTokens);
		this.#cache.reset();
		this.#step = undefined;
		this.#events = [];
		this.#completedRequests = 0;
	}

	/** Returns the changes of the prefix cache since the last call. */
	consumeCacheChanges(): CacheChange[] {
		return this.#cache.consumeChanges();
	}

	/** Completes the step that ends at `at` before it removes expired work, so that work that finishes at its deadline counts as finished. */
	#handleNext(at: number): void {
		if (this.#step && this.#step.endsAt <= at) {
			this.#completeStep(this.#step);
			this.#step = undefined;
		}

		this.#removeExpired(at);
		this.#startStep(at);
	}

	#addJob(work: EngineWork, {kvTokens, isReserved, now}: {kvTokens: number; isReserved: boolean; now: number}): void {
		const cachedBlocks = work.blocks.slice(0, this.#cache.count(work.blocks));
		// Also a fully cached prompt needs one prefill token, because the first generated token is computed from the last prompt token.
		const cachedTokens = Math.min(cachedBlocks.length * prefixBlockTokens, work.promptTokens - 1);
		this.#cache.reserve(cachedBlocks);
		this.#trimCache();
		this.#jobs.set(work.attemptId, {
			work,
			phase: 'queued',
			kvTokens,
			isReserved,
			remainingPrefillTokens: work.promptTokens - cachedTokens,
			generatedTokens: 0,
			readyAt: now + (work.importTokens * 1000 / this.#options.importTokensPerSecond),
			reservedBlocks: cachedBlocks,
			resumePhase: 'queued',
		});
	}

	#isOverloadedWhileCold(): boolean {
		if (!this.isCold) {
			return false;
		}

		let prefillTokens = 0;
		for (const job of this.#jobs.values()) {
			prefillTokens += job.remainingPrefillTokens;
		}

		return this.#jobs.size > this.#options.coldConcurrency || prefillTokens > this.#options.coldPrefillTokens;
	}

	#listJobs(requestId: string): EngineJob[] {
		return [...this.#jobs.values()].filter(job => job.work.requestId === requestId);
	}

	#startStep(now: number): void {
		if (this.#step) {
			return;
		}

		const decodes: EngineJob[] = [];
		const waiting: EngineJob[] = [];
		for (const job of this.#jobs.values()) {
			if (job.phase === 'decode') {
				decodes.push(job);
			} else if (job.phase !== 'paused' && job.readyAt <= now) {
				waiting.push(job);
			}
		}

		const prefills = this.#selectPrefills(waiting, now);
		if (decodes.length === 0 && prefills.length === 0) {
			return;
		}

		const prefillTokens = prefills.reduce((sum, {tokens}) => sum + tokens, 0);
		const prefillMs = prefillTokens * 1000 / this.#options.prefillTokensPerSecond;
		const decodeMs = decodes.length === 0 ? 0 : this.#options.decodeStepMs;
		this.#step = {endsAt: now + (Math.max(prefillMs, decodeMs) * this.#slowness), prefills, decodes};
	}

	/** Fills one prefill chunk in order of priority, then of arrival. */
	#selectPrefills(waiting: EngineJob[], now: number): Step['prefills'] {
		waiting.sort((left, right) => left.work.priority - right.work.priority);
		const prefills: Step['prefills'] = [];
		let remainingTokens = this.#options.prefillChunkTokens;
		for (const job of waiting) {
			if (remainingTokens === 0) {
				break;
			}

			const tokens = Math.min(remainingTokens, job.remainingPrefillTokens);
			remainingTokens -= tokens;
			prefills.push({job, tokens});
			if (job.phase === 'queued') {
				this.#setPhase(job, 'prefill');
				this.#events.push({type: 'started', work: job.work, at: now});
			}
		}

		return prefills;
	}

	#completeStep({endsAt, prefills, decodes}: Step): void {
		for (const job of decodes) {
			if (this.#isRunning(job)) {
				this.#recordToken(job, endsAt);
			}
		}

		for (const {job, tokens} of prefills) {
			if (this.#isRunning(job)) {
				this.#recordPrefill(job, tokens, endsAt);
			}
		}
	}

	/** False for work that ended or was paused during the step. */
	#isRunning(job: EngineJob): boolean {
		return job.phase !== 'paused' && this.#jobs.get(job.work.attemptId) === job;
	}

	#recordPrefill(job: EngineJob, tokens: number, at: number): void {
		job.remainingPrefillTokens -= tokens;
		if (job.remainingPrefillTokens > 0) {
			return;
		}

		this.#cache.release(job.reservedBlocks);
		this.#cache.reserve(job.work.blocks);
		job.reservedBlocks = job.work.blocks;
		if (job.work.kind === 'segment') {
			this.#completeJob(job, at);
			return;
		}

		this.#setPhase(job, 'decode');
		this.#recordToken(job, at);
	}

	#recordToken(job: EngineJob, at: number): void {
		this.#events.push({
			type: 'token', work: job.work, index: job.generatedTokens, at,
		});
		job.generatedTokens += 1;
		if (job.generatedTokens >= job.work.answerTokens) {
			this.#completeJob(job, at);
		}
	}

	#completeJob(job: EngineJob, at: number): void {
		this.#removeJob(job);
		if (job.work.segment) {
			this.#ledger.addSegment(job.work.requestId, job.work.segment);
		}

		this.#completedRequests += 1;
		this.#events.push({type: 'finished', work: job.work, at});
	}

	#endJob(job: EngineJob, reason: 'cancelled' | 'expired', at: number): void {
		this.#removeJob(job);
		this.#events.push({
			type: 'ended', work: job.work, reason, at,
		});
	}

	#removeJob(job: EngineJob): void {
		this.#jobs.delete(job.work.attemptId);
		this.#ledger.remove(job.work.requestId, job.kvTokens, job.isReserved);
		this.#cache.release(job.reservedBlocks);
		this.#trimCache();
	}

	#removeExpired(now: number): void {
		for (const job of this.#jobs.values()) {
			if (job.work.deadlineAt <= now) {
				this.#endJob(job, 'expired', now);
			}
		}

		for (const {requestId, expiresAt} of this.#ledger.reservations) {
			if (expiresAt <= now) {
				this.#release(requestId, 'expired', now);
			}
		}
	}

	#release(requestId: string, reason: 'cancelled' | 'expired', now: number): boolean {
		for (const job of this.#listJobs(requestId)) {
			if (job.isReserved) {
				this.#endJob(job, reason, now);
			}
		}

		return this.#ledger.release(requestId);
	}

	#setPhase(job: EngineJob, phase: Exclude<JobPhase, 'paused'>): void {
		job.phase = phase;
		job.resumePhase = phase;
	}

	/** Evicts unused blocks beyond the free memory; the cache may fill only memory that no request holds. */
	#trimCache(): void {
		this.#cache.removeUnused(Math.max(0, Math.floor(this.#ledger.freeTokens / prefixBlockTokens)));
	}
}
