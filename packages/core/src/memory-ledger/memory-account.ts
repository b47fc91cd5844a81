/** What memory is held for: heads and waiting requests, bodies, answers that were not taken, buffered answers, or bytes between entries. */
export const memoryKinds = {
	head: 'head', body: 'body', answer: 'answer', held: 'held', tunnel: 'tunnel',
} as const;
/** One of `memoryKinds`. */
export type MemoryKind = (typeof memoryKinds)[keyof typeof memoryKinds];

/** Who holds memory; a workspace that is not known is undefined, and all unknown callers share one account. */
export type MemoryAccount = {kind: MemoryKind; workspace: string | undefined};

/** Memory held for one request, connection or answer, in bytes. */
export type MemoryHold = {
	readonly bytes: number;
	/** Adds bytes; false, without any change, when the budget, the share of the kind or that of the workspace has no room. */
	tryAdd: (bytes: number) => boolean;
	/** Returns bytes, at most those that are held. */
	remove: (bytes: number) => void;
	/** Returns all bytes; later calls do nothing. */
	release: () => void;
};
