/** Time without an answer of a server after which the rate is divided over twice as many entries, in ms. */
const doublingIntervalMs = 10_000;

/** A rate over all entries, and the place of this entry among them. */
export type SharedRate = {
	requestsPerSecond: number;
	entries: number;
	/** Position of this entry in the order in which entries get a share, from 0; the order differs between servers. */
	rank: number;
	/** Time since any entry had an answer of the server, in ms. */
	answerAgeMs: number;
};

/**
 * Computes this entry's share of a rate, in requests per second; 0 for most entries when the rate is small. Only as many entries have a
 * share as the rate has whole requests per second, since an even share of a small rate would let all entries send at the same moment, or
 * none. When no answer has come for long, more entries get one, because those that have it may not reach the server or get no requests.
 */
export const computeRateShare = ({requestsPerSecond, entries, rank, answerAgeMs}: SharedRate): number => {
	const holders = Math.max(1, Math.floor(requestsPerSecond)) * (2 ** Math.floor(answerAgeMs / doublingIntervalMs));
	const count = Math.max(1, Math.min(entries, holders));
	return rank < count ? requestsPerSecond / count : 0;
};
