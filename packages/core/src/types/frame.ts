/** One frame of an answer from a backend server. */
export type Frame = {
	requestId: string;
	attemptId: string;
	/** Starts at 0 and rises by 1. */
	seq: number;
	text: string;
	/** Present in the last frame only. */
	last?: FrameSummary | undefined;
};

/** Totals carried by the last frame. */
export type FrameSummary = {
	/** Number of frames including the last one. */
	frames: number;
	promptTokens: number;
	completionTokens: number;
	/** Xxhash64 in hex over the concatenated text of all frames. */
	checksum: string;
};
