import {expect} from 'chai';
import {
	addFaultToEngines, restoreFleet, runConcurrently, sendPrompt, computeEngineSum,
} from './fleet-fixture.test.js';

const burstSize = 90;

describe('guarantee: a cold engine gets no more load than it can take', () => {
	// Guards against entries that each admit as much as the engine can take, and against a warm-up level that is kept across a restart of the engine.
	it('does not crash under a burst through all entries', async function () {
		this.timeout(90_000);
		const fleet = await restoreFleet();
		const countCrashes = async () => computeEngineSum(fleet, ({crashes}) => crashes);
		const crashesBefore = await countCrashes();
		await addFaultToEngines(fleet, {kind: 'cold', count: 1});
		const results = await runConcurrently(burstSize, async index => sendPrompt(fleet, {
			prompt: `burst ${index}`, maxTokens: 64, entry: fleet.entries[index % fleet.entries.length]!,
		}));
		expect(await countCrashes()).to.equal(crashesBefore);
		expect(results.filter(({outcome}) => outcome === 'completed')).not.to.be.empty;
	});
});
