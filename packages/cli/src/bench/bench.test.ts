import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {runJson} from '../commands/cli-fixture.test.js';
import type {BenchReport} from './bench-report.js';

describe('bench', () => {
	// The run has a fixed seed and a bounded duration, so that changed figures in CI show a change of the policy.
	it('measures the quick mixed load within 10 s and meets the targets for short requests', async function () {
		this.timeout(20_000);
		const startedAt = performance.now();
		const report = await runJson(['bench', 'mixed', '--quick', '--seed', '1']) as unknown as BenchReport;
		expect(performance.now() - startedAt).to.be.below(10_000);
		const targets = new Map(report.deployments[0]!.targets.map(target => [target.name, target]));
		expect(targets.get('short p95 with long prompts / without, 80%')).to.include({isMet: true});
		expect(targets.get('short p95 of round robin / core, 80%')).to.include({isMet: true});
	});

	// A page that needs other files or scripts cannot be forwarded or printed.
	it('writes one self-contained page', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'knapweedrack-bench-'));
		try {
			const file = path.join(folder, 'bench.html');
			await runJson(['bench', 'cold-start', '--quick', '--duration-s', '8', '--html', file]);
			const page = await readFile(file, 'utf8');
			expect(page).to.match(/<svg[^>]*>.*<\/svg>/v).and.to.not.match(/<script|src=|href=|NaN|Infinity/v);
			expect(await runJson(['bench', 'cold-start', '--quick', '--duration-s', '2', '--html', folder])).to.include({exitCode: 1});
		} finally {
			await rm(folder, {recursive: true});
		}
	});

	it('refuses unknown scenarios and deployments', async () => {
		expect(await runJson(['bench', 'none'])).to.include({exitCode: 2});
		expect(await runJson(['bench', 'mixed', '--deployment', 'none'])).to.include({exitCode: 2});
	});
});
