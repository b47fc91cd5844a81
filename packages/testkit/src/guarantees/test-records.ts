import {appendFileSync} from 'node:fs';
import {readdir, readFile} from 'node:fs/promises';
import {join, relative} from 'node:path';
import process from 'node:process';
import type {TestTitle} from './find-guarantee-problems.js';

/** Environment variable with the directory in which each test process records the tests that have passed. */
const directoryVariable = 'TEST_RECORD_DIRECTORY';

/** Records a test that has passed; does nothing unless a directory is set. */
export const recordPassedTest = (file: string, title: string): void => {
	const directory = process.env[directoryVariable];
	if (directory !== undefined && directory !== '') {
		const record: TestTitle = {file: relative(process.cwd(), file), title};
		// Synchronous, because the runner may end the process at any time after the last test.
		appendFileSync(join(directory, `${process.pid}.jsonl`), `${JSON.stringify(record)}\n`);
	}
};

/** Reads the tests that all test processes have recorded in a directory. */
export const readPassedTests = async (directory: string): Promise<TestTitle[]> => {
	const files = await readdir(directory);
	const texts = await Promise.all(files.map(async file => readFile(join(directory, file), 'utf8')));
	return texts.flatMap(text => text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as TestTitle));
};
