import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {BinaryHeap} from '../fairness/binary-heap.js';
import {isDeadlineUnreachable} from './admission-estimate.js';
import {
	computeReservedServers, decideYield, yieldKinds, type WaitingDemand,
} from './room-sharing.js';
import {
	trialResults, WaitingQueue, type TrialResult, type WaitingItem,
} from './waiting-queue.js';
import {computeWaitingRetryDelayMs} from './waiting-retry-delay.js';

const tickMs = 20;
/** Longest delay to an arrival that is drawn at one rate, in ms. */
const redrawMs = 100;
/** Age of the reports of what waits at other entries, in ms. */
const reportMs = 100;
/** Delay after which an entry learns of freed room, in ms. */
const freedMs = 10;
/** Share of its target after which a request counts as late in the queue. */
const lateShare = 0.6;

/** Requests with the same urgency and size. */
export type LoadKind = {
	name: string;
	urgency: number;
	/** Prompt tokens. */
	cost: number;
	/** Backend servers on which a request takes one slot each. */
	parts: number;
	durationMs: number;
	targetMs: number;
	timeoutMs: number;
	/** Requests per second at a time, in ms. */
	computeRate: (now: number) => number;
	/** Draws the workspace of a request from a number in [0, 1). */
	selectWorkspace: (random: number) => string;
	/** Time after which callers leave although their request waits, in ms; undefined for none. */
	leaveMs?: number;
	/** Callers come back as told by the retry delay, at once, or not at all. */
	retries: 'told' | 'at once' | 'none';
};

/** A fleet under a load; times in ms. */
export type SimulationOptions = {
	entries: number;
	servers: number;
	slots: number;
	durationMs: number;
	kinds: LoadKind[];
	/** Number of backend servers that accept requests at a time; all without it. */
	countOpenServers?: (now: number) => number;
	seed?: number;
};

/** What became of the requests of one kind or workspace; a request that returns counts once. */
export type LoadFigures = {asked: number; onTime: number; served: number; gone: number; refused: number; refusals: number; longestWaitMs: number};

type Caller = {kind: LoadKind; workspaceId: string; arrivedAt: number; isOver: boolean; refusals: number};
type Entry = {queue: WaitingQueue<Caller>; reported: WaitingDemand[]; isTicking: boolean; isWoken: boolean};

/** Plays a load in virtual time against queues at several entries that share backend servers with slots. */
export class WaitingSimulation {
	readonly figures = new Map<string, LoadFigures>();
	readonly #options: SimulationOptions;
	readonly #entries: Entry[];
	readonly #busy: number[];
	readonly #random: () => number;
	readonly #events = new BinaryHeap<{at: number; order: number; run: () => void}>((a, b) => a.at - b.at || a.order - b.order);
	#now = 0;
	#order = 0;

	constructor(options: SimulationOptions) {
		this.#options = options;
		const generator = xoroshiro128plus(options.seed ?? 5);
		this.#random = () => uniformFloat64(generator);
		this.#entries = Array.from({length: options.entries}, () => ({
			queue: new WaitingQueue<Caller>(), reported: [], isTicking: false, isWoken: false,
		}));
		this.#busy = Array.from({length: options.servers}, () => 0);
	}

	/** Plays the load until no request is left. */
	run(): ReadonlyMap<string, LoadFigures> {
		for (const kind of this.#options.kinds) {
			this.#scheduleArrival(kind);
		}

		for (let event = this.#events.removeFirst(); event !== undefined; event = this.#events.removeFirst()) {
			this.#now = event.at;
			event.run();
		}

		return this.figures;
	}

	#schedule(delayMs: number, run: () => void): void {
		this.#events.add({at: this.#now + delayMs, order: this.#order++, run});
	}

	#scheduleArrival(kind: LoadKind): void {
		const rate = kind.computeRate(this.#now);
		const delayMs = -Math.log(1 - this.#random()) * 1000 / rate;
		if (this.#now > this.#options.durationMs) {
			return;
		}

		// Arrivals have no memory, so that a long delay is drawn again, at the rate of then.
		if (delayMs > redrawMs) {
			this.#schedule(redrawMs, () => {
				this.#scheduleArrival(kind);
			});
			return;
		}

		this.#schedule(delayMs, () => {
			const caller: Caller = {
				kind, workspaceId: kind.selectWorkspace(this.#random()), arrivedAt: this.#now, isOver: false, refusals: 0,
			};
			this.#count(caller, 'asked');
			this.#arrive(caller);
			this.#scheduleArrival(kind);
		});
	}

	#arrive(caller: Caller): void {
		const entry = this.#entries[Math.floor(this.#random() * this.#entries.length)]!;
		const {kind, workspaceId} = caller;
		const request = {
			urgency: kind.urgency, workspaceId, cost: kind.cost, hasBegun: false, lateAt: this.#now + (kind.targetMs * lateShare), deadlineAt: caller.arrivedAt + kind.timeoutMs,
		};
		if (isDeadlineUnreachable(entry.queue.estimate(request, this.#now))) {
			this.#refuse(entry, caller);
			return;
		}

		const item = entry.queue.add(request, caller, this.#now);
		if (kind.leaveMs !== undefined) {
			this.#schedule(kind.leaveMs, () => {
				if (entry.queue.remove(item, this.#now)) {
					this.#end(caller, 'gone');
				}
			});
		}

		this.#runQueue(entry);
	}

	#runQueue(entry: Entry): void {
		const elsewhere = this.#entries.filter(other => other !== entry).flatMap(({reported}) => reported);
		entry.queue.run(this.#now, item => this.#tryPlace(item, [...entry.queue.summarize('s'), ...elsewhere]));
		if (!entry.isTicking && entry.queue.size > 0) {
			entry.isTicking = true;
			this.#schedule(tickMs, () => {
				this.#tick(entry);
			});
		}

		const summary = entry.queue.summarize('s');
		this.#schedule(reportMs, () => {
			entry.reported = summary;
		});
	}

	#tick(entry: Entry): void {
		entry.isTicking = false;
		for (const item of entry.queue.listUnreachable(this.#now)) {
			entry.queue.remove(item, this.#now);
			this.#refuse(entry, item.value);
		}

		this.#runQueue(entry);
	}

	#tryPlace({value: caller}: WaitingItem<Caller>, demands: readonly WaitingDemand[]): TrialResult {
		const {kind} = caller;
		const {slots, countOpenServers} = this.#options;
		const open = countOpenServers?.(this.#now) ?? this.#busy.length;
		const yielding = decideYield({
			urgency: kind.urgency, hasBegun: false, waitedMs: this.#now - caller.arrivedAt, targetMs: kind.targetMs,
		}, demands);
		if (yielding === yieldKinds.full) {
			return trialResults.skipped;
		}

		const reserved = yielding === yieldKinds.part ? computeReservedServers(kind.urgency, demands, {servers: open, slots, neededServers: kind.parts}) : 0;
		const free = [...this.#busy.keys()].filter(server => server >= reserved && server < open && this.#busy[server]! < slots)
			.toSorted((a, b) => this.#busy[a]! - this.#busy[b]!);
		if (free.length < kind.parts) {
			return reserved > 0 ? trialResults.blocked : trialResults.noRoom;
		}

		this.#place(caller, free.slice(0, kind.parts));
		return trialResults.placed;
	}

	#place(caller: Caller, servers: readonly number[]): void {
		const {kind, arrivedAt} = caller;
		this.#end(caller, 'served');
		if (this.#now - arrivedAt <= kind.targetMs) {
			this.#count(caller, 'onTime');
		}

		for (const server of servers) {
			this.#busy[server]!++;
			this.#schedule(kind.durationMs, () => {
				this.#busy[server]!--;
				this.#wake();
			});
		}
	}

	#wake(): void {
		for (const entry of this.#entries.filter(({queue, isWoken}) => queue.size > 0 && !isWoken)) {
			entry.isWoken = true;
			this.#schedule(this.#random() * freedMs, () => {
				entry.isWoken = false;
				this.#runQueue(entry);
			});
		}
	}

	#refuse(entry: Entry, caller: Caller): void {
		const {kind, arrivedAt} = caller;
		this.#count(caller, 'refusals');
		const leftMs = arrivedAt + kind.timeoutMs - this.#now;
		if (kind.retries === 'none' || leftMs <= 0) {
			this.#end(caller, 'refused');
			return;
		}

		const told = computeWaitingRetryDelayMs({
			drainMs: entry.queue.describe(kind.urgency, this.#now).drainMs, targetMs: kind.targetMs, urgency: kind.urgency, callerLeftMs: leftMs, random: this.#random(),
		});
		// A caller that returns at once still needs a round trip.
		this.#schedule(kind.retries === 'told' ? Math.max(1, told) : 5, () => {
			this.#arrive(caller);
		});
	}

	#end(caller: Caller, end: 'served' | 'gone' | 'refused'): void {
		if (caller.isOver) {
			throw new Error('a request has ended twice');
		}

		caller.isOver = true;
		this.#count(caller, end);
		for (const name of [caller.kind.name, caller.workspaceId]) {
			const figures = this.#getFigures(name);
			figures.longestWaitMs = Math.max(figures.longestWaitMs, this.#now - caller.arrivedAt);
		}
	}

	#count({kind, workspaceId}: Caller, field: Exclude<keyof LoadFigures, 'longestWaitMs'>): void {
		this.#getFigures(kind.name)[field]++;
		this.#getFigures(workspaceId)[field]++;
	}

	#getFigures(name: string): LoadFigures {
		const known = this.figures.get(name) ?? {
			asked: 0, onTime: 0, served: 0, gone: 0, refused: 0, refusals: 0, longestWaitMs: 0,
		};
		this.figures.set(name, known);
		return known;
	}
}
