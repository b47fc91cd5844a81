/** Kinds of calls that count against the platform's rate limits. */
export const callKinds = {
	get: 'get',
	list: 'list',
	put: 'put',
	delete: 'delete',
	watch: 'watch',
	instances: 'instances',
	transfer: 'transfer',
} as const;
/** Value of `callKinds`, used as the key of the counters. */
export type CallKind = (typeof callKinds)[keyof typeof callKinds];

/** Calls and failures since the start of the process, by kind; each retry counts as a call. */
export class CallCounters {
	readonly calls = createCounts();
	readonly failures = createCounts();

	/** Counts a call just before it is sent. */
	recordCall(kind: CallKind): void {
		this.calls[kind]++;
	}

	/** Counts a call that got no usable answer, or that the platform refused because of an outage or its rate limit. */
	recordFailure(kind: CallKind): void {
		this.failures[kind]++;
	}
}

const createCounts = (): Record<CallKind, number> => ({
	get: 0, list: 0, put: 0, delete: 0, watch: 0, instances: 0, transfer: 0,
});
