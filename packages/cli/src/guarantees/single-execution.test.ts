import {expect} from 'chai';
import type {CallResult, Fleet} from '@knapweedrack/testkit';
import {
	countExecutions, restoreFleet, runAsCaller, waitUntil,
} from './fleet-fixture.test.js';

const refusalLimitMs = 1000;
const budgetLimitMs = 20_000;

const releaseWorkOrder = async (fleet: Fleet, entryIndex: number, idempotencyKey: string): Promise<CallResult> =>
	runAsCaller(fleet, fleet.entries[entryIndex], async caller => caller.sendServiceCall({
		method: 'POST', path: 'work-orders/releases', body: '{}', idempotencyKey,
	}));

/** Waits until the rate limit of the workspace has an owner again; until then calls are refused, correctly as not run. */
const waitForBudget = async (fleet: Fleet, entryIndex: number): Promise<void> => {
	await waitUntil(async () => releaseWorkOrder(fleet, entryIndex, 'budget-check'), ({reason}) => reason !== 'request_rate_exceeded', budgetLimitMs);
};

describe('guarantee: a non-idempotent call is executed at most once', function () {
	this.timeout(60_000);
	let fleet: Fleet;

	beforeEach(async () => {
		fleet = await restoreFleet();
	});

	// Guards against a second execution by an entry that treats the claim as abandoned.
	it('is not repeated after the entry that waited for the answer was killed', async () => {
		const key = 'killed-entry';
		await fleet.addFault(fleet.services[0]!.id, {kind: 'slow', delayMs: 5000, count: 1});
		const first = releaseWorkOrder(fleet, 0, key);
		await waitUntil(async () => countExecutions(fleet, key), executions => executions === 1, 10_000);
		await fleet.closeMember(fleet.entries[0]!.id);
		expect(await first).to.include({outcome: 'unknown'});
		for (const index of [1, 2]) {
			await waitForBudget(fleet, index);
			const {outcome, text} = await releaseWorkOrder(fleet, index, key);
			expect(outcome, text).to.equal('unknown');
		}

		expect(await countExecutions(fleet, key)).to.equal(1);
	});

	// Guards against a retry of a call whose connection was cut after its execution.
	it('is not repeated after the answer of the service was lost', async () => {
		const key = 'lost-answer';
		await fleet.addFault(fleet.services[0]!.id, {kind: 'answerLost', count: 1});
		for (const index of [0, 1, 2]) {
			const {outcome, text} = await releaseWorkOrder(fleet, index, key);
			expect(outcome, text).to.equal('unknown');
		}

		expect(await countExecutions(fleet, key)).to.equal(1);
	});

	// Guards against two entries that both pass the claim.
	it('is executed once when the same key arrives at all entries at once', async () => {
		const key = 'same-key';
		const results = await Promise.all(fleet.entries.map(async (_, index) => releaseWorkOrder(fleet, index, key)));
		expect(results.map(({outcome}) => outcome)).to.include('completed');
		expect(await countExecutions(fleet, key)).to.equal(1);
	});

	// Guards against a call without a claim, and against an answer held back until the deadline.
	it('is refused as not run at once while the platform is down', async () => {
		const key = 'platform-down';
		await fleet.addFault('platform', {kind: 'down', mode: 'refuse'});
		const result = await releaseWorkOrder(fleet, 0, key);
		expect(result).to.include({outcome: 'not_run'});
		expect(result.durationMs).to.be.below(refusalLimitMs);
		expect(await countExecutions(fleet, key)).to.equal(0);
	});
});
