import {Buffer} from 'node:buffer';

/** First block of a body without a stated length, in bytes. */
const firstBlockBytes = 1024;
/** Largest block, in bytes. */
const largestBlockBytes = 64 * 1024;

/**
 * Body that is copied into blocks of its own. A chunk as read from a connection is an object that costs some hundred bytes, so
 * that a body in chunks of one byte would cost a multiple of its length; in blocks, it costs at most twice its length and one first block.
 */
export class BodyBuffer {
	readonly #blocks: Buffer[] = [];
	/** Bytes used of the last block. */
	#used = 0;
	#length = 0;
	#capacity = 0;

	/** `statedBytes` is the announced length; undefined for a chunked body. */
	constructor(private readonly statedBytes: number | undefined) {}

	/** Bytes added. */
	get length(): number {
		return this.#length;
	}

	/** Returns the size of the blocks that must be allocated before `bytes` are added. */
	computeNeeded(bytes: number): number {
		const free = this.#capacity - this.#length;
		if (bytes <= free) {
			return 0;
		}

		const least = bytes - free;
		const grown = Math.min(Math.max(this.#capacity, firstBlockBytes), largestBlockBytes);
		const left = this.statedBytes === undefined ? grown : Math.min(grown, this.statedBytes - this.#capacity);
		return Math.max(least, left);
	}

	/** Adds a part; `needed` is the result of `computeNeeded` for its length. */
	add(part: Buffer, needed: number): void {
		let copied = 0;
		const last = this.#blocks.at(-1);
		if (last !== undefined) {
			copied = part.copy(last, this.#used);
			this.#used += copied;
		}

		if (needed > 0) {
			// Blocks of the shared pool would keep a whole slab alive for a small body.
			const block = Buffer.allocUnsafeSlow(needed);
			this.#capacity += needed;
			this.#used = part.copy(block, 0, copied);
			this.#blocks.push(block);
		}

		this.#length += part.length;
	}

	/** Returns the whole body in one buffer of its length. */
	toBuffer(): Buffer {
		const [first] = this.#blocks;
		return this.#blocks.length === 1 && first!.length === this.#length ? first! : Buffer.concat(this.#blocks, this.#length);
	}
}
