import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {Command} from 'commander';
import {findGuaranteeProblems} from './find-guarantee-problems.js';
import {parseGuarantees} from './guarantee-list.js';
import {parseMutations} from './mutation-list.js';
import {renderGuarantees} from './render-guarantees.js';
import {mutationResults, runMutations} from './run-mutations.js';
import {readPassedTests} from './test-records.js';

const listFile = new URL('guarantees.yml', import.meta.url);
const mutationsFile = new URL('mutations.yml', import.meta.url);
const pageFile = new URL('../../../../docs/guarantees.md', import.meta.url);
const knownFailuresFile = new URL('../../../../KNOWN-RED.txt', import.meta.url);
const knownFailurePrefix = 'test: ';

const loadSections = async () => parseGuarantees(await readFile(listFile, 'utf8'));

const loadKnownFailures = async (): Promise<string[]> => {
	const text = await readFile(knownFailuresFile, 'utf8');
	return text.split('\n').filter(line => line.startsWith(knownFailurePrefix)).map(line => line.slice(knownFailurePrefix.length));
};

const program = new Command('guarantees').description('list of guarantees and the tests that prove them');

program.command('render').description('write docs/guarantees.md').action(async () => {
	await writeFile(pageFile, renderGuarantees(await loadSections()));
});

program.command('check <directory>').description('fail unless the named tests have passed, as recorded in TEST_RECORD_DIRECTORY').action(async (directory: string) => {
	const sections = await loadSections();
	const rows = sections.flatMap(section => section.rows);
	const problems = findGuaranteeProblems(rows, {passed: await readPassedTests(directory), knownFailures: await loadKnownFailures()});
	for (const problem of problems) {
		process.stderr.write(`${problem}\n`);
	}

	process.stdout.write(`${rows.length} guarantees, ${problems.length} claims without a passed test\n`);
	process.exitCode = problems.length > 0 ? 1 : 0;
});

const mutate = program.command('mutate <directory>').description('apply each mutation to a copy of the repository and fail unless its tests do');
mutate.option('--only <text>', 'mutations whose names contain this text', '').action(async (directory: string, {only}: {only: string}) => {
	const mutations = parseMutations(await readFile(mutationsFile, 'utf8')).filter(({name}) => name.includes(only));
	let missed = 0;
	await runMutations(directory, mutations, ({name}, result) => {
		missed += result === mutationResults.caught ? 0 : 1;
		process.stdout.write(`${result}: ${name}\n`);
	});
	process.stdout.write(`${mutations.length} mutations, ${missed} not caught\n`);
	process.exitCode = missed > 0 ? 1 : 0;
});

await program.parseAsync();
