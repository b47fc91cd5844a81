import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {startTestPlatform, type TestPlatform} from './commands/cli-fixture.test.js';

const mainFile = fileURLToPath(import.meta.resolve('./main.ts'));

/** Runs the program as a process of its own. */
const runProcess = async (argv: readonly string[]): Promise<{exitCode: number; out: string; durationMs: number}> => new Promise(resolve => {
	const startedAt = performance.now();
	const child = execFile(process.execPath, [...process.execArgv, mainFile, ...argv], (_error, out) => {
		resolve({exitCode: child.exitCode ?? -1, out, durationMs: performance.now() - startedAt});
	});
});

describe('knapweedrack', () => {
	let platform: TestPlatform;

	beforeEach(async () => {
		platform = await startTestPlatform();
		await platform.addEntries('kochi', 'kollam');
	});

	afterEach(async () => {
		await platform.close();
	});

	// Connections or timers left open would keep the process alive after its output.
	it('ends with the exit code and keeps one domain in service when two processes drain both', async () => {
		const runs = await Promise.all(['kochi', 'kollam'].map(async name => runProcess(['domain', 'drain', name, '--json', ...platform.flags])));
		expect(runs.map(({exitCode}) => exitCode)).to.have.members([0, 6]);
		expect(runs.map(({out}) => (JSON.parse(out) as {exitCode: number}).exitCode)).to.have.members([0, 6]);
	});

	it('ends within 5 s while the platform does not answer', async () => {
		await platform.addFault({kind: 'down', mode: 'hang'});
		const run = await runProcess(['domain', 'drain', 'kochi', ...platform.flags]);
		expect(run.exitCode).to.equal(4);
		expect(run.durationMs).to.be.lessThan(5000);
	});
});
