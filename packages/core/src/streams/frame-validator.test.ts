import {expect} from 'chai';
import fc from 'fast-check';
import xxhash from 'xxhash-wasm';
import type {Frame} from '../types/frame.js';
import {FrameValidator, type TextHash} from './frame-validator.js';

describe('FrameValidator', () => {
	let createHash: () => TextHash;
	let hashText: (text: string) => string;

	before(async () => {
		const api = await xxhash();
		createHash = () => api.create64();
		hashText = text => api.h64ToString(text);
	});

	const buildFrames = (parts: string[], attemptId = 'a'): Frame[] => parts.map((text, seq) => ({
		requestId: 'r', attemptId, seq, text,
		last: seq === parts.length - 1
			? {
				frames: parts.length, promptTokens: 1, completionTokens: 2, checksum: hashText(parts.join('')),
			}
			: undefined,
	}));

	const accept = (frames: Frame[]) => {
		const validator = new FrameValidator('r', 'a', createHash());
		let text = '';
		for (const frame of frames) {
			const decision = validator.accept(frame);
			text += decision.type === 'next' || decision.type === 'complete' ? decision.text : '';
		}

		return {isComplete: validator.isComplete, text, corruption: validator.close()};
	};

	const parts = fc.array(fc.string({unit: 'binary'}), {minLength: 1, maxLength: 8});

	// Guards against an answer that counts as complete but differs from what the engine sent.
	it('completes only with the whole answer of this attempt', () => {
		const fault = fc.record({kind: fc.constantFrom('drop', 'swap', 'repeat', 'change', 'cross', 'late'), at: fc.nat(7)});
		fc.assert(fc.property(parts, fc.array(fault, {maxLength: 3}), (texts, faults) => {
			const frames = buildFrames(texts);
			for (const {kind, at} of faults) {
				applyFault(frames, kind, at % Math.max(frames.length, 1));
			}

			const result = accept(frames);
			if (result.isComplete) {
				expect(result.text).to.equal(texts.join(''));
			}
		}), {seed: 12, numRuns: 2000});
	});

	const applyFault = (frames: Frame[], kind: string, at: number): void => {
		const frame = frames[at];
		if (frame === undefined) {
			return;
		}

		const faults: Record<string, () => unknown> = {
			drop: () => frames.splice(at, 1),
			swap: () => frames.splice(at, 2, ...frames.slice(at, at + 2).reverse()),
			repeat: () => frames.push(frame),
			change: () => frames.splice(at, 1, {...frame, text: `${frame.text}x`}),
			cross: () => frames.splice(at, 0, {...frame, requestId: 'other', text: 'x'}),
			late: () => frames.splice(at, 0, {...frame, attemptId: 'former', text: 'x'}),
		};
		faults[kind]!();
	};

	// Guards against a correct answer that fails its checksum because a character was split over two frames.
	it('accepts an intact answer, also with characters split over two frames', () => {
		fc.assert(fc.property(fc.string({unit: 'binary'}), fc.array(fc.nat(20)), (text, cuts) => {
			const borders = [0, ...cuts.map(cut => cut % (text.length + 1)).sort((a, b) => a - b), text.length];
			const texts = borders.slice(1).map((border, index) => text.slice(borders[index], border));
			expect(accept(buildFrames(texts))).to.deep.equal({isComplete: true, text, corruption: undefined});
		}), {seed: 13, numRuns: 1000});
	});

	// Guards against frames of another request that end an intact stream, and against a truncated stream that counts as complete.
	it('drops frames of other requests and repeated frames, and reports a truncated stream', () => {
		const [first, last] = buildFrames(['one', 'two']) as [Frame, Frame];
		const otherRequestFrame = {...last, requestId: 'other'};
		expect(accept([first, otherRequestFrame, first, last])).to.deep.equal({isComplete: true, text: 'onetwo', corruption: undefined});
		expect(accept([first])).to.deep.equal({isComplete: false, text: 'one', corruption: 'truncated'});
	});
});
