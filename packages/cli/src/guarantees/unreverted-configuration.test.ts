import {expect} from 'chai';
import {
	applyLists, fetchStatuses, restoreFleet, waitUntil,
} from './fleet-fixture.test.js';

const rolloutLimitMs = 5000;

describe('guarantee: an accepted configuration is in force everywhere and never reverts', () => {
	// Guards against entries that miss a change, and against a restart that serves an older revision.
	it('is in force at all entries within 5 s and after a restart during a platform outage', async function () {
		this.timeout(90_000);
		const fleet = await restoreFleet();
		const {workspaces, plans} = fleet.deployment.lists;
		const revision = await applyLists(fleet.platformAddress, {workspaces, plans: plans.replace('concurrency: 120', 'concurrency: 110')});
		const waitForRevision = async (limitMs: number) => waitUntil(
			async () => fetchStatuses(fleet),
			statuses => statuses.length === fleet.entries.length && statuses.every(({configurationRevision}) => configurationRevision === revision),
			limitMs,
		);
		await waitForRevision(rolloutLimitMs);
		await fleet.addFault('platform', {kind: 'down', mode: 'refuse'});
		const {id} = fleet.entries[1]!;
		await fleet.closeMember(id);
		await fleet.startMember(id);
		const statuses = await fetchStatuses(fleet);
		expect(statuses.map(({configurationRevision}) => configurationRevision)).to.deep.equal(fleet.entries.map(() => revision));
		await fleet.removeFaults('platform');
		await waitForRevision(rolloutLimitMs);
	});

	// Guards against an engine that stays without an owner because its ownership record names the previous process of the restarted entry.
	it('leaves every engine with an owner that issues permits after that restart', async function () {
		this.timeout(90_000);
		await restoreFleet();
	});
});
