import {expect} from 'chai';
import type {ServiceState} from '@knapweedrack/core';
import type {Fleet} from '@knapweedrack/testkit';
import {updateAvailability} from '../availability/update-availability.js';
import {
	fetchEngines, getFleet, noProgress, restoreFleet, runConcurrently, runWithPlatform, sendPrompt,
} from './fleet-fixture.test.js';

const drainedDomain = 'saskatoon';
const drainLimitMs = 3000;
const requestsPerRound = 30;

const editDomain = async (fleet: Fleet, state: ServiceState): Promise<void> => runWithPlatform(fleet.platformAddress, async access => {
	const edited = await updateAvailability(access, {
		target: 'domain', name: drainedDomain, state, author: 'test',
	}, noProgress);
	expect(edited.ok).to.be.true;
});

const countStarted = async (fleet: Fleet): Promise<number> => {
	const engines = await fetchEngines(fleet);
	return engines.filter(({failureDomain}) => failureDomain === drainedDomain)
		.flatMap(({executed}) => Object.values(executed)).reduce((sum, count) => sum + count, 0);
};

describe('guarantee: a drained failure domain gets no new work', function () {
	this.timeout(90_000);

	afterEach(async () => {
		await editDomain(await getFleet(), 'in_service');
	});

	for (const delayMs of [0, 500]) {
		// Guards against entries that apply a drain too late, and against requests that were queued before the drain and are sent after it.
		it(`gets none after ${drainLimitMs} ms with a platform that takes ${delayMs} ms longer`, async () => {
			const fleet = await restoreFleet();
			if (delayMs > 0) {
				await fleet.addFault('platform', {kind: 'slow', delayMs});
			}

			const sendAll = async (name: string) => runConcurrently(requestsPerRound, async index => sendPrompt(fleet, {
				prompt: `drain ${delayMs} ${name} ${index}`, maxTokens: 8, entry: fleet.entries[index % fleet.entries.length]!,
			}));
			const startedBefore = await countStarted(fleet);
			await sendAll('before');
			expect(await countStarted(fleet)).to.be.above(startedBefore);
			await editDomain(fleet, 'out_of_service');
			const limitAt = performance.now() + drainLimitMs;
			for (let round = 0; performance.now() < limitAt; round++) {
				await sendAll(`during ${round}`);
			}

			const started = await countStarted(fleet);
			const results = await sendAll('after');
			expect(await countStarted(fleet)).to.equal(started);
			expect(results.filter(({outcome}) => outcome === 'completed')).not.to.be.empty;
		});
	}
});
