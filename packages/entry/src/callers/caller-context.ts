import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {LongPromptPool, PrefixIndex, RetryBudget} from '@knapweedrack/core';
import type {EntryServices} from '../contracts.js';
import {BackendConnections} from './backend-connections.js';
import {EngineClient} from './engine-client.js';
import type {Exchange} from './exchange.js';
import type {RequestTask} from './request-task.js';

const initialPrefillTokensPerSecond = 20_000;
/** Weight of a new value in the moving averages of the prefill rate and of the answer length. */
const smoothingFactor = 0.1;

/** State that the requests of one caller server share. */
export class CallerContext {
	readonly connections = new BackendConnections();
	readonly engines = new EngineClient(this.connections);
	readonly retryBudget = new RetryBudget();
	readonly prefixIndex = new PrefixIndex();
	readonly longPromptPool = new LongPromptPool();
	/** Identifies this run of the process in claims. */
	readonly epoch = randomUUID();
	/** Requests that are not answered yet, from the arrival of their headers. */
	readonly exchanges = new Set<Exchange>();
	/** Admitted requests without a final outcome. */
	readonly tasks = new Set<RequestTask>();
	/** Nonces of claims that requests of this process hold. */
	readonly heldClaimNonces = new Set<string>();
	#prefillTokensPerSecond = initialPrefillTokensPerSecond;
	/** KV tokens of one engine by model, used for engines of unknown load: engines of one model are assumed to be alike. */
	readonly #kvTokens = new Map<string, number>();
	readonly #decodeTokens = new Map<string, number>();
	/** Number of running attempts by fingerprint, by backend server. */
	readonly #running = new Map<string, Map<string, number>>();
	readonly #background = new Set<Promise<unknown>>();

	readonly #closing = new AbortController();

	constructor(readonly services: EntryServices) {
		// Each open request can listen to the signal, so their number is no sign of a leak.
		setMaxListeners(0, this.#closing.signal);
	}

	/** Aborts when the listener closes. */
	get closingSignal(): AbortSignal {
		return this.#closing.signal;
	}

	beginClosing(): void {
		this.#closing.abort();
	}

	get prefillTokensPerSecond(): number {
		return this.#prefillTokensPerSecond;
	}

	/** Updates the estimated prefill rate from the duration of a prefill without a cached prefix. */
	recordPrefill(tokens: number, durationMs: number): void {
		if (tokens < 1024 || durationMs <= 0) {
			return;
		}

		const rate = tokens * 1000 / durationMs;
		this.#prefillTokensPerSecond += smoothingFactor * (rate - this.#prefillTokensPerSecond);
	}

	/** Records the KV tokens of an engine of a model, so that a prompt that is too long is not sent to engines of unknown load. */
	recordKvTokens(model: string, kvTokens: number): void {
		this.#kvTokens.set(model, kvTokens);
	}

	getKvTokens(model: string): number | undefined {
		return this.#kvTokens.get(model);
	}

	/** Expected number of generated tokens of a model, at most the limit of the request. */
	estimateDecodeTokens(model: string, maxTokens: number): number {
		return Math.max(1, Math.min(maxTokens, Math.ceil(this.#decodeTokens.get(model) ?? maxTokens)));
	}

	recordDecodeTokens(model: string, tokens: number): void {
		const average = this.#decodeTokens.get(model) ?? tokens;
		this.#decodeTokens.set(model, average + (smoothingFactor * (tokens - average)));
	}

	addRunningFingerprint(serverId: string, fingerprint: string): void {
		const fingerprints = this.#running.get(serverId) ?? new Map<string, number>();
		fingerprints.set(fingerprint, (fingerprints.get(fingerprint) ?? 0) + 1);
		this.#running.set(serverId, fingerprints);
	}

	removeRunningFingerprint(serverId: string, fingerprint: string): void {
		const fingerprints = this.#running.get(serverId);
		const count = (fingerprints?.get(fingerprint) ?? 0) - 1;
		if (count > 0) {
			fingerprints!.set(fingerprint, count);
			return;
		}

		fingerprints?.delete(fingerprint);
		if (fingerprints?.size === 0) {
			this.#running.delete(serverId);
		}
	}

	/** Lists the fingerprints of the attempts that this entry runs on a backend server. */
	listRunningFingerprints(serverId: string): string[] {
		return [...this.#running.get(serverId)?.keys() ?? []];
	}

	/** Runs work that no caller waits for; the shutdown waits for it. */
	runInBackground(run: () => Promise<unknown>): void {
		const work = this.#runGuarded(run);
		this.#background.add(work);
		void this.#removeWhenDone(work);
	}

	countBackgroundTasks(): number {
		return this.#background.size;
	}

	async waitForBackgroundTasks(): Promise<void> {
		while (this.#background.size > 0) {
			await Promise.all(this.#background);
		}
	}

	/** Waits for a duration, or until the listener closes. */
	async waitFor(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			const cancel = this.services.timer.schedule(delayMs, () => {
				this.closingSignal.removeEventListener('abort', handleClosing);
				resolve();
			});
			const handleClosing = () => {
				cancel();
				resolve();
			};

			this.closingSignal.addEventListener('abort', handleClosing, {once: true});
			if (this.closingSignal.aborted) {
				handleClosing();
			}
		});
	}

	async #removeWhenDone(work: Promise<unknown>): Promise<void> {
		await work;
		this.#background.delete(work);
	}

	async #runGuarded(run: () => Promise<unknown>): Promise<void> {
		try {
			await run();
		} catch {
			this.services.metrics.count('background.failed');
		}
	}
}
