import {expect} from 'chai';
import {Fleet, waitUntil} from '../test-support/fleet.js';

describe('ConfigurationTask', function () {
	this.timeout(60_000);
	let fleet: Fleet;

	beforeEach(async () => {
		fleet = new Fleet();
		await fleet.start();
		await fleet.putConfiguration();
	});

	afterEach(async () => {
		await fleet.stop();
	});

	// Guards against an entry that starts during an outage of the object API and refuses all callers until the outage ends.
	it('takes the configuration from a peer while the platform is down', async () => {
		await fleet.startEntry('e1', 'regina');
		await fleet.setOutage(true);
		const entry = await fleet.startEntry('e2', 'regina');
		expect(entry.services.configuration.get()?.configuration.revision).to.equal(1);
		await waitUntil('the entry lists both', () => entry.services.membership.listEntries(undefined, undefined).entries.length === 2);
	});

	// Guards against an entry that stays on an old revision because its watch was cut.
	it('takes a newer revision from a peer when the own watch is cut', async () => {
		await fleet.startEntry('e1', 'regina');
		const entry = await fleet.startEntry('e2', 'regina');
		await fleet.setSilentWatch('config/manifest');
		const revision = await fleet.putConfiguration();
		await waitUntil('the revision is in force', () => entry.services.configuration.get()?.configuration.revision === revision, 11_000);
	});
});
