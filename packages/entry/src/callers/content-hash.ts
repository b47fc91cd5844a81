import {Buffer} from 'node:buffer';
import xxhash from 'xxhash-wasm';

const hashes = await xxhash();

/** Tokens of one prefix block. */
export const blockTokens = 1024;
const blockBytes = blockTokens * 4;

const formatHash = (hash: bigint) => hash.toString(16).padStart(16, '0');

/** Creates an incremental xxhash64 over text. */
export const createTextHash = () => hashes.create64();

/** Fingerprint of a request's content for the quarantine: xxhash64 in hex over model and prompt. */
export const hashFingerprint = (model: string, prompt: string) => formatHash(hashes.create64().update(`${model}\0`).update(prompt).digest());

/** Hashes of the full prefix blocks of a prompt; the hash of block n covers the bytes of blocks 0 to n. */
export const hashPrefixBlocks = (prompt: string): string[] => {
	const bytes = Buffer.from(prompt);
	const hash = hashes.create64();
	const blocks: string[] = [];
	for (let end = blockBytes; end <= bytes.length; end += blockBytes) {
		hash.update(bytes.subarray(end - blockBytes, end));
		blocks.push(formatHash(hash.digest()));
	}

	return blocks;
};
