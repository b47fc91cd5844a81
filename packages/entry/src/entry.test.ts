import {expect} from 'chai';
import type {Entry} from './entry.js';
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

	// Guards against an old process that overwrites the session of its successor, so that both believe they own the same servers.
	it('lets its lease lapse when another process starts with the same id', async () => {
		await fleet.startEngine('engine-1', 'regina');
		const former = await fleet.startEntry('e1', 'regina');
		const hasOwner = (entry: Entry) => entry.services.permits.isOwned('engine-1');
		await waitUntil('the first process owns the engine', async () => hasOwner(former));
		const successor = await fleet.startEntry('e1', 'regina');
		await waitUntil('the first process noticed its successor', async () => (former.getStatus().totals as Record<string, number>)['session.replaced']! > 0);
		await waitUntil('the successor issues permits', async () => {
			const {type} = await tryPermit(successor, 'engine-1');
			return type === 'granted';
		});
		const reply = await tryPermit(former, 'engine-1');
		expect(reply.type).to.equal('refused');
		await former.stop(AbortSignal.abort());
	});
});
