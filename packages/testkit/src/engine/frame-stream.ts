import {setTimeout} from 'node:timers';
import type {ServerResponse} from 'node:http';
import type {EngineChunk} from '@knapweedrack/protocol';
import type {FrameFault} from './engine-faults.js';

/** Frame that `framesCrossed` sends when the engine has sent no frame of another request yet. */
const unknownChunk: EngineChunk = {
	text: 'unknown ',
	finishReason: null,
	knapweedrack: {requestId: 'unknown-request', attemptId: 'unknown-attempt', seq: 0},
};

/** Effect of a fault on one frame: `chunks` are sent in its place, `end` closes the stream after them, and `held` is sent after the next frame. */
type FaultEffect = {chunks: EngineChunk[]; end?: 'end' | 'cut' | 'done'; held?: EngineChunk};

type FaultContext<Fault> = {fault: Fault; chunk: EngineChunk; otherChunk: EngineChunk; held: EngineChunk | undefined};

type FaultHandlers = {[Kind in FrameFault['kind']]: (context: FaultContext<Extract<FrameFault, {kind: Kind}>>) => FaultEffect};

const isAffected = ({fault, chunk}: {fault: FrameFault; chunk: EngineChunk}): boolean => chunk.knapweedrack.seq === fault.frame;

const applyReordering = ({fault, chunk, held}: FaultContext<FrameFault>): FaultEffect => {
	if (held) {
		return {chunks: [chunk, held]};
	}

	return isAffected({fault, chunk}) && !chunk.knapweedrack.last ? {chunks: [], held: chunk} : {chunks: [chunk]};
};

const applyCrossing = ({fault, chunk, otherChunk}: FaultContext<Extract<FrameFault, {kind: 'framesCrossed'}>>): FaultEffect => {
	if (!isAffected({fault, chunk})) {
		return {chunks: [chunk]};
	}

	return {chunks: [fault.mode === 'ids' ? otherChunk : {...chunk, text: otherChunk.text}]};
};

const faultHandlers: FaultHandlers = {
	framesLate: ({chunk}) => ({chunks: [chunk]}),
	framesCrossed: applyCrossing,
	framesDuplicated: context => ({chunks: isAffected(context) ? [context.chunk, context.chunk] : [context.chunk]}),
	framesDropped: context => ({chunks: isAffected(context) ? [] : [context.chunk]}),
	framesReordered: applyReordering,
	framesTruncated: context => isAffected(context) ? {chunks: [], end: context.fault.mode} : {chunks: [context.chunk]},
};

/** Writes the answer of one attempt as server-sent events and applies at most one fault to the frames. */
export class FrameStream {
	readonly #response: ServerResponse;
	readonly #fault: FrameFault | undefined;
	#held: EngineChunk | undefined;
	#isEnded = false;
	#dueAt = 0;

	constructor(response: ServerResponse, fault: FrameFault | undefined) {
		this.#response = response;
		this.#fault = fault;
	}

	/** Sends a frame; `otherChunk` is a frame of another request, which `framesCrossed` sends instead. */
	send(chunk: EngineChunk, otherChunk: EngineChunk | undefined, now: number): void {
		const effect = this.#applyFault(chunk, otherChunk ?? unknownChunk);
		this.#held = effect.held;
		const text = effect.chunks.map(sent => formatEvent(JSON.stringify(sent))).join('');
		this.#schedule(chunk, now, () => {
			this.#response.write(text);
			if (effect.end) {
				this.close(effect.end);
			} else if (chunk.knapweedrack.last) {
				this.close('done');
			}
		});
	}

	/** Ends the stream without `[DONE]`, after the frames that a fault has delayed. */
	closeIncomplete(now: number): void {
		this.#run(Math.max(0, this.#dueAt - now), () => {
			this.close('end');
		});
	}

	close(mode: 'end' | 'cut' | 'done'): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		if (mode === 'cut') {
			this.#response.destroy();
			return;
		}

		this.#response.end(mode === 'done' ? formatEvent('[DONE]') : undefined);
	}

	#applyFault(chunk: EngineChunk, otherChunk: EngineChunk): FaultEffect {
		const fault = this.#fault;
		if (!fault) {
			return {chunks: [chunk]};
		}

		const handler = faultHandlers[fault.kind] as (context: FaultContext<FrameFault>) => FaultEffect;
		return handler({
			fault, chunk, otherChunk, held: this.#held,
		});
	}

	#schedule(chunk: EngineChunk, now: number, send: () => void): void {
		const isLate = this.#fault?.kind === 'framesLate' && chunk.knapweedrack.seq >= this.#fault.frame;
		const delayMs = isLate ? this.#fault.delayMs : 0;
		this.#dueAt = Math.max(this.#dueAt, now + delayMs);
		this.#run(delayMs, () => {
			if (!this.#isEnded) {
				send();
			}
		});
	}

	#run(delayMs: number, action: () => void): void {
		if (delayMs <= 0) {
			action();
			return;
		}

		setTimeout(action, delayMs).unref();
	}
}

const formatEvent = (data: string): string => `data: ${data}\n\n`;
