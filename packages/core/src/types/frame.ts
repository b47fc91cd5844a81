/** One frame of a streamed answer from a backend server. */
export type Frame = {
	requestId: string;
	attemptId: string;
	/** Sequence number; starts at 0 and increases by 1 with each frame. */
	seq: number;
	text: string;
	/** Present in the last frame only. */
	last?: FrameSummary | undefined;
};

/** Totals in the last frame, to verify that the answer is complete and intact. */
export type FrameSummary = {
	/** Number of frames including the last one. */
	frames: number;
	promptTokens: number;
	completionTokens: number;
	/** XXH64 hash in hex over the concatenated text of all frames. */
	checksum: string;
};
