import {expect} from 'chai';
import {
	addFaultToEngines, renderExpectedAnswer, restoreFleet, runConcurrently, sendPrompt, computeEngineSum, waitUntil,
} from './fleet-fixture.test.js';

const marker = 'crash-this-engine';
const crashLimit = 2;
const unrelatedCount = 4;
const unrelatedTokens = 64;

describe('guarantee: content that crashes engines costs at most two of them', () => {
	// Guards against a caller that sends such content repeatedly, and against quarantining requests that only ran at the same time.
	it('is quarantined at all entries while unrelated requests complete', async function () {
		this.timeout(90_000);
		const fleet = await restoreFleet();
		const countCrashes = async () => computeEngineSum(fleet, ({crashes}) => crashes);
		const crashesBefore = await countCrashes();
		await addFaultToEngines(fleet, {kind: 'crashMarker', marker});
		const unrelatedRequests = runConcurrently(unrelatedCount, async index => {
			const prompt = `innocent ${index}`;
			let text = '';
			await waitUntil(async () => {
				const result = await sendPrompt(fleet, {prompt, maxTokens: unrelatedTokens, entry: fleet.entries[index % fleet.entries.length]!});
				text = result.text;
				return result;
			}, ({outcome}) => outcome === 'completed', 30_000);
			expect(text).to.equal(renderExpectedAnswer(prompt, unrelatedTokens));
		});
		for (let round = 0; round < 3; round++) {
			for (const entry of fleet.entries) {
				const {outcome} = await sendPrompt(fleet, {prompt: marker, maxTokens: 16, entry});
				expect(outcome).not.to.equal('completed');
			}
		}

		await unrelatedRequests;
		const crashesAfter = await countCrashes();
		expect(crashesAfter - crashesBefore).to.be.within(1, crashLimit);
	});
});
