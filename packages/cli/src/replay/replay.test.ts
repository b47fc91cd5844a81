import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {ReplayMismatch, ReplayProblem} from '@knapweedrack/testkit';
import {expect} from 'chai';
import {runJson} from '../commands/cli-fixture.test.js';

const tracesUrl = new URL('../../../../traces/', import.meta.url);

describe('replay', () => {
	// The traces state the outcomes that callers rely on; a change of the code that breaks one must fail here.
	for (const name of ['group-and-short', 'claims', 'drain-and-crash']) {
		it(`finds all stated outcomes of ${name}`, async () => {
			const result = await runJson(['replay', fileURLToPath(new URL(`${name}.jsonl`, tracesUrl))]);
			expect(result.exitCode, JSON.stringify(result.error)).to.equal(0);
		});
	}

	describe('with other traces', () => {
		let folder: string;
		beforeEach(async () => {
			folder = await mkdtemp(path.join(tmpdir(), 'knapweedrack-replay-'));
		});
		afterEach(async () => {
			await rm(folder, {recursive: true});
		});

		const runReplay = async (lines: unknown[]) => {
			const file = path.join(folder, 'trace.jsonl');
			await writeFile(file, lines.map(line => typeof line === 'string' ? line : JSON.stringify(line)).join('\n'));
			return runJson(['replay', file]);
		};

		const header = {deployment: 'prairie'};
		const request = {
			id: 'a', at: 0, workspace: 'thunder-rail', model: 'truing-model', promptTokens: 1000, expect: 'completed',
		};

		// A check that never fails would pass every trace.
		it('returns 1 and names each stated outcome that does not hold', async () => {
			const result = await runReplay([header, {...request, expect: 'failed'}, {...request, id: 'b', firstTokenWithinMs: 1}, {...request, id: 'c', deadlineMs: 2}]);
			expect(result.exitCode).to.equal(1);
			expect((result.error as {mismatches: ReplayMismatch[]}).mismatches.map(({id}) => id)).to.have.members(['a', 'b', 'c']);
		});

		it('returns 2 with all invalid lines', async () => {
			const result = await runReplay([header, 'not JSON', {...request, expect: 'fine'}, {...request, service: 'x'}]);
			expect(result.exitCode).to.equal(2);
			expect((result.error as {problems: ReplayProblem[]}).problems.map(({line}) => line)).to.deep.equal([2, 3, 4]);
			expect(await runReplay([{deployment: 'none'}])).to.include({exitCode: 2});
		});
	});
});
