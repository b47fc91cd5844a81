import {expect} from 'chai';
import {Fleet, tryPermit, waitUntil} from './test-support/fleet.js';

describe('createEntry', function () {
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

	it('has the configuration in force when it starts to serve, and grants a permit', async () => {
		await fleet.startEngine('engine-1', 'regina');
		const entry = await fleet.startEntry('e1', 'regina');
		expect(entry.services.configuration.isFresh()).to.equal(true);
		expect(entry.services.configuration.get()?.findWorkspaceByCredential('credential')?.id).to.equal('w1');
		await waitUntil('the entry grants a permit', async () => {
			const {type} = await tryPermit(entry, 'engine-1');
			return type === 'granted';
		});
		expect(entry.services.membership.listEntries('truing-model', 'w1').entries).to.have.length(1);
		expect(entry.services.membership.listBackendServers('truing-model')).to.have.length(1);
	});
});
