import {expect} from 'chai';
import {Fleet, tryPermit, waitUntil} from './test-support/fleet.js';

const engineIds = ['engine-1', 'engine-2', 'engine-3', 'engine-4'];

describe('control tasks of several entries', function () {
	this.timeout(120_000);
	let fleet: Fleet;

	const listOwned = (): string[] => [...fleet.entries.values()].flatMap(({services}) => engineIds.filter(id => services.permits.isOwned(id)));

	/** Each engine belongs to an entry of its own failure domain once the entries have settled. */
	const isSettled = (): boolean => engineIds.every((id, index) => {
		const owner = [...fleet.entries.values()].find(({services}) => services.permits.isOwned(id));
		return owner?.services.failureDomain === (index % 2 === 0 ? 'regina' : 'saskatoon');
	});

	const isGrantedEverywhere = async (): Promise<boolean> => {
		const replies = await Promise.all([...fleet.entries.values()].flatMap(entry => engineIds.map(async id => tryPermit(entry, id))));
		return replies.every(({type}) => type === 'granted');
	};

	beforeEach(async () => {
		fleet = new Fleet();
		await fleet.start();
		await fleet.putConfiguration();
		for (const [index, id] of engineIds.entries()) {
			await fleet.startEngine(id, index % 2 === 0 ? 'regina' : 'saskatoon');
		}

		await fleet.startEntry('e1', 'regina');
		await fleet.startEntry('e2', 'regina');
		await fleet.startEntry('e3', 'saskatoon');
		await waitUntil('all entries get permits for all engines', async () => isSettled() && isGrantedEverywhere(), 30_000);
	});

	afterEach(async () => {
		await fleet.stop();
	});

	// Guards against two owners of one engine, which would together grant twice its capacity.
	it('have one owner for each engine and hand over on a planned stop', async () => {
		expect(listOwned().toSorted()).to.deep.equal(engineIds);
		const stopped = fleet.entries.get('e3')!;
		fleet.entries.delete('e3');
		await stopped.stop();
		await waitUntil('the rest owns all engines', async () => await isGrantedEverywhere() && listOwned().length === engineIds.length, 30_000);
	});

	// Guards against entries that stop granting permits when sessions expire during an outage of the object API.
	it('go on while the platform is down and accept a change after it', async () => {
		await fleet.setOutage(true);
		const startedAt = performance.now();
		let refused = 0;
		await waitUntil('12 s of the outage have passed', async () => {
			refused += await isGrantedEverywhere() ? 0 : 1;
			return performance.now() - startedAt > 12_000;
		}, 30_000);
		expect(refused).to.equal(0);
		for (const {services} of fleet.entries.values()) {
			expect(services.configuration.isFresh()).to.equal(true);
		}

		await fleet.setOutage(false);
		const revision = await fleet.putConfiguration();
		await waitUntil('the new revision is in force everywhere', () =>
			[...fleet.entries.values()].every(({services}) => services.configuration.get()?.configuration.revision === revision));
		expect(await isGrantedEverywhere()).to.equal(true);
	});

	// A failure domain that was taken out of service must not keep receiving work from entries that missed the change.
	it('stop using a failure domain that is out of service', async () => {
		await fleet.putAvailability({
			revision: 1, editId: 'e', failureDomains: {saskatoon: 'out_of_service'}, instances: {},
		});
		await waitUntil('no entry lists the failure domain', () => [...fleet.entries.values()].every(({services}) =>
			[...services.membership.listBackendServers('truing-model'), ...services.membership.listEntries('truing-model', 'w1').entries]
				.every(({failureDomain}) => failureDomain === 'regina')), 3000);
	});
});
