import {expect} from 'chai';
import {runJson, startRun} from '../commands/cli-fixture.test.js';
import {commandTable} from '../commands/command-table.js';
import {exitCodes} from './exit-codes.js';

describe('runCli', () => {
	// Scripts rely on an exit code having the same meaning for every command.
	for (const {words} of commandTable) {
		it(`offers --json and lists the exit codes for ${words.join(' ')}`, async () => {
			const {exitCode, out} = await startRun([...words, '--help']).done;
			expect(exitCode).to.equal(0);
			expect(out).to.include('--json');
			for (const code of Object.values(exitCodes)) {
				expect(out).to.match(new RegExp(`^  ${code}  `, 'mv'));
			}
		});
	}

	it('returns 2 for unknown commands, missing arguments and invalid values', async () => {
		for (const argv of [['bogus'], ['config'], ['domain', 'drain'], ['status', '--timeout-ms', 'x'], ['status', '--platform', 'host:1'], ['status'], ['status', '--settings', '/nonexistent']]) {
			const {exitCode} = await startRun(argv).done;
			expect(exitCode, argv.join(' ')).to.equal(2);
		}

		expect(await runJson(['bogus'])).to.have.nested.property('error.message').that.includes('bogus');
	});
});
