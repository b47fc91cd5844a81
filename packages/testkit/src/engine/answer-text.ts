import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {hashText} from './hashes.js';

const stopPattern = /\[stop-after:(\d{1,6})\]/v;
const wordMask = 0xF_FF;
const wordLength = 3;

/** Generates the text of one answer from the digest of its prompt, so that a test can tell which prompt an answer belongs to. */
export class AnswerText {
	readonly #digest: string;
	readonly #random: ReturnType<typeof xoroshiro128plus>;
	#count = 0;

	constructor(digest: string) {
		this.#digest = digest;
		this.#random = xoroshiro128plus(Number.parseInt(digest.slice(0, 8), 16));
	}

	/** Text of the next token: the digest first, then words of three hex digits. */
	createTokenText(): string {
		this.#count += 1;
		if (this.#count === 1) {
			return `${this.#digest} `;
		}

		// eslint-disable-next-line no-bitwise
		const word = this.#random.next() & wordMask;
		return `${word.toString(16).padStart(wordLength, '0')} `;
	}
}

/** Computes the digest of a prompt, which is the first word of the answer. */
export const computePromptDigest = (prompt: string): string => hashText(prompt);

/** Computes the digest of a prompt that was split into segments, from the digests of the segments in order. */
export const computeSegmentedDigest = (digests: readonly string[]): string => digests.length === 1 ? digests[0]! : hashText(digests.join(''));

/** Computes the number of tokens generated for a prompt: `maxTokens`, or N when the prompt contains `[stop-after:N]` and N is lower. */
export const computeAnswerTokens = (prompt: string, maxTokens: number): number => {
	const stop = stopPattern.exec(prompt)?.[1];
	return stop === undefined ? maxTokens : Math.max(1, Math.min(maxTokens, Number(stop)));
};

/** Renders the complete answer to a prompt, or to the segments of a prompt spread over several engines. */
export const renderAnswer = (prompt: string | readonly string[], maxTokens: number): string => {
	const segments = typeof prompt === 'string' ? [prompt] : prompt;
	const answer = new AnswerText(computeSegmentedDigest(segments.map(segment => computePromptDigest(segment))));
	const count = computeAnswerTokens(segments.at(-1) ?? '', maxTokens);
	return Array.from({length: count}, () => answer.createTokenText()).join('');
};
