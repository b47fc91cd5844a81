import {StatsD} from 'hot-shots';
import createDebug from 'debug';
import {parseAddress} from '@knapweedrack/protocol';
import type {Metrics} from '../contracts.js';

const debug = createDebug('knapweedrack:metrics');

const namePrefix = 'knapweedrack.';
/** Largest datagram that is not fragmented on an Ethernet path. */
const datagramBytes = 1432;
const flushIntervalMs = 1000;

/** Metrics of the process with the totals since its start. */
export type ProcessMetrics = Metrics & {
	/** Totals by counter name, for `status`. */
	getTotals: () => Record<string, number>;
	close: () => Promise<void>;
};

/** Creates the metrics; they are sent over UDP to `address` (`host:port`); without an address, only totals are kept. */
export const createMetrics = (address: string | undefined, entryId: string): ProcessMetrics => {
	const totals = new Map<string, number>();
	const client = address === undefined ? undefined : createClient(address, entryId);
	const count = (name: string, value = 1) => {
		totals.set(name, (totals.get(name) ?? 0) + value);
		client?.increment(name, value);
	};

	return {
		count,
		countRefusal(reason) {
			count(`refusal.${reason}`);
		},
		countRetry(reason) {
			count(`retry.${reason}`);
		},
		recordDuration(name, durationMs) {
			client?.timing(name, durationMs);
		},
		getTotals: () => Object.fromEntries(totals),
		close: async () => new Promise(resolve => {
			if (!client) {
				resolve();
				return;
			}

			client.close(() => {
				resolve();
			});
		}),
	};
};

const createClient = (address: string, entryId: string): StatsD => {
	const target = parseAddress(address);
	return new StatsD({
		...target,
		prefix: namePrefix,
		globalTags: {entry: entryId},
		maxBufferSize: datagramBytes,
		bufferFlushInterval: flushIntervalMs,
		errorHandler(error) {
			debug('metrics were not sent: %s', error.message);
		},
	});
};
