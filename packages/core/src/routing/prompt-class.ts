/** Number of uncached prefill tokens from which a prompt is confined to the servers of the long prompt pool. */
export const longPromptTokens = 32_768;

/** Class of a prompt: floor(log2(uncached prefill tokens)). */
export const computePromptClass = (prefillTokens: number): number => prefillTokens < 1 ? 0 : Math.floor(Math.log2(prefillTokens));

/** True when a prompt is confined to the long prompt pool. */
export const isLongPrompt = (prefillTokens: number): boolean => prefillTokens >= longPromptTokens;
