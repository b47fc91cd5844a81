/** Kinds of calls that the platform counts against its rates. */
export const callKinds = {
	get: 'get',
	list: 'list',
	put: 'put',
	delete: 'delete',
	watch: 'watch',
	instances: 'instances',
	transfer: 'transfer',
} as const;
/** One kind of call. */
export type CallKind = (typeof callKinds)[keyof typeof callKinds];

/** Calls and failures since the start of the process, by kind; each repetition counts as a call. */
export class CallCounters {
	readonly calls = createCounts();
	readonly failures = createCounts();

	/** Adds one call that was sent. */
	recordCall(kind: CallKind): void {
		this.calls[kind]++;
	}

	/** Adds one call that ended without an answer, or with a refusal of the platform itself. */
	recordFailure(kind: CallKind): void {
		this.failures[kind]++;
	}
}

const createCounts = (): Record<CallKind, number> => ({
	get: 0, list: 0, put: 0, delete: 0, watch: 0, instances: 0, transfer: 0,
});
