import {expect} from 'chai';
import {
	addFaultToEngines, renderExpectedAnswer, restoreFleet, sendPrompt,
} from './fleet-fixture.test.js';

const maxTokens = 16;
const frameFaults = [
	{kind: 'framesCrossed', mode: 'ids'},
	{kind: 'framesCrossed', mode: 'text'},
	{kind: 'framesTruncated', mode: 'end'},
	{kind: 'framesTruncated', mode: 'cut'},
	{kind: 'framesTruncated', mode: 'done'},
	{kind: 'framesDuplicated'},
	{kind: 'framesDropped'},
	{kind: 'framesReordered'},
];
/** After a fault in the first frame the request can be retried on another engine unnoticed; a fault in frame 5 comes after text was already passed on to the caller. */
const laterFrame = 5;
const frames = [0, laterFrame];
/** Faults whose lost text cannot be recovered once the first frames were passed on. */
const textLosingKinds = new Set(['framesCrossed', 'framesTruncated', 'framesDropped']);

describe('guarantee: a caller gets the complete answer to its own request and to no other', () => {
	// Guards against wrong or missing text that is passed on as a complete answer.
	it('never completes an answer of crossed, truncated, duplicated, dropped or reordered frames', async function () {
		this.timeout(90_000);
		const fleet = await restoreFleet();
		for (const fault of frameFaults) {
			for (const frame of frames) {
				const marker = `${fault.kind} ${fault.mode ?? ''} ${frame}`;
				await addFaultToEngines(fleet, {
					...fault, frame, marker, count: 100,
				});
				const results = await Promise.all(fleet.entries.map(async (entry, index) => {
					const prompt = `${marker} at ${index}`;
					return {prompt, ...await sendPrompt(fleet, {prompt, maxTokens, entry})};
				}));
				if (frame === laterFrame && textLosingKinds.has(fault.kind)) {
					expect(results.map(({outcome}) => outcome), marker).not.to.include('completed');
				}

				for (const {prompt, text} of results.filter(({outcome}) => outcome === 'completed')) {
					expect(text, marker).to.equal(renderExpectedAnswer(prompt, maxTokens));
				}
			}
		}
	});
});
