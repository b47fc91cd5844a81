/* eslint-disable no-bitwise -- Mixing of hash bits. */
/** Hash of a text as an unsigned 32-bit number, for example `h32` of xxhash-wasm. */
export type TextHash32 = (text: string) => number;

/** Combines the hashes of a key and a candidate into a rendezvous score (finalizer of MurmurHash3). */
export const computeRendezvousScore = (keyHash: number, candidateHash: number): number => {
	let mixed = keyHash ^ Math.imul(candidateHash, 0x9E_37_79_B1);
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
};

/** A candidate of rendezvous hashing with the hash of its id. */
export type RendezvousCandidate = {id: string; hash: number};

/** Selects the candidate with the highest score for a key; equal scores go to the lower id. */
export const selectRendezvous = <Candidate extends RendezvousCandidate>(keyHash: number, candidates: readonly Candidate[]): Candidate | undefined => {
	let best: Candidate | undefined;
	let bestScore = -1;
	for (const candidate of candidates) {
		const score = computeRendezvousScore(keyHash, candidate.hash);
		if (score > bestScore || (score === bestScore && candidate.id < best!.id)) {
			best = candidate;
			bestScore = score;
		}
	}

	return best;
};
