import type {EngineChunk} from '@knapweedrack/protocol';
import type {AnswerText} from './answer-text.js';
import type {EngineWork} from './engine-model.js';
import type {FrameStream} from './frame-stream.js';
import {createTextHash} from './hashes.js';

/** Work in progress with the generator of its answer and the stream that carries the answer. */
export type GenerateStream = {
	work: EngineWork;
	/** Tokens of the whole prompt, including the segments imported from other engines. */
	promptTokens: number;
	answer: AnswerText;
	stream: FrameStream;
};

type OpenStream = GenerateStream & {checksum: ReturnType<typeof createTextHash>};

/** Open answer streams of one engine by attempt id. */
export class GenerateStreams {
	readonly #openStreams = new Map<string, OpenStream>();
	/** Latest frame of each of the last requests, newest last; `framesCrossed` sends them in streams of other requests. */
	#recentChunks: EngineChunk[] = [];

	add(stream: GenerateStream): void {
		this.#openStreams.set(stream.work.attemptId, {...stream, checksum: createTextHash()});
	}

	/** Sends the next token of an attempt as one frame; does nothing when the attempt has no open stream. */
	sendToken(work: EngineWork, index: number, now: number): void {
		const openStream = this.#openStreams.get(work.attemptId);
		if (!openStream) {
			return;
		}

		const chunk = createChunk(openStream, index);
		const otherChunk = this.#recentChunks.find(({knapweedrack}) => knapweedrack.requestId !== work.requestId);
		openStream.stream.send(chunk, otherChunk, now);
		this.#recentChunks = [...this.#recentChunks.filter(({knapweedrack}) => knapweedrack.requestId !== work.requestId), chunk].slice(-recentChunkLimit);
	}

	remove(attemptId: string): void {
		this.#openStreams.delete(attemptId);
	}

	/** Ends the stream of work that was cancelled or expired, without its last frame. */
	closeIncomplete(attemptId: string, now: number): void {
		this.#openStreams.get(attemptId)?.stream.closeIncomplete(now);
		this.#openStreams.delete(attemptId);
	}

	/** Closes the connections of all streams without ending the answers. */
	closeAll(): void {
		for (const {stream} of this.#openStreams.values()) {
			stream.close('cut');
		}

		this.#openStreams.clear();
	}
}

/** Number of requests whose latest frame is kept. Of two requests, at most one is the sender, so the other can supply a frame of another request. */
const recentChunkLimit = 2;

const createChunk = ({work, promptTokens, answer, checksum}: OpenStream, index: number): EngineChunk => {
	const text = answer.createTokenText();
	checksum.update(text);
	const frames = index + 1;
	const ids = {requestId: work.requestId, attemptId: work.attemptId, seq: index};
	if (frames < work.answerTokens) {
		return {text, finishReason: null, knapweedrack: ids};
	}

	return {
		text,
		finishReason: work.answerTokens === work.maxTokens ? 'length' : 'stop',
		knapweedrack: {
			...ids,
			last: {
				frames, promptTokens, completionTokens: frames, checksum: checksum.digest(),
			},
		},
	};
};
