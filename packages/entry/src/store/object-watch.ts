import createDebug from 'debug';
import type {ObjectStore, StoreFailure} from '@knapweedrack/platform-client';
import type {Metrics, TimerService} from '../contracts.js';
import {counterNames} from '../metrics/metric-names.js';

const debug = createDebug('knapweedrack:watch');

const firstBackoffMs = 250;
const defaultMaxBackoffMs = 2000;

/** One watched object; its value is not validated. */
export type WatchedObject = {version: number; value: unknown};

/** State of a prefix after one answer. */
export type WatchedState = {
	objects: ReadonlyMap<string, WatchedObject>;
	/** Keys that may have been written or deleted since the last notification; after a list, all keys. */
	changedKeys: readonly string[];
	/** Time at which the answered call was sent. */
	sentAt: number;
	/** Wall clock at `sentAt`, in ms since the Unix epoch. */
	sentAtWall: number;
	/** True when the store has lost changes since the last notification, so that the objects may be older than before. */
	isRestored: boolean;
	/** True for the answer of a list, which does not show objects that were written and deleted since the last notification. */
	isList: boolean;
	/** Revision of the answer. */
	revision: number;
	/** Era of the answer; undefined when the store states none. */
	era: number | undefined;
};

/** State from which a watch continues without a list. */
export type InitialState = Pick<WatchedState, 'objects' | 'revision' | 'era'>;

/** Prefix, timing and dependencies of a watch. */
export type ObjectWatchOptions = {
	prefix: string;
	/** Longest wait of one call in ms, read before each call; an answer without a change confirms the state. */
	waitMs: number | (() => number);
	/** Minimum time in ms between two calls, so that frequent changes are read together. */
	minIntervalMs: number;
	/** Time in ms after which the objects are listed again, in case the watch missed a change. */
	relistMs: number;
	store: ObjectStore;
	timer: TimerService;
	metrics: Pick<Metrics, 'count'>;
	notify: (state: WatchedState) => void;
	/** Called after each failed call. */
	notifyFailure?: ((failure: StoreFailure) => void) | undefined;
	/** Longest pause after failures in ms; 2000 unless given. */
	maxBackoffMs?: number | undefined;
	/** Reads the wall clock in ms since the Unix epoch; `Date.now` unless given. */
	readWallClock?: (() => number) | undefined;
	/** State to continue from; without it, the watch starts with a list. */
	initial?: InitialState | undefined;
};

/** Watches all objects of a prefix; lists them again after a failed call and after `relistMs`. */
export class ObjectWatch {
	readonly #options: ObjectWatchOptions;
	readonly #objects = new Map<string, WatchedObject>();
	readonly #controller = new AbortController();
	#revision: number | undefined;
	#era: number | undefined;
	#listedAt = Number.NEGATIVE_INFINITY;
	#failureCount = 0;
	#endPause: (() => void) | undefined;
	/** Ends the call that is under way. */
	#call = new AbortController();
	#isListDue = false;

	constructor(options: ObjectWatchOptions) {
		this.#options = options;
	}

	/** Lists the objects once, unless there is an initial state, then watches them until `stop`. Returns whether the first list succeeded. */
	async start(): Promise<boolean> {
		const {initial, timer} = this.#options;
		if (initial !== undefined) {
			for (const [key, object] of initial.objects) {
				this.#objects.set(key, object);
			}

			this.#revision = initial.revision;
			this.#era = initial.era;
			this.#listedAt = timer.now();
			void this.#watchFrom(initial.revision);
			return true;
		}

		const failure = await this.#list();
		void this.#run(failure);
		return failure === undefined;
	}

	stop(): void {
		this.#controller.abort();
	}

	/** Ends a pause after failures; called when another call has shown that the store answers again. */
	retryNow(): void {
		this.#endPause?.();
	}

	/** Lists the objects at once, instead of waiting for the answer to the call that is under way. */
	confirmNow(): void {
		this.#isListDue = true;
		this.#call.abort();
		this.#endPause?.();
	}

	async #watchFrom(revision: number): Promise<void> {
		await this.#run(await this.#watch(revision));
	}

	async #run(firstFailure: StoreFailure | undefined): Promise<void> {
		let failure = firstFailure;
		while (!this.#controller.signal.aborted) {
			await this.#pause(this.#computeWaitMs(failure));
			if (this.#controller.signal.aborted) {
				return;
			}

			const isListDue = this.#isListDue || this.#options.timer.now() - this.#listedAt >= this.#options.relistMs;
			this.#isListDue = false;
			this.#call = new AbortController();
			failure = this.#revision === undefined || isListDue ? await this.#list() : await this.#watch(this.#revision);
		}
	}

	async #pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const cancel = this.#options.timer.schedule(durationMs, () => {
				resolve();
			});
			this.#endPause = () => {
				cancel();
				resolve();
			};
		});
		this.#endPause = undefined;
	}

	#computeWaitMs(failure: StoreFailure | undefined): number {
		// A call that was ended for a list has not failed.
		if (failure === undefined || this.#isListDue) {
			this.#failureCount = 0;
			return this.#options.minIntervalMs;
		}

		this.#options.notifyFailure?.(failure);
		// A watch that was cut without notice would wait forever, so the next call lists the objects, which returns the changes
		// that were missed.
		this.#revision = undefined;
		this.#options.metrics.count(counterNames.watchRestarted);
		if (failure.kind === 'compacted') {
			return this.#options.minIntervalMs;
		}

		this.#failureCount++;
		debug('watch of %s failed: %o', this.#options.prefix, failure);
		const backoffMs = Math.min(this.#options.maxBackoffMs ?? defaultMaxBackoffMs, firstBackoffMs * (2 ** this.#failureCount));
		// All entries see an outage at the same time; without random delays they would all retry together.
		return Math.max(backoffMs * (0.5 + (Math.random() / 2)), failure.kind === 'rate_limited' ? failure.retryAfterMs : 0);
	}

	async #list(): Promise<StoreFailure | undefined> {
		const {store, prefix} = this.#options;
		const sent = this.#readClocks();
		const result = await store.list(prefix, {signal: this.#controller.signal});
		if (!result.ok) {
			return result.error;
		}

		const changedKeys = new Set(this.#objects.keys());
		this.#objects.clear();
		for (const {key, version, value} of result.value.items) {
			changedKeys.add(key);
			this.#objects.set(key, {version, value});
		}

		const {revision, era} = result.value;
		const isRestored = this.#era !== undefined && era !== undefined && era !== this.#era;
		this.#era = era ?? this.#era;
		this.#revision = revision;
		this.#listedAt = sent.sentAt;
		this.#notify([...changedKeys], sent, {isRestored, isList: true});
		return undefined;
	}

	async #watch(after: number): Promise<StoreFailure | undefined> {
		const {store, prefix, waitMs} = this.#options;
		const sent = this.#readClocks();
		const result = await store.watch(prefix, after, typeof waitMs === 'number' ? waitMs : waitMs(), {
			signal: AbortSignal.any([this.#controller.signal, this.#call.signal]), era: this.#era,
		});
		if (!result.ok) {
			return result.error;
		}

		for (const {type, key, version, value} of result.value.events) {
			if (type === 'put') {
				this.#objects.set(key, {version, value});
			} else {
				this.#objects.delete(key);
			}
		}

		this.#revision = result.value.revision;
		this.#notify(result.value.events.map(({key}) => key), sent, {isRestored: false, isList: false});
		return undefined;
	}

	/** Reads both clocks before a call, so that a suspension of the process while it waits for the answer shows in their difference. */
	#readClocks(): Pick<WatchedState, 'sentAt' | 'sentAtWall'> {
		const {timer, readWallClock = Date.now} = this.#options;
		return {sentAt: timer.now(), sentAtWall: readWallClock()};
	}

	#notify(changedKeys: string[], sent: Pick<WatchedState, 'sentAt' | 'sentAtWall'>, kind: Pick<WatchedState, 'isRestored' | 'isList'>): void {
		if (!this.#controller.signal.aborted) {
			this.#options.notify({
				objects: this.#objects, changedKeys, ...sent, ...kind, revision: this.#revision!, era: this.#era,
			});
		}
	}
}
