import {
	computeConfirmation, computeFeedTiming, computeStateAge, FreshnessTracker, SourceSelector, sourceKinds, StateCopy, updateEffects, type ClockReading, type CopiedObject, type FeedTiming, type StatePosition, type StateUpdate,
} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import {ObjectWatch, type WatchedState} from '@knapweedrack/entry/object-watch';
import type {ObjectStore, StoreFailure} from '@knapweedrack/platform-client';
import type {RegisteredEntry, RelayBounds} from '../contracts.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import {createQueue} from './create-queue.js';
import {FeedClient, feedEnds, type FeedEnd} from './feed-client.js';
import type {FeedMessageOf, SentUpdate, WatchAge} from './feed-message.js';
import type {FeedServer, FeedSource} from './feed-server.js';

/** Time in which a restarted entry must have the state of a reader before it calls the store as well, in ms. */
const restartFeedMs = 100;
/** Interval at which a starting entry checks whether it follows a reader, in ms. */
const firstFeedCheckMs = 10;
/** Interval at which the source is decided again, in ms. */
const decideMs = 500;
/** Interval at which the age of the state is checked, in ms. */
const checkAgeMs = 100;
/** Share of `settleMs` in which a reader must be reached and have sent its state. */
const openShare = 0.2;
/** The same while the entry starts and has no state that could become outdated. */
const firstOpenShare = 0.5;
/** Interval at which confirmations of a reader are passed on while nothing changes, in ms; a watch of the store answers about as often. */
const confirmMs = 1000;
/** Time in which a reader that replaces another source must have sent its first ages, in intervals between two questions for them. */
const firstAgesFactor = 2;
/** Interval at which all objects are listed again in case a watch missed a change, in ms. */
const relistMs = 300_000;
/** Longest pause after failures of an entry that reads the store only because it has found no reader, in ms. */
const fallbackBackoffMs = 2000;
/** Wait of the first call of a watch that goes on from a copy, in ms: the store answers at once, and shows what the copy has missed. */
const firstWaitMs = 1;
/** Delay of an answer beyond the wait of its call after which a failed call shows a lost store, in ms. */
const lateAnswerMs = 400;
/** Time for which followers are told that the store has answered again after an outage, in ms. */
const regainedReportMs = 5000;
/** Difference between the monotonic and the wall clock that is ignored, in ms; adjustments of the time of day stay below it. */
const clockToleranceMs = 300;

/** A prefix of the store that is watched. */
export type WatchPlan = {
	name: string;
	prefix: string;
	/** Longest wait of a call, in ms. */
	waitMs: number;
	/** Minimum time between two calls, in ms, so that a series of changes is read in one call. */
	minIntervalMs: number;
	/** Longest pause after failures, in ms. */
	maxBackoffMs: number;
	/** True for the watch whose success after an outage makes the others retry at once. */
	isProbe: boolean;
	/** True when changes must take effect within a time limit. */
	isTimely: boolean;
	/** True for the watch of the entries, which is read first, because the readers are among them. */
	listsEntries: boolean;
};

/** Receivers of the state. */
export type StateHandlers = {
	/** Called with the state of a watch after each change and each confirmation. */
	notify: (watch: string, state: WatchedState) => void;
	/** Called when the store answers again after an outage, with the time at which it did. */
	notifyRegained: (watch: string, at: number) => void;
};

/** Dependencies of the state source task. */
export type StateSourceOptions = {
	self: {id: string; failureDomain: string};
	store: ObjectStore;
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	bounds: RelayBounds;
	/** Reads both clocks; the monotonic one is that of the timer service. */
	readClocks: () => ClockReading;
	random: () => number;
	/** True when the whole system starts. */
	isFirstStart: boolean;
	/** The other entries that run, as far as this one knows. */
	listRunningPeers: () => RegisteredEntry[];
	/** Number of entries that follow this one. */
	countFollowers: () => number;
	publish: FeedServer['publish'];
	closeFollowers: () => void;
};

/** One watch with its copy, and what is known of its confirmation. */
type WatchState = {
	plan: WatchPlan;
	copy: StateCopy;
	/** Watch of the store itself; undefined while this entry follows another one. */
	watch: ObjectWatch | undefined;
	/** Time of the last answer of the store to the running watch; undefined before the first. */
	answeredAt: number | undefined;
	/** Time of the first failure while the watch fails. */
	failingSince: number | undefined;
	/** Time at which the store answered again after the last outage. */
	regainedAt: number | undefined;
	/** Confirmations by the store itself; those of another entry do not count here. */
	confirmed: FreshnessTracker;
	/** Time of the last confirmation by a reader that was passed on. */
	notifiedAt: number;
};

/**
 * Gets the state of the store for this entry. In a small fleet each entry watches the store. In a large one a few entries do, the readers,
 * and the others follow one of them; an entry that finds no reader that reaches the store watches the store itself.
 */
export class StateSourceTask implements FeedSource {
	readonly #options: StateSourceOptions;
	readonly #selector = new SourceSelector();
	readonly #watches = new Map<string, WatchState>();
	#handlers: StateHandlers = {notify: () => undefined, notifyRegained: () => undefined};
	/** Connection whose state is used. */
	#feed: FeedClient | undefined;
	/** Connection that has not yet sent all state. */
	#openingFeed: FeedClient | undefined;
	/** Time at which the call of the probe watch was sent that confirmed the state last, by this entry or its reader. */
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#isStopped = false;
	/** First reads while this entry watches the store itself; undefined while it follows a reader. */
	#reading: Promise<void> | undefined;
	readonly #unsubscribes: Array<() => void> = [];
	readonly #readingWaiters = new Set<(isReading: boolean) => void>();

	constructor(options: StateSourceOptions) {
		this.#options = options;
	}

	get watches(): readonly string[] {
		return [...this.#watches.keys()];
	}

	/** Id of the entry that this one follows; undefined while it reads the store itself. */
	get readerId(): string | undefined {
		return this.#feed?.readerId;
	}

	/** Gets the whole state once, from the store or from a reader, and goes on following it; resolves once that has succeeded or failed. */
	async start(plans: readonly WatchPlan[], handlers: StateHandlers): Promise<void> {
		this.#handlers = handlers;
		for (const plan of plans) {
			this.#watches.set(plan.name, {
				plan, copy: new StateCopy(), watch: undefined, answeredAt: undefined, failingSince: undefined, regainedAt: undefined,
				confirmed: new FreshnessTracker(clockToleranceMs), notifiedAt: Number.NEGATIVE_INFINITY,
			});
		}

		await this.#startFirst(plans);
		const {timer} = this.#options;
		this.#unsubscribes.push(
			timer.subscribe(decideMs, () => {
				this.#decide();
			}),
			timer.subscribe(checkAgeMs, () => {
				this.#checkAge();
			}),
		);
	}

	stop(): void {
		this.#isStopped = true;
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}

		this.#stopReading();
		this.#closeFeeds();
	}

	/** Has the state confirmed at once, by the store or by the reader. */
	confirmNow(): void {
		this.#feed?.ask();
		for (const {plan, watch} of this.#watches.values()) {
			if (plan.isProbe) {
				watch?.confirmNow();
			}
		}
	}

	async ensureReading(): Promise<boolean> {
		// Before the start there is nothing to watch yet; the follower asks again.
		if (this.#isStopped || this.#watches.size === 0) {
			return false;
		}

		this.#closeFeeds();
		void this.#startReading();

		if (this.#hasReadAll || this.#isStoreFailing) {
			return this.#hasReadAll;
		}

		return new Promise(resolve => {
			const cancel = this.#options.timer.schedule(this.#options.bounds.settleMs * openShare, () => {
				finish(false);
			});
			const finish = (isReading: boolean): void => {
				cancel();
				this.#readingWaiters.delete(finish);
				resolve(isReading);
			};

			this.#readingWaiters.add(finish);
		});
	}

	buildUpdate(watch: string, since: StatePosition | undefined): StateUpdate | undefined {
		return this.#watches.get(watch)?.copy.buildUpdate(since);
	}

	listAges(): WatchAge[] {
		const now = this.#options.readClocks();
		const ages: WatchAge[] = [];
		for (const {plan, copy, watch, answeredAt, failingSince, confirmed} of this.#watches.values()) {
			const age = computeStateAge(copy.position, confirmed, now);
			if (age !== undefined && watch !== undefined && answeredAt !== undefined && failingSince === undefined) {
				ages.push({watch: plan.name, ...age});
			}
		}

		return ages;
	}

	computeRegainedMs(watch: string): number | undefined {
		const regainedAt = this.#watches.get(watch)?.regainedAt;
		const regainedMs = regainedAt === undefined ? Number.POSITIVE_INFINITY : this.#options.timer.now() - regainedAt;
		return regainedMs <= regainedReportMs ? regainedMs : undefined;
	}

	/**
	 * True while this entry has the state of all watches and the store answers it. Watches that are not timely may wait long for their
	 * first answer after this entry has followed another one; they confirm nothing until then.
	 */
	get #hasReadAll(): boolean {
		return !this.#isStoreFailing && [...this.#watches.values()].every(({plan, copy, watch, answeredAt}) =>
			copy.position !== undefined && watch !== undefined && (answeredAt !== undefined || !(plan.isProbe || plan.isTimely)));
	}

	get #timing(): FeedTiming {
		return computeFeedTiming(this.#options.bounds);
	}

	get #hasState(): boolean {
		return [...this.#watches.values()].every(({copy}) => copy.position !== undefined);
	}

	get #isStoreFailing(): boolean {
		return [...this.#watches.values()].some(({watch, failingSince}) => watch !== undefined && failingSince !== undefined);
	}

	/** Reads the list of the entries, which names the readers, and the rest from one of them when there is one. */
	async #startFirst(plans: readonly WatchPlan[]): Promise<void> {
		const listPlan = plans.find(({listsEntries}) => listsEntries);
		const list = listPlan === undefined ? undefined : this.#watches.get(listPlan.name);
		if (list !== undefined) {
			await this.#startWatch(list, false);
			this.#decide();
			await this.#waitForFirstFeed();
		}

		if (this.#feed === undefined) {
			await this.#startReading();
		}
	}

	/** Waits while feeds are being opened; not for long after a restart, when callers may wait and the reader may still be away. */
	async #waitForFirstFeed(): Promise<void> {
		if (this.#openingFeed === undefined) {
			return;
		}

		const {timer, isFirstStart, bounds} = this.#options;
		const deadline = timer.now() + (isFirstStart ? bounds.settleMs * firstOpenShare : restartFeedMs);
		return new Promise(resolve => {
			const unsubscribe = timer.subscribe(firstFeedCheckMs, now => {
				if (this.#openingFeed === undefined || this.#isStopped || now >= deadline) {
					unsubscribe();
					resolve();
				}
			});
		});
	}

	#decide(): void {
		const {self, timer, random, listRunningPeers, countFollowers} = this.#options;
		if (this.#isStopped) {
			return;
		}

		const now = timer.now();
		const clocks = this.#options.readClocks();
		for (const {confirmed} of this.#watches.values()) {
			confirmed.checkClocks(clocks);
		}

		this.#checkLoss();
		const running = listRunningPeers();
		const choice = this.#selector.decide({
			now, self, running, followers: countFollowers(), readerId: this.#feed?.readerId ?? this.#openingFeed?.readerId, isStoreFailing: this.#isStoreFailing, random,
		});
		if (choice.kind === sourceKinds.store) {
			void this.#startReading(choice.isFallback);
			this.#closeFeeds();
		} else if (choice.kind === sourceKinds.reader && (this.#feed ?? this.#openingFeed)?.readerId !== choice.readerId && this.#openingFeed?.readerId !== choice.readerId) {
			this.#openFeed(running.find(({id}) => id === choice.readerId)!);
		}
	}

	/**
	 * Reads the store when no reader has confirmed the state for too long. That ends when a reader is followed again, which may take longer
	 * than a change may: the next ones can have lost the store, or be away, as well.
	 */
	#checkAge(): void {
		if (this.#reading !== undefined || !this.#hasState || this.#options.timer.now() - this.#confirmedAt <= this.#timing.confirmationMs) {
			return;
		}

		if (this.#feed !== undefined) {
			this.#dropFeed('unconfirmed');
		}

		void this.#startReading(true);
	}

	#openFeed(reader: RegisteredEntry): void {
		const {self, timer, readClocks, bounds, log} = this.#options;
		const {askMs, silenceMs, confirmationMs} = this.#timing;
		this.#openingFeed?.close();
		const positions = Object.fromEntries([...this.#watches].flatMap(([name, {copy}]) => copy.position === undefined ? [] : [[name, copy.position]]));
		const runInOrder = createQueue(error => {
			log.write('feed.failed', {peer: reader.id, message: error.message});
			if (isOpen()) {
				feed.close();
				this.#handleFeedEnd(feed, 'unfetched');
			}
		});
		const feed = new FeedClient({
			entryId: self.id, reader, timer, readClocks, positions,
			openMs: bounds.settleMs * (this.#hasState ? openShare : firstOpenShare), askMs, silenceMs,
			handleUpdate(message) {
				runInOrder(async () => applyUpdate(message));
			},
			handleSynced() {
				runInOrder(useFeed);
			},
			handleAges: (message, askedAt) => {
				runInOrder(() => {
					this.#applyAges(message, askedAt);
				});
			},
			handleEnd: reason => {
				this.#handleFeedEnd(feed, reason);
			},
		});
		const isOpen = (): boolean => feed === this.#openingFeed || feed === this.#feed;
		const applyUpdate = async (message: FeedMessageOf<'update'>): Promise<void> => {
			const update = await this.#fetchLarge(message.update);
			if (isOpen()) {
				this.#applyUpdate(feed, message, update);
			}
		};

		const useFeed = (): void => {
			if (isOpen()) {
				this.#feed?.close();
				this.#feed = feed;
				this.#openingFeed = undefined;
				// The state of this reader may be as old as that of the one before, until its first ages arrive.
				const firstAgesMs = Number.isFinite(this.#confirmedAt) ? askMs * firstAgesFactor : confirmationMs;
				this.#confirmedAt = Math.max(this.#confirmedAt, timer.now() - confirmationMs + firstAgesMs);
				this.#selector.recordReached();
				// The reader may have lost the store without notice, so what this entry reads itself is read to its end.
				if (this.#reading === undefined || this.#hasReadAll || this.#isStoreFailing) {
					this.#stopReading();
				}

				log.write('feed.following', {peer: reader.id, failureDomain: reader.failureDomain});
			}
		};

		this.#openingFeed = feed;
	}

	#handleFeedEnd(feed: FeedClient, reason: FeedEnd | 'unconfirmed' | 'gap' | 'unfetched'): void {
		const {log, metrics, timer} = this.#options;
		log.write('feed.ended', {peer: feed.readerId, reason, isFollowed: feed === this.#feed});
		metrics.countEvent(`feed.ended_${reason}`);
		this.#selector.recordFailure(feed.readerId, timer.now(), reason === feedEnds.lost);
		if (feed === this.#feed) {
			this.#feed = undefined;
		} else {
			this.#openingFeed = undefined;
		}

		this.#decide();
	}

	/** Ends the feed that is used, because it brings no usable state. */
	#dropFeed(reason: 'unconfirmed' | 'gap'): void {
		const feed = this.#feed ?? this.#openingFeed;
		if (feed !== undefined) {
			feed.close();
			this.#handleFeedEnd(feed, reason);
		}
	}

	/** Adds the objects that the reader has left out, as the store has them now. */
	async #fetchLarge({large, era, from, revision, puts, deletes}: SentUpdate): Promise<StateUpdate> {
		const {store} = this.#options;
		const update: StateUpdate = {
			era, from, revision, puts: [...puts], deletes: [...deletes],
		};
		await Promise.all(large.map(async ([key, version]) => {
			const known = this.#findObject(key);
			if (known?.version === version) {
				update.puts.push([key, version, known.value]);
				return;
			}

			const result = await store.get(key);
			if (result.ok) {
				update.puts.push([key, result.value.version, result.value.value]);
			} else if (result.error.kind === 'not_found') {
				update.deletes.push(key);
			} else {
				throw new Error(`${key} was not read: ${result.error.kind}`);
			}
		}));
		return update;
	}

	#findObject(key: string): CopiedObject | undefined {
		return [...this.#watches.values()].find(({plan}) => key.startsWith(plan.prefix))?.copy.objects.get(key);
	}

	#applyUpdate(feed: FeedClient, {watch: name, regainedMs}: FeedMessageOf<'update'>, update: StateUpdate): void {
		const {timer, metrics} = this.#options;
		const watch = this.#watches.get(name);
		if (watch === undefined) {
			metrics.countEvent('feed.unknown_watch');
			return;
		}

		const isFirst = watch.copy.position === undefined;
		const result = watch.copy.apply(update);
		if (result.effect === updateEffects.gap) {
			feed.close();
			this.#handleFeedEnd(feed, 'gap');
			return;
		}

		// The reader also sends its new position when nothing has changed.
		if (result.effect === updateEffects.applied && (isFirst || result.changedKeys.length > 0 || result.isRestored)) {
			if (regainedMs !== undefined) {
				this.#handlers.notifyRegained(name, timer.now() - regainedMs);
			}

			// The update itself confirms nothing: when it was sent is unknown.
			this.#notify(watch, {
				changedKeys: result.changedKeys, isRestored: result.isRestored, sentAt: Number.NEGATIVE_INFINITY, sentAtWall: Number.NEGATIVE_INFINITY,
			});
		}
	}

	/** Confirms the copies that are as new as those of the reader; the age adds to the time since the question. */
	#applyAges({ages}: FeedMessageOf<'ages'>, askedAt: ClockReading): void {
		for (const {watch: name, ...age} of ages) {
			const watch = this.#watches.get(name);
			const confirmedAt = computeConfirmation(watch?.copy.position, age, askedAt);
			if (watch === undefined || confirmedAt === undefined) {
				continue;
			}

			const {monotonic: sentAt, wall: sentAtWall} = confirmedAt;
			if (watch.plan.isProbe) {
				this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
			}

			if (sentAt - watch.notifiedAt >= confirmMs) {
				watch.notifiedAt = sentAt;
				this.#recordSuccess(watch, undefined);
				this.#notify(watch, {
					changedKeys: [], isRestored: false, sentAt, sentAtWall,
				});
			}
		}
	}

	#notify({plan, copy}: WatchState, change: Omit<WatchedState, 'objects' | 'revision' | 'era' | 'isList'>): void {
		const {era, revision} = copy.position!;
		this.#handlers.notify(plan.name, {
			...change, objects: copy.objects, revision, era, isList: false,
		});
	}

	/** Watches the store itself; resolves once the first call of each watch has succeeded or failed. */
	async #startReading(isFallback = false): Promise<void> {
		if (!this.#isStopped) {
			this.#reading ??= this.#watchStore(isFallback);
			await this.#reading;
		}
	}

	async #watchStore(isFallback: boolean): Promise<void> {
		const waiting = [...this.#watches.values()].filter(({watch}) => watch === undefined);
		// While the state is known, one watch shows whether the store answers; the others begin with its first answer.
		const first = this.#hasState ? waiting.filter(({plan}) => plan.isProbe) : waiting;
		this.#options.log.write('feed.reading', {followers: this.#options.countFollowers(), isFallback});
		await Promise.all(first.map(async state => this.#startWatch(state, isFallback)));
	}

	/** Starts the watches that wait for the first answer of the store. */
	#startOtherWatches(): void {
		for (const state of this.#watches.values()) {
			if (state.watch === undefined && this.#reading !== undefined) {
				void this.#startWatch(state, false);
			}
		}
	}

	async #startWatch(state: WatchState, isFallback: boolean): Promise<void> {
		const {store, timer, metrics, readClocks, publish} = this.#options;
		const {plan, copy} = state;
		const {position} = copy;
		state.answeredAt = undefined;
		state.failingSince = undefined;
		let isFirstCall = position !== undefined && (plan.isProbe || plan.isTimely);
		const watch = new ObjectWatch({
			prefix: plan.prefix,
			waitMs: () => {
				const waitMs = isFirstCall ? firstWaitMs : this.#computeWaitMs(plan);
				isFirstCall = false;
				return waitMs;
			},
			minIntervalMs: plan.minIntervalMs, relistMs, store, timer,
			maxBackoffMs: isFallback ? fallbackBackoffMs : plan.maxBackoffMs,
			metrics: {
				count(event) {
					metrics.countEvent(event);
				},
			},
			readWallClock: () => readClocks().wall,
			initial: position === undefined ? undefined : {objects: copy.objects, revision: position.revision, era: position.era === 0 ? undefined : position.era},
			notify: answer => {
				const update = copy.record({...answer, era: answer.era ?? 0});
				if (update === undefined) {
					metrics.countEvent('feed.older_answer');
					return;
				}

				state.answeredAt = timer.now();
				state.confirmed.confirm({monotonic: answer.sentAt, wall: answer.sentAtWall});
				this.#recordSuccess(state, timer.now());
				this.#handlers.notify(plan.name, answer);
				publish(plan.name, update);
				if (plan.isProbe) {
					this.#startOtherWatches();
				}

				if (this.#hasReadAll) {
					this.#handleReadAll(answer.sentAt);
				}
			},
			notifyFailure: failure => {
				this.#recordFailure(state, failure);
			},
		});
		state.watch = watch;
		await watch.start();
	}

	#computeWaitMs({waitMs, isProbe}: WatchPlan): number {
		return isProbe && this.#options.countFollowers() > 0 ? Math.min(waitMs, this.#timing.probeWaitMs) : waitMs;
	}

	#stopReading(): void {
		this.#reading = undefined;
		for (const state of this.#watches.values()) {
			state.watch?.stop();
			state.watch = undefined;
		}
	}

	#closeFeeds(): void {
		this.#feed?.close();
		this.#openingFeed?.close();
		this.#feed = undefined;
		this.#openingFeed = undefined;
	}

	/** Handles an answer of the store to a call that was sent at `sentAt`, once this entry has read all state. */
	#handleReadAll(sentAt: number): void {
		this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
		for (const finish of this.#readingWaiters) {
			finish(true);
		}

		if (this.#feed !== undefined) {
			this.#stopReading();
		}
	}

	/** Ends an outage of a watch; `at` is undefined when another entry has reached the store. */
	#recordSuccess(state: WatchState, at: number | undefined): void {
		const {timer, log} = this.#options;
		const {plan, failingSince} = state;
		if (failingSince === undefined) {
			return;
		}

		state.failingSince = undefined;
		log.write('store.regained', {watch: plan.name, afterMs: Math.round(timer.now() - failingSince)});
		if (at === undefined) {
			return;
		}

		state.regainedAt = at;
		this.#handlers.notifyRegained(plan.name, at);
		if (plan.isProbe) {
			for (const {watch} of this.#watches.values()) {
				watch?.retryNow();
			}
		}
	}

	#recordFailure(state: WatchState, failure: StoreFailure): void {
		const {timer, log} = this.#options;
		// `compacted` means that the store dropped the history of the watch. This is no outage: the list call that follows succeeds.
		if (failure.kind === 'compacted' || state.failingSince !== undefined || state.watch === undefined) {
			return;
		}

		state.failingSince = timer.now();
		log.write('store.lost', {watch: state.plan.name, failure: failure.kind, message: 'message' in failure ? failure.message : undefined});
		if (this.#feed !== undefined) {
			this.#stopReading();
		}

		this.#checkLoss();
		timer.schedule(this.#timing.failureToleranceMs + 1, () => {
			this.#checkLoss();
		});
	}

	/** Tells the followers when this entry no longer reaches the store; a single failed call is repeated first, unless it took long. */
	#checkLoss(): void {
		const now = this.#options.timer.now();
		const {failureToleranceMs} = this.#timing;
		const isLost = [...this.#watches.values()].some(({plan, failingSince, answeredAt = Number.NEGATIVE_INFINITY}) => failingSince !== undefined
			&& (now - failingSince > failureToleranceMs || now - answeredAt > this.#computeWaitMs(plan) + lateAnswerMs));
		if (isLost) {
			this.#options.closeFollowers();
		}
	}
}
