import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {createOk, type Result} from '@knapweedrack/core';
import {
	parseLists, type ConfigurationLists, type SourceFile, type ValidationProblem,
} from '@knapweedrack/protocol';
import {createFailure, type CommandFailure} from '../program/command-result.js';
import {exitCodes} from '../program/exit-codes.js';
import type {Progress} from '../program/progress.js';

/** Above this length in characters, parsing takes seconds and blocks the timer of the progress line. */
const largeListLength = 500_000;

/** Reads and validates both lists of a directory; all problems are returned at once. */
export const readLists = async (directory: string, progress: Progress): Promise<Result<ConfigurationLists, CommandFailure>> => {
	const files: SourceFile[] = [];
	const missing: string[] = [];
	for (const name of ['workspaces.yaml', 'plans.yaml']) {
		const file = path.join(directory, name);
		try {
			files.push({file, text: await readFile(file, 'utf8')});
		} catch (error) {
			missing.push(`${file} cannot be read: ${(error as Error).message}`);
		}
	}

	const [workspaces, plans] = files;
	if (!workspaces || !plans) {
		return createFailure(exitCodes.notFound, `${missing.join('\n')}\nnothing was applied`, {effect: 'none', files: missing});
	}

	if (workspaces.text.length + plans.text.length > largeListLength) {
		progress.report(`reading lists of ${((workspaces.text.length + plans.text.length) / 1_000_000).toFixed(1)} MB`);
	}

	const lists = parseLists(workspaces, plans);
	return lists.ok ? createOk(lists.value) : createFailure(exitCodes.invalidLists, renderProblems(lists.error), {effect: 'none', problems: lists.error});
};

/** Renders problems, one line each, as `file:line`, which editors recognise. */
export const renderProblems = (problems: readonly ValidationProblem[]): string => [
	...problems.map(({file, line, path: valuePath, message}) => `${file}:${line}: ${valuePath === '' ? '' : `${valuePath}: `}${message}`),
	`${problems.length} problem${problems.length === 1 ? '' : 's'}`,
].join('\n');
