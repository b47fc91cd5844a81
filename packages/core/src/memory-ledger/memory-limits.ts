import {type MemoryKind} from './memory-account.js';

/** Bytes that a process may hold for others. */
export type MemoryLimits = {
	/** Most bytes of all kinds together. */
	budgetBytes: number;
	/** Most bytes of each kind. */
	kindBytes: Readonly<Record<MemoryKind, number>>;
	/** Most bytes of each kind that one workspace may hold. */
	workspaceBytes: Readonly<Record<MemoryKind, number>>;
};

/** Memory that the program needs without callers, in bytes. */
const programBytes = 110_000_000;
/** Share of the memory of the instance left for garbage that is not collected yet, for the allocator and for the system. */
const marginShare = 0.25;
/** Smallest budget in bytes; an instance below it is too small for the program itself. */
const leastBudgetBytes = 16_000_000;
/** Shares of the budget; they add up to 1, so that one kind that is full never takes room from another. */
const kindShares: Readonly<Record<MemoryKind, number>> = {
	head: 0.3, body: 0.3, answer: 0.2, held: 0.12, tunnel: 0.08,
};
/** Share of a kind that one workspace may hold, so that a crowd of one workspace leaves room for the others. */
const workspaceShare = 0.75;

/** Computes the limits from the memory of the instance in bytes. */
export const computeMemoryLimits = (memoryBytes: number): MemoryLimits => {
	const budgetBytes = Math.max(leastBudgetBytes, Math.floor((memoryBytes * (1 - marginShare)) - programBytes));
	return {
		budgetBytes,
		kindBytes: computeShares(budgetBytes),
		workspaceBytes: computeShares(budgetBytes * workspaceShare),
	};
};

const computeShares = (bytes: number): Record<MemoryKind, number> => ({
	head: Math.floor(bytes * kindShares.head),
	body: Math.floor(bytes * kindShares.body),
	answer: Math.floor(bytes * kindShares.answer),
	held: Math.floor(bytes * kindShares.held),
	tunnel: Math.floor(bytes * kindShares.tunnel),
});
