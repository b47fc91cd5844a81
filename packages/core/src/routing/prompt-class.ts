/** Prompts from this many uncached prefill tokens on are confined to the servers of the long prompt pool. */
export const longPromptTokens = 32_768;

/** Class of a prompt: floor(log2(uncached prefill tokens)). */
export const computePromptClass = (prefillTokens: number): number => prefillTokens < 1 ? 0 : Math.floor(Math.log2(prefillTokens));

/** True when a prompt counts as long. */
export const isLongPrompt = (prefillTokens: number): boolean => prefillTokens >= longPromptTokens;
