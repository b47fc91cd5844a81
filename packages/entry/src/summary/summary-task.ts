import {MinuteCollector, type MinuteSummary, type OutcomeKind} from '@knapweedrack/core';
import {objectKeys} from '@knapweedrack/protocol';
import type {EntryServices, Metrics, TimerService} from '../contracts.js';
import {counterNames} from '../metrics/metric-names.js';
import type {MonitoredStore} from '../store/monitored-store.js';

const periodMs = 60_000;
/** A day of summaries: an outage of the object API for longer than this loses the oldest ones. */
const waitingLimit = 1440;

/** What the summary task needs. */
export type SummaryOptions = {
	entryId: string;
	epoch: string;
	store: MonitoredStore;
	timer: TimerService;
	metrics: Metrics;
};

/** Counts the final outcomes of requests and writes them once a minute for the daily report. */
export class SummaryTask {
	readonly #options: SummaryOptions;
	readonly #collector = new MinuteCollector();
	readonly #waiting: MinuteSummary[] = [];
	#unsubscribe: (() => void) | undefined;
	#sequence = 0;
	#from = Date.now();
	#writing: Promise<void> = Promise.resolve();

	constructor(options: SummaryOptions) {
		this.#options = options;
	}

	/** The part of the entry's services for request tasks. */
	get services(): EntryServices['summary'] {
		return {
			record: record => {
				this.#collector.record({...record, outcome: record.outcome as OutcomeKind});
			},
		};
	}

	start(): void {
		this.#unsubscribe = this.#options.timer.subscribe(periodMs, () => {
			void this.#closePeriod(false);
		});
	}

	/** Writes the last summary. */
	async stop(): Promise<void> {
		this.#unsubscribe?.();
		await this.#closePeriod(true);
	}

	async #closePeriod(isLast: boolean): Promise<void> {
		const {entryId, epoch} = this.#options;
		const to = Date.now();
		this.#waiting.push(this.#collector.close({
			entryId, epoch, sequence: this.#sequence++, from: this.#from, to, isLast,
		}));
		this.#from = to;
		this.#waiting.splice(0, this.#waiting.length - waitingLimit);
		const former = this.#writing;
		this.#writing = this.#writeWaiting(former);
		await this.#writing;
	}

	/** Writes in order; the rest waits for the next period when the object API does not take one. */
	async #writeWaiting(former: Promise<void>): Promise<void> {
		await former;
		for (let summary = this.#waiting[0]; summary; summary = this.#waiting[0]) {
			const result = await this.#options.store.put(buildKey(summary), summary);
			// A lost answer is repeated under the same key, so that the summary is counted once.
			this.#options.metrics.count(result.ok ? counterNames.summaryWritten : counterNames.summaryWriteFailed);
			if (!result.ok) {
				return;
			}

			this.#waiting.shift();
		}
	}
}

const buildKey = ({entryId, epoch, sequence, from}: MinuteSummary): string =>
	`${objectKeys.summaryPrefix}${new Date(from).toISOString().slice(0, 10)}/${entryId}/${epoch}-${sequence}`;
