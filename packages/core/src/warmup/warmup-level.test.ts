import {expect} from 'chai';
import fc from 'fast-check';
import type {BackendServerProfile} from '../types/index.js';
import {WarmupLevel} from './warmup-level.js';

const profile: BackendServerProfile = {
	id: 'engine-1', kvTokens: 1_000_000, prefillTokensPerSecond: 20_000, maxConcurrency: 64, coldConcurrency: 2, coldPrefillTokens: 8192,
};

const complete = (warmup: WarmupLevel, count: number, start: number): number => {
	let now = start;
	for (let index = 0; index < count; index++) {
		now += 200;
		warmup.recordCompleted(now, now);
	}

	return now;
};

describe('WarmupLevel', () => {
	// Guards against a cold server that crashes because it gets more load than it can handle.
	it('starts cold and stays cold until enough requests completed', () => {
		const warmup = new WarmupLevel(profile);
		warmup.reset(0);
		complete(warmup, 15, 0);
		expect(warmup.limits).to.deep.equal({concurrency: 2, prefillTokens: 8192});
		complete(warmup, 1, 4000);
		expect(warmup.limits.concurrency).to.equal(4);
	});

	// Guards against a server that never reaches its full capacity again.
	it('reaches the full bounds after repeated success', () => {
		const warmup = new WarmupLevel(profile);
		complete(warmup, 100, 0);
		expect(warmup.isWarm).to.be.true;
		expect(warmup.limits).to.deep.equal({concurrency: 64, prefillTokens: 1_000_000});
	});

	// Guards against requests granted at an earlier level that raise the present one.
	it('does not count requests granted before the last change', () => {
		const warmup = new WarmupLevel(profile);
		warmup.reset(10_000);
		for (let index = 0; index < 100; index++) {
			warmup.recordCompleted(9999, 20_000 + index);
		}

		expect(warmup.isCold).to.be.true;
	});

	// Guards against full load on a server that became cold again without a new boot id.
	it('returns to cold after repeated latency jumps, and not after one', () => {
		const warmup = new WarmupLevel(profile);
		const now = complete(warmup, 100, 0);
		const late = {firstTokenMs: 3000, expectedMs: 100};
		warmup.recordFirstToken(late, now);
		warmup.recordFirstToken({firstTokenMs: 150, expectedMs: 100}, now);
		warmup.recordFirstToken(late, now);
		warmup.recordFirstToken(late, now);
		expect(warmup.isWarm).to.be.true;
		warmup.recordFirstToken(late, now);
		expect(warmup.isCold).to.be.true;
	});

	// Guards against a level raised by a report that lags behind, and against bounds outside the profile.
	it('keeps the level over profile updates and stays within the profile', () => {
		const actions = fc.array(fc.constantFrom('complete', 'complete', 'complete', 'late', 'reset', 'profile'), {maxLength: 200});
		fc.assert(fc.property(actions, list => {
			const warmup = new WarmupLevel(profile, {minStepMs: 0, coldSuccesses: 4, successesPerStep: 2});
			let now = 0;
			for (const action of list) {
				const {factor} = warmup;
				now += 10;
				switch (action) {
					case 'complete': {
						warmup.recordCompleted(now, now);

						break;
					}

					case 'late': {
						warmup.recordFirstToken({firstTokenMs: 9999, expectedMs: 1}, now);

						break;
					}

					case 'reset': {
						warmup.reset(now);
						expect(warmup.isCold).to.be.true;

						break;
					}

					case 'profile': {
						warmup.updateProfile(profile);
					}
				}

				expect(warmup.factor).to.be.at.most(action === 'complete' ? factor * 2 : factor);
				expect(warmup.limits.concurrency).to.be.within(2, 64);
				expect(warmup.limits.prefillTokens).to.be.within(8192, 1_000_000);
			}
		}), {seed: 20_261_204});
	});
});
