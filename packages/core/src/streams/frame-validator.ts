import type {Frame} from '../types/frame.js';

/** Incremental 64-bit hash of UTF-8 text, for example `create64()` of xxhash-wasm. */
export type TextHash = {
	update: (text: string) => unknown;
	digest: () => bigint;
};

/** Reasons to drop a frame and continue the stream. */
export const discardReasons = {
	otherRequest: 'other_request',
	otherAttempt: 'other_attempt',
	duplicate: 'duplicate',
	afterEnd: 'after_end',
} as const;
/** Reason in a `discard` decision. */
export type DiscardReason = (typeof discardReasons)[keyof typeof discardReasons];

/** Reasons for which a stream can no longer be completed. */
export const corruptionReasons = {
	gap: 'gap',
	frameCount: 'frame_count',
	checksum: 'checksum',
	truncated: 'truncated',
} as const;
/** Reason in a `corrupt` decision, or for a stream that ended early. */
export type CorruptionReason = (typeof corruptionReasons)[keyof typeof corruptionReasons];

/** What to do with a frame. Only the text of `next` and `complete` may be passed on to the caller. */
export type FrameDecision =
	| {type: 'next'; text: string}
	| {type: 'complete'; text: string; promptTokens: number; completionTokens: number; checksum: string}
	| {type: 'discard'; reason: DiscardReason}
	| {type: 'corrupt'; reason: CorruptionReason};

/** Checks that the frames of one attempt arrive complete, in order and without frames of other attempts. */
export class FrameValidator {
	#nextSeq = 0;
	#state: 'open' | 'complete' | 'corrupt' = 'open';
	/** High surrogate at the end of the last frame; the low surrogate arrives with the next frame. */
	#heldSurrogate = '';

	constructor(
		private readonly requestId: string,
		private readonly attemptId: string,
		private readonly hash: TextHash,
	) {}

	get isComplete(): boolean {
		return this.#state === 'complete';
	}

	/** Checks one frame. Discarded frames do not change the state. */
	accept(frame: Frame): FrameDecision {
		const discardReason = this.#findDiscardReason(frame);
		if (discardReason !== undefined) {
			return {type: 'discard', reason: discardReason};
		}

		if (frame.seq !== this.#nextSeq) {
			return this.#setCorrupt(corruptionReasons.gap);
		}

		this.#nextSeq += 1;
		this.#updateHash(frame.text);
		return frame.last === undefined ? {type: 'next', text: frame.text} : this.#acceptLast(frame, frame.last);
	}

	/** Handles the end of the connection. A stream without its verified last frame is truncated. */
	close(): CorruptionReason | undefined {
		if (this.#state === 'open') {
			this.#state = 'corrupt';
			return corruptionReasons.truncated;
		}

		return undefined;
	}

	#findDiscardReason(frame: Frame): DiscardReason | undefined {
		if (frame.requestId !== this.requestId) {
			return discardReasons.otherRequest;
		}

		if (frame.attemptId !== this.attemptId) {
			return discardReasons.otherAttempt;
		}

		if (this.#state !== 'open') {
			return discardReasons.afterEnd;
		}

		return frame.seq < this.#nextSeq ? discardReasons.duplicate : undefined;
	}

	#acceptLast(frame: Frame, last: NonNullable<Frame['last']>): FrameDecision {
		if (last.frames !== this.#nextSeq) {
			return this.#setCorrupt(corruptionReasons.frameCount);
		}

		this.hash.update(this.#heldSurrogate);
		const checksum = this.hash.digest().toString(16).padStart(16, '0');
		if (checksum !== last.checksum) {
			return this.#setCorrupt(corruptionReasons.checksum);
		}

		this.#state = 'complete';
		const {promptTokens, completionTokens} = last;
		return {
			type: 'complete', text: frame.text, promptTokens, completionTokens, checksum,
		};
	}

	#setCorrupt(reason: CorruptionReason): FrameDecision {
		this.#state = 'corrupt';
		return {type: 'corrupt', reason};
	}

	/** Hashes the frames as one text. If a split surrogate pair were hashed in halves, UTF-8 would encode each as a replacement character. */
	#updateHash(text: string): void {
		const joined = this.#heldSurrogate + text;
		const isSplit = /[\uD800-\uDBFF]$/v.test(joined);
		this.#heldSurrogate = isSplit ? joined.slice(-1) : '';
		this.hash.update(isSplit ? joined.slice(0, -1) : joined);
	}
}
