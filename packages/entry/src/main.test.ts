import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {ProcessGroup} from '@knapweedrack/testkit';
import {stringify} from 'yaml';
import {Fleet, tryPermit, waitUntil} from './test-support/fleet.js';

const engineIds = ['engine-1', 'engine-2', 'engine-3'];

describe('knapweedrackd', function () {
	this.timeout(120_000);
	let fleet: Fleet;
	let group: ProcessGroup;
	let folder: string;

	const startProcess = async (id: string, failureDomain: string) => {
		const file = join(folder, `${id}.yaml`);
		await writeFile(file, stringify(fleet.buildSettings(id, failureDomain)));
		return group.start({id, module: '@knapweedrack/entry/main', args: ['--settings', file]});
	};

	beforeEach(async () => {
		folder = await mkdtemp(join(tmpdir(), 'knapweedrackd-'));
		group = new ProcessGroup();
		fleet = new Fleet();
		await fleet.start();
		await fleet.putConfiguration();
	});

	afterEach(async () => {
		await group.closeAll();
		await fleet.stop();
		await rm(folder, {recursive: true});
	});

	// Without a takeover, the engines of a dead entry would stay idle forever.
	it('is replaced as owner by the other entries after it was killed', async () => {
		for (const id of engineIds) {
			await fleet.startEngine(id, 'saskatoon');
		}

		await startProcess('e3', 'saskatoon');
		const [e1, e2] = [await fleet.startEntry('e1', 'regina'), await fleet.startEntry('e2', 'regina')];
		const isServed = async () => {
			const replies = await Promise.all([e1, e2].flatMap(entry => engineIds.map(async id => tryPermit(entry, id))));
			return replies.every(({type}) => type === 'granted');
		};

		const isOwned = (id: string) => [e1, e2].some(({services}) => services.permits.isOwned(id));
		await waitUntil('the process owns all engines', async () => await isServed() && !engineIds.some(id => isOwned(id)), 30_000);
		await group.close('e3');
		await waitUntil('the others own all engines', async () => await isServed() && engineIds.every(id => isOwned(id)), 30_000);
	});

	// A stop that does not delete the session delays the takeover until the session expires.
	it('deletes its session and ends with code 0 on SIGTERM', async () => {
		const started = await startProcess('e3', 'saskatoon');
		expect(started.ready).to.include.keys('callerAddress', 'peerAddress');
		const exit = await group.stop('e3', 20_000);
		expect(exit.code).to.equal(0);
		expect(await fleet.store.get('sessions/e3')).to.have.nested.property('error.kind', 'not_found');
	});
});
