import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {prefixBlockTokens} from '../engine/hashes.js';
import {computeCapacity, type SimulatedDeployment, type SimulatedWorkspace} from './simulated-deployment.js';

/** One request of a trace. `at` is its sending time in ms since the start of the trace; `firstTokenMs` and `deadlineMs` are relative to `at`. */
export type TraceRequest = {
	id: string;
	at: number;
	workspace: SimulatedWorkspace;
	/** Random number from 0 to 1 that selects one of the usable entries. */
	entryDraw: number;
	promptTokens: number;
	maxTokens: number;
	/** Tokens that the engine generates, at most `maxTokens`. */
	answerTokens: number;
	firstTokenMs: number;
	deadlineMs: number;
	/** Ids of the prompt's full prefix blocks; prompts with a common prefix have the same ids. */
	blocks: string[];
};

/** Range of prompt lengths with a common first-token target and deadline. */
export type PromptLengthClass = {
	name: string;
	/** Bounds in tokens, from inclusive and to exclusive. */
	from: number;
	to: number;
	/** Requests out of 100. */
	share: number;
	firstTokenMs: number;
	deadlineMs: number;
};

/** Length classes of the load, shortest first; the last class has 1 in 50 prompts. */
export const promptLengthClasses: readonly PromptLengthClass[] = [
	{
		name: 'short (under 4k)', from: 500, to: 4000, share: 70, firstTokenMs: 600, deadlineMs: 15_000,
	},
	{
		name: '4k to 32k', from: 4000, to: 32_000, share: 20, firstTokenMs: 10_000, deadlineMs: 60_000,
	},
	{
		name: '32k to 100k', from: 32_000, to: 100_000, share: 8, firstTokenMs: 10_000, deadlineMs: 60_000,
	},
	{
		name: 'long (over 100k)', from: 100_000, to: 1_000_000, share: 2, firstTokenMs: 120_000, deadlineMs: 300_000,
	},
];

/** Minimum tokens of a long prompt. */
export const longFromTokens = 100_000;

/** Finds the index of a prompt's length class; the first class also takes prompts below its lower bound. */
export const findLengthClass = (promptTokens: number): number =>
	Math.max(0, promptLengthClasses.findLastIndex(({from}) => promptTokens >= from));

/** Parameters of a generated load. */
export type LoadOptions = {
	deployment: SimulatedDeployment;
	seed: number;
	/** Offered prefill tokens, not counting repeated prefixes, as a share of the capacity. */
	load: number;
	durationMs: number;
	/** Number of short requests in one burst; all are from one workspace. */
	burstSize: number;
	/** Probability that a request starts a burst. */
	burstRate: number;
};

/** Size and rate of the bursts in the mixed load. */
export const mixedBursts = {burstSize: 20, burstRate: 0.004} as const;
const burstDurationMs = 500;
const repeatedPromptShare = 0.5;
const prefixesPerWorkspace = 4;
const maxSharedTokens = 65_536;
const sharedTokenShare = 0.7;
const maxAnswerTokens = 128;
const minAnswerTokens = 16;

/** Generates the requests of one seed. A higher load takes more requests of the same sequence and compresses them into the same duration. */
class LoadGenerator {
	readonly #random;
	#sequence = 0;

	constructor(private readonly options: LoadOptions) {
		this.#random = xoroshiro128plus(options.seed);
	}

	/** Creates the requests, sorted by sending time. */
	createRequests(): TraceRequest[] {
		const {deployment, load, durationMs, burstRate, burstSize} = this.options;
		const budget = load * computeCapacity(deployment) * durationMs / 1000;
		const requests: TraceRequest[] = [];
		let offered = 0;
		let at = 0;
		const bursts: Array<{start: number; end: number}> = [];
		while (offered < budget) {
			at -= Math.log(1 - this.#getRandom());
			const request = this.#createRequest(at, this.#selectClass(), this.#selectWorkspace());
			requests.push(request);
			offered += countUniqueTokens(request);
			if (this.#getRandom() < burstRate) {
				const start = requests.length;
				for (let index = 0; index < burstSize; index++) {
					const short = this.#createRequest(at, promptLengthClasses[0]!, request.workspace);
					requests.push(short);
					offered += countUniqueTokens(short);
				}

				bursts.push({start, end: requests.length});
			}
		}

		this.#setArrivalTimes(requests, bursts, durationMs / at);
		return requests.toSorted((left, right) => left.at - right.at);
	}

	#setArrivalTimes(requests: TraceRequest[], bursts: ReadonlyArray<{start: number; end: number}>, scale: number): void {
		for (const request of requests) {
			request.at *= scale;
		}

		for (const {start, end} of bursts) {
			for (const [index, request] of requests.slice(start, end).entries()) {
				request.at += index * burstDurationMs / (end - start);
			}
		}
	}

	#getRandom(): number {
		return uniformFloat64(this.#random);
	}

	#selectClass(): PromptLengthClass {
		return this.#selectByShare(promptLengthClasses, ({share}) => share);
	}

	#selectWorkspace(): SimulatedWorkspace {
		return this.#selectByShare(this.options.deployment.workspaces, ({demand}) => demand);
	}

	#selectByShare<Item>(items: readonly Item[], getShare: (item: Item) => number): Item {
		let remainingShare = this.#getRandom() * items.reduce((sum, item) => sum + getShare(item), 0);
		for (const item of items) {
			remainingShare -= getShare(item);
			if (remainingShare < 0) {
				return item;
			}
		}

		return items[0]!;
	}

	#createRequest(at: number, {from, to, firstTokenMs, deadlineMs}: PromptLengthClass, workspace: SimulatedWorkspace): TraceRequest {
		const id = `r${++this.#sequence}`;
		// Prompt lengths have a log-uniform distribution.
		const promptTokens = Math.floor(from * ((to / from) ** this.#getRandom()));
		const isRepeated = this.#getRandom() < repeatedPromptShare;
		const prefix = Math.floor(this.#getRandom() * prefixesPerWorkspace);
		const sharedTokens = isRepeated ? Math.min(maxSharedTokens, promptTokens * sharedTokenShare) : 0;
		const sharedBlocks = Math.floor(sharedTokens / prefixBlockTokens);
		return {
			id,
			at,
			workspace,
			entryDraw: this.#getRandom(),
			promptTokens,
			maxTokens: maxAnswerTokens,
			answerTokens: minAnswerTokens + Math.floor(this.#getRandom() * (maxAnswerTokens - minAnswerTokens)),
			firstTokenMs,
			deadlineMs,
			blocks: Array.from({length: Math.floor(promptTokens / prefixBlockTokens)}, (_, index) => index < sharedBlocks
				? `${sharedBlockPrefix}${workspace.id}.${prefix}:${index}`
				: `${id}:${index}`),
		};
	}
}

const sharedBlockPrefix = 'shared.';

/** Counts the prompt tokens that are not part of a repeated prefix. */
export const countUniqueTokens = ({promptTokens, blocks}: TraceRequest): number => {
	const firstUnique = blocks.findIndex(block => !block.startsWith(sharedBlockPrefix));
	return promptTokens - ((firstUnique === -1 ? blocks.length : firstUnique) * prefixBlockTokens);
};

/** Generates a load; the same options give the same requests. */
export const createLoadTrace = (options: LoadOptions): TraceRequest[] => new LoadGenerator(options).createRequests();

/** Removes the long prompts and keeps all other requests unchanged. */
export const removeLongPrompts = (trace: readonly TraceRequest[]): TraceRequest[] =>
	trace.filter(({promptTokens}) => promptTokens < longFromTokens);
