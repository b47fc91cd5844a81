import type {Result} from '@knapweedrack/core';
import type {ObjectStore, StoreFailure} from '@knapweedrack/platform-client';
import type {TimerService} from '../contracts.js';

/**
 * Time after an answer for which the object API counts as reachable. Other entries must learn of an outage before sessions
 * expire, which can happen 4 s after the outage starts: an owner stops when its session expires while a peer still reports
 * the object API as reachable.
 */
const reachableAfterAnswerMs = 2200;
/** Time after an answer for which the object API counts as reachable once a call has failed; one failure alone is not an outage. */
const reachableAfterFailureMs = 1000;

/** Object store that tracks whether it is reachable. */
export type MonitoredStore = ObjectStore & {
	/** True when a call was answered recently. */
	isReachable: () => boolean;
};

const outageKinds = new Set<StoreFailure['kind']>(['unavailable', 'unknown', 'rate_limited']);

/** Wraps an object store; an error about the object itself, such as a version mismatch, counts as an answer. */
export const createMonitoredStore = (store: ObjectStore, timer: TimerService): MonitoredStore => {
	let answeredAt = Number.NEGATIVE_INFINITY;
	let hasFailed = false;
	const record = async <Value>(call: Promise<Result<Value, StoreFailure>>): Promise<Result<Value, StoreFailure>> => {
		const result = await call;
		if (result.ok || !outageKinds.has(result.error.kind)) {
			answeredAt = timer.now();
			hasFailed = false;
		} else {
			hasFailed = true;
		}

		return result;
	};

	return {
		get: async (...args) => record(store.get(...args)),
		list: async (...args) => record(store.list(...args)),
		put: async (...args) => record(store.put(...args)),
		delete: async (...args) => record(store.delete(...args)),
		watch: async (...args) => record(store.watch(...args)),
		isReachable: () => timer.now() - answeredAt <= (hasFailed ? reachableAfterFailureMs : reachableAfterAnswerMs),
	};
};
