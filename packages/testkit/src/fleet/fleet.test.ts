import {existsSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {expect} from 'chai';
import type {DeploymentInput} from './deployment.js';
import {startFleet, type Fleet} from './fleet.js';

const deployment: DeploymentInput = {
	failureDomains: {kochi: 'kerala', kollam: 'kerala'},
	engines: {'fibre-scribe': {kochi: 1, kollam: 1}},
	services: {dispatch: {kollam: 1}},
	entries: {kochi: 1, kollam: 1},
	lists: {workspaces: 'workspaces: []', plans: 'plans: []'},
};

/** Replaces the entry: prints its settings file to standard error and reports that it is ready. */
const entryProgram = `
	import {readFileSync} from 'node:fs';
	console.error(JSON.stringify(readFileSync(process.argv[3], 'utf8')));
	console.log(JSON.stringify({ready: true, callerAddress: 'c', peerAddress: 'p'}));
	setInterval(() => {}, 1000);
`;

const isAlive = (pid: number): boolean => {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
};

describe('startFleet', () => {
	let folder: string;
	let fleet: Fleet | undefined;
	const installed: unknown[] = [];

	before(async () => {
		folder = await mkdtemp(join(tmpdir(), 'knapweedrack-fleet-test-'));
		const entryPath = join(folder, 'entry.mjs');
		await writeFile(entryPath, entryProgram);
		fleet = await startFleet({
			deployment,
			entryModule: pathToFileURL(entryPath).href,
			platform: {listLagMs: 0, delayMs: 0},
			engine: {timeScale: 20, statusLagMs: 0},
			async installConfiguration(context) {
				installed.push(context);
			},
		});
	});

	after(async () => {
		await fleet?.close();
		await rm(folder, {recursive: true});
	});

	it('installs the lists and registers every instance', async () => {
		const {platformAddress, members} = fleet!;
		expect(installed).to.deep.equal([{platformAddress, lists: deployment.lists}]);
		const response = await fetch(`http://${platformAddress}/v1/instances`);
		const {instances} = await response.json() as {instances: Array<{id: string; address: string}>};
		expect(instances.map(({id, address}) => `${id} ${address}`).sort()).to.deep.equal(members.map(({id, address}) => `${id} ${address}`).sort());
		expect(members.map(({id}) => id)).to.include.members(['fibre-scribe-kochi-1', 'dispatch-kollam-1', 'entry-kollam-1']);
	});

	it('writes the settings of each entry', () => {
		const [first, second] = fleet!.entries;
		const settings = JSON.parse(first!.process!.getErrorOutput()) as string;
		expect(settings).to.include('entryId: entry-kochi-1').and.include(`callerListener: ${first!.address}`);
		expect(settings).to.match(new RegExp(String.raw`seedPeers:\n\s+- ${second!.peerAddress}\n`, 'v'));
	});

	// A restart at another address would hide errors that come from stale connections.
	it('kills an engine and starts it again at its address', async () => {
		const id = 'fibre-scribe-kochi-1';
		const before = await fleet!.fetchState(id) as {bootId: string};
		await fleet!.closeMember(id);
		const member = await fleet!.startMember(id);
		expect(member.process?.ready.address).to.equal(member.address);
		const after = await fleet!.fetchState(id) as {bootId: string};
		expect(after.bootId).not.to.equal(before.bootId);
	});

	it('leaves no process and no folder behind', async () => {
		const pids = fleet!.members.map(member => member.process!.pid);
		await fleet!.close();
		expect(pids).to.have.length(5);
		expect(pids.filter(pid => isAlive(pid))).to.deep.equal([]);
		expect(existsSync(fleet!.folder)).to.be.false;
	});
});
