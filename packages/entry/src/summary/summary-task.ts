import {
	MinuteCollector, splitSummary, type MinuteSummary, type OutcomeKind,
} from '@knapweedrack/core';
import {buildSummaryKey, objectValueLimitBytes} from '@knapweedrack/protocol';
import type {EntryServices, Metrics, TimerService} from '../contracts.js';
import {counterNames} from '../metrics/metric-names.js';
import type {MonitoredStore} from '../store/monitored-store.js';

const periodMs = 60_000;
/** One day of summaries with one part each; a longer outage of the object API loses the oldest ones. */
const pendingSummaryLimit = 1440;

/** Dependencies of the summary task. */
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
	readonly #pendingSummaries: MinuteSummary[] = [];
	#unsubscribe: (() => void) | undefined;
	#sequence = 0;
	#periodStartedAt = Date.now();
	#lastWrite: Promise<void> = Promise.resolve();

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

	/** Closes the current period and writes its summary as the last one. */
	async stop(): Promise<void> {
		this.#unsubscribe?.();
		await this.#closePeriod(true);
	}

	async #closePeriod(isLast: boolean): Promise<void> {
		const {entryId, epoch} = this.#options;
		const to = Date.now();
		const summary = this.#collector.close({
			entryId, epoch, sequence: this.#sequence++, from: this.#periodStartedAt, to, isLast,
		});
		this.#pendingSummaries.push(...splitSummary(summary, objectValueLimitBytes));
		this.#periodStartedAt = to;
		this.#pendingSummaries.splice(0, Math.max(this.#pendingSummaries.length - pendingSummaryLimit, 0));
		const former = this.#lastWrite;
		this.#lastWrite = this.#writePendingSummaries(former);
		await this.#lastWrite;
	}

	/** Writes pending summaries in order; after a failed write, the rest waits for the next period. */
	async #writePendingSummaries(former: Promise<void>): Promise<void> {
		await former;
		for (let summary = this.#pendingSummaries[0]; summary; summary = this.#pendingSummaries[0]) {
			const result = await this.#options.store.put(buildSummaryKey(summary), summary);
			// A write whose answer was lost is repeated under the same key, so that the summary is counted once.
			this.#options.metrics.count(result.ok ? counterNames.summaryWritten : counterNames.summaryWriteFailed);
			if (!result.ok) {
				return;
			}

			// The limit may have removed the summary while it was being written.
			if (this.#pendingSummaries[0] === summary) {
				this.#pendingSummaries.shift();
			}
		}
	}
}
