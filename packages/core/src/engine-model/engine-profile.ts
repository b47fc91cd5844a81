/** Published speed and memory of the model engines of a service. */
export type EngineProfile = {
	/** Requests that run at the same time. */
	slots: number;
	/** Capacity of the KV cache, in tokens. */
	memoryTokens: number;
	/** Duration of one decode step, in ms. */
	stepMs: number;
	/** Addition to a step for each request that decodes, in ms. */
	stepMsPerSequence: number;
	/** Addition to a step for each 1,000 tokens of context of the requests that decode, in ms. */
	stepMsPerThousandTokens: number;
	/** Prompt tokens prefilled per ms, without the time for attention. */
	prefillTokensPerMs: number;
	/** Attention time for a million pairs of a prompt token and an earlier token, in ms. */
	attentionMsPerMillionPairs: number;
	/** Most prompt tokens prefilled in one chunk. */
	chunkTokens: number;
	/** Decode steps in one pass. */
	stepsPerPass: number;
	/** Addition to a step of a request whose prompt is spread over several engines, in ms. */
	hopMs: number;
	/** Mean prompt length in tokens. */
	meanPromptTokens: number;
	/** Mean length of an answer in tokens. */
	meanAnswerTokens: number;
};
