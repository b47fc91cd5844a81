import {Buffer} from 'node:buffer';
import createHashes from 'xxhash-wasm';

const hashes = await createHashes();
const digestLength = 16;

/** Bytes of one prefix block of 1,024 tokens. */
export const prefixBlockBytes = 4096;
/** Tokens of one prefix block. */
export const prefixBlockTokens = 1024;

/** Hashes a text with xxHash64; returns 16 hex digits. */
export const hashText = (text: string): string => hashes.h64ToString(text).padStart(digestLength, '0');

/** Creates an xxHash64 over a text that arrives in parts; `digest` returns 16 hex digits. */
export const createTextHash = (): {update: (text: string) => void; digest: () => string} => {
	const hash = hashes.create64();
	return {
		update(text) {
			hash.update(text);
		},
		digest: () => formatDigest(hash.digest()),
	};
};

/** Hashes the full prefix blocks of a prompt. Hash n covers the bytes of blocks 0 to n, so that equal hashes mean equal prefixes. */
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
