import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {expect} from 'chai';
import {
	buildLists, createDirectory, runJson, startRun, startTestEntry, startTestPlatform, testSecret, type ListFiles, type TestPlatform,
} from './cli-fixture.test.js';

describe('config commands', () => {
	let platform: TestPlatform;
	let directories: Array<Awaited<ReturnType<typeof createDirectory>>>;

	const writeLists = async (files: ListFiles): Promise<string> => {
		const created = await createDirectory(files);
		directories.push(created);
		return created.directory;
	};

	beforeEach(async () => {
		directories = [];
		platform = await startTestPlatform();
	});

	afterEach(async () => {
		await platform.close();
		await Promise.all(directories.map(async ({remove}) => remove()));
	});

	describe('invalid lists', () => {
		// If only one problem were shown per run, an operator would need many runs; a partly applied list would set wrong limits.
		it('lists all problems with file, line and path and sends no call', async () => {
			const directory = await writeLists({
				plans: 'fleet: f\nmodels: [m]\nservices: []\nfailureDomains: [kochi]\nplans:\n  - id: shop\n    models: [other]\n    deadlineMs: 5s\n',
				workspaces: 'workspaces:\n  - id: a\n    plan: missing\n    fleet: f\n    credentialDigests: [plain]\n',
			});
			for (const command of ['validate', 'apply', 'diff']) {
				const {exitCode, error} = await runJson(['config', command, directory, ...platform.flags]);
				expect(exitCode).to.equal(3);
				const problems = error.problems as Array<{file: string; line: number; path: string}>;
				const places = problems.map(({file, line, path: valuePath}) => `${path.basename(file)}:${line}:${valuePath}`);
				expect(places).to.include.members([
					'plans.yaml:7:plans[0].models[0]',
					'plans.yaml:8:plans[0].deadlineMs',
					'plans.yaml:6:plans[0].share',
					'workspaces.yaml:3:workspaces[0].plan',
					'workspaces.yaml:5:workspaces[0].credentialDigests[0]',
				]);
			}

			expect(Object.values(await platform.getCalls()).every(count => count === 0)).to.be.true;
		});

		it('names a list that cannot be read', async () => {
			expect(await runJson(['config', 'validate', '/nonexistent'])).to.have.nested.property('error.files').with.length(2);
		});
	});

	describe('apply', () => {
		it('applies, shows and compares the lists of the examples', async () => {
			const directory = path.resolve(import.meta.dirname, '../../../../examples/prairie');
			expect(await runJson(['config', 'show', ...platform.flags])).to.include({exitCode: 7});
			const first = await startRun(['config', 'apply', directory, '--author', 'ana', ...platform.flags]).done;
			expect(first.out).to.match(/^revision 1 .*3 plans added/v);
			const shown = await runJson(['config', 'show', ...platform.flags]);
			expect(shown).to.deep.include({revision: 1});
			expect(shown.workspaces).to.have.length(10);
			expect(shown.edits[0]).to.include({author: 'ana', revision: 1});

			const plans = await readFile(path.join(directory, 'plans.yaml'), 'utf8');
			const workspaces = await readFile(path.join(directory, 'workspaces.yaml'), 'utf8');
			const edited = await writeLists({plans: plans.replace('share: 4', 'share: 3'), workspaces});
			const {out} = await startRun(['config', 'diff', edited, ...platform.flags]).done;
			expect(out).to.include('~ plan line-haul\n    share: 4 -> 3');
		});

		// A repeated run with the same lists, for example from a script, must not create a revision without changes.
		it('writes changed chunks only, and nothing when the content is the same', async () => {
			const names = Array.from({length: 400}, (_, index) => `w${index}`);
			const before = await runJson(['config', 'apply', await writeLists(buildLists(names)), ...platform.flags]);
			const {put} = await platform.getCalls();
			const same = await runJson(['config', 'apply', await writeLists(buildLists(names)), ...platform.flags]);
			expect(same).to.include({isChanged: false, revision: 1, bytesWritten: 0});
			expect(await platform.getCalls()).to.include({put});

			const after = await runJson(['config', 'apply', await writeLists(buildLists(names, 6)), ...platform.flags]);
			expect(after).to.include({revision: 2, chunksWritten: 1});
			expect(after.chunks).to.equal(before.chunks);
		});

		// An operator whose lists are older than the revision in force would undo the other operator's edit.
		it('accepts one of two concurrent edits and shows the other operator who changed what', async () => {
			await runJson(['config', 'apply', await writeLists(buildLists(['a'])), ...platform.flags]);
			const directories = await Promise.all([writeLists(buildLists(['a', 'b'])), writeLists(buildLists(['a', 'c']))]);
			const runs = await Promise.all(directories.map(async (directory, index) =>
				runJson(['config', 'apply', directory, '--expect', '1', '--author', `operator-${index}`, ...platform.flags])));
			expect(runs.map(({exitCode}) => exitCode as number)).to.have.members([0, 5]);
			const winner = runs.findIndex(({exitCode}) => exitCode === 0);
			expect(runs[1 - winner]?.error).to.deep.include({effect: 'none', revision: 2, baseRevision: 1});
			expect(runs[1 - winner]?.error.message).to.include(`revision 2 by operator-${winner}: 1 workspace added (${winner === 0 ? 'b' : 'c'})`);
			const {editId} = await platform.getValue('config/manifest');
			expect(editId).to.equal(runs[winner]?.editId);
		});

		// If a lost answer were reported as a failure, the operator would apply again over the edits of others.
		it('resolves lost answers to the writes of a chunk and of the manifest', async () => {
			await platform.addFault({kind: 'answerLost', keyPrefix: 'config/chunks/', count: 1});
			await platform.addFault({kind: 'answerLost', keyPrefix: 'config/manifest', count: 1});
			expect(await runJson(['config', 'apply', await writeLists(buildLists(['a'])), ...platform.flags])).to.include({exitCode: 0, revision: 1});
			expect(await platform.getValue('config/manifest')).to.include({revision: 1});
		});

		it('shows a progress line while the platform is slow, and succeeds', async () => {
			await platform.addFault({kind: 'slow', delayMs: 900});
			const run = await startRun(['config', 'apply', await writeLists(buildLists(['a'])), '--timeout-ms', '8000', ...platform.flags]).done;
			expect(run.exitCode, run.error).to.equal(0);
			expect(run.error).to.match(/\(2\.\d s\)/v);
		});
	});

	describe('wait', () => {
		// An edit that one entry has not applied must not be reported as in force everywhere.
		it('prints each entry as the revision comes into force and ends when all have it', async () => {
			const entry = await startTestEntry({getStatus: () => ({entryId: 'kochi-2', configurationRevision: 1}), explainRequest: () => undefined});
			const files = await createDirectory({secret: testSecret});
			directories.push(files);
			await platform.putSession('kochi-1');
			await platform.putSession('kochi-2', {peerAddress: entry.address});
			await platform.putSession('kochi-3', {state: 'stopping'});
			try {
				const run = startRun(['config', 'apply', await writeLists(buildLists(['a'])), '--wait', '--peer-secret-file', path.join(files.directory, 'secret.yaml'), ...platform.flags]);
				await run.waitForOutput('kochi-2 (kochi): revision 1 in force');
				await platform.putSession('kochi-1', {configurationRevision: 1});
				const {exitCode, out} = await run.done;
				expect(exitCode).to.equal(0);
				expect(out).to.match(/kochi-1 \(kochi\): revision 1 in force.*\n2 of 2 entries have it, 1 stopping\n$/v);
			} finally {
				entry.close();
			}
		});

		it('reports that the change took effect when an entry does not apply it in time', async () => {
			await platform.putSession('kochi-1');
			const run = await runJson(['config', 'apply', await writeLists(buildLists(['a'])), '--wait', '--wait-timeout', '0', ...platform.flags]);
			expect(run).to.include({exitCode: 1});
			expect(run.error).to.include({effect: 'applied', revision: 1});
			expect(run.error.message).to.include('0 of 1 entries have it');
		});
	});
});
