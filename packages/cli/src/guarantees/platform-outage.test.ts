import {expect} from 'chai';
import {renderExpectedAnswer, restoreFleet, sendPrompt} from './fleet-fixture.test.js';

const outageMs = 10_000;
const maxTokens = 16;

describe('guarantee: requests go on while the platform is down', () => {
	// Guards against owners that stop issuing permits when their session expires.
	it('completes every request at every entry during 10 s without the object API', async function () {
		this.timeout(90_000);
		const fleet = await restoreFleet();
		await fleet.addFault('platform', {kind: 'down', mode: 'refuse'});
		const endsAt = performance.now() + outageMs;
		for (let round = 0; performance.now() < endsAt; round++) {
			const results = await Promise.all(fleet.entries.map(async (entry, index) => {
				const prompt = `outage ${round} ${index}`;
				return {expected: renderExpectedAnswer(prompt, maxTokens), ...await sendPrompt(fleet, {prompt, maxTokens, entry})};
			}));
			for (const {outcome, reason, text, expected} of results) {
				expect({outcome, reason, text}).to.deep.equal({outcome: 'completed', reason: undefined, text: expected});
			}
		}
	});
});
