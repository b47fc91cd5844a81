import {Buffer} from 'node:buffer';
import createHashes from 'xxhash-wasm';

const hashes = await createHashes();
const digestLength = 16;

/** Bytes of one prefix block of 1,024 tokens. */
export const prefixBlockBytes = 4096;
/** Tokens of one prefix block. */
export const prefixBlockTokens = 1024;

/** Xxhash64 in hex. */
export const hashText = (text: string): string => hashes.h64ToString(text).padStart(digestLength, '0');

/** Running xxhash64 over texts that arrive in parts. */
export const createTextHash = (): {update: (text: string) => void; digest: () => string} => {
	const hash = hashes.create64();
	return {
		update(text) {
			hash.update(text);
		},
		digest: () => formatDigest(hash.digest()),
	};
};

/** Hashes of the full prefix blocks of a prompt; hash n covers the bytes of blocks 0 to n. */
export const hashPrefixBlocks = (prompt: string): string[] => {
	const bytes = Buffer.from(prompt);
	const hash = hashes.create64();
	const blocks: string[] = [];
	for (let end = prefixBlockBytes; end <= bytes.length; end += prefixBlockBytes) {
		hash.update(bytes.subarray(end - prefixBlockBytes, end));
		blocks.push(formatDigest(hash.digest()));
	}

	return blocks;
};

const formatDigest = (digest: bigint): string => digest.toString(16).padStart(digestLength, '0');
