import {execFile} from 'node:child_process';
import {readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {applyMutation, getMutatedPath, type Mutation} from './mutation-list.js';

/** Time after which the tests of a mutation count as failed, in ms; a fault may keep them from ending. */
const testTimeoutMs = 180_000;

/** How the tests of a mutation ended. */
export const mutationResults = {
	/** They failed. */
	caught: 'caught',
	/** They passed. */
	missed: 'missed',
	/** They did not end in time. */
	hung: 'hung',
	/** No test has the title. */
	untested: 'untested',
	/** They fail without the mutation, too. */
	failing: 'failing',
} as const;
/** Value of `mutationResults`. */
export type MutationResult = (typeof mutationResults)[keyof typeof mutationResults];

/**
 * Applies mutations one after the other to a copy of the repository, which needs its own `node_modules`, and runs their tests there,
 * without and with the mutation. The changed module is restored after each.
 */
export const runMutations = async (directory: string, mutations: readonly Mutation[], report: (mutation: Mutation, result: MutationResult) => void): Promise<void> => {
	for (const mutation of mutations) {
		const path = join(directory, getMutatedPath(mutation));
		const text = await readFile(path, 'utf8');
		if (await runTests(directory, mutation) === mutationResults.caught) {
			report(mutation, mutationResults.failing);
			continue;
		}

		await writeFile(path, applyMutation(mutation, text));
		try {
			report(mutation, await runTests(directory, mutation));
		} finally {
			await writeFile(path, text);
		}
	}
};

const runTests = async (directory: string, {tests}: Mutation): Promise<MutationResult> => {
	const results: MutationResult[] = [];
	for (const [file, title] of Object.entries(tests)) {
		results.push(await runTest(directory, file, title));
	}

	return results.find(result => result !== mutationResults.caught) ?? mutationResults.caught;
};

const runTest = async (directory: string, file: string, title: string): Promise<MutationResult> => new Promise(resolve => {
	// `--spec` of the configuration file would add all other tests.
	const args = ['--import=tsx', '--conditions=source', 'node_modules/mocha/bin/_mocha', '--no-config', '--exit', '--timeout', '20000', '--fgrep', title, '--reporter', 'json', file];
	execFile(process.execPath, args, {
		cwd: directory, timeout: testTimeoutMs, killSignal: 'SIGKILL', maxBuffer: Number.POSITIVE_INFINITY,
	}, (error, stdout) => {
		if (error?.killed) {
			resolve(mutationResults.hung);
			return;
		}

		const hasTests = !stdout.includes('"tests": 0,');
		const resultOfRun = error === null ? mutationResults.missed : mutationResults.caught;
		resolve(hasTests ? resultOfRun : mutationResults.untested);
	});
});
