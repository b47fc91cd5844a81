import {readFile} from 'node:fs/promises';
import {createError, createOk} from '@knapweedrack/core';
import {parseSettings, type ProcessSettings, type ValidationProblem} from '@knapweedrack/protocol';
import type {StartResult} from '../contracts.js';
import {exitCodes} from './exit-codes.js';

/** Reads and validates a settings file; the message of a failure lists all problems. */
export const loadSettings = async (file: string): Promise<StartResult<ProcessSettings>> => {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		return createError({exitCode: exitCodes.settings, message: `cannot read ${file}: ${(error as Error).message}`});
	}

	const result = parseSettings({file, text});
	return result.ok ? createOk(result.value) : createError({exitCode: exitCodes.settings, message: result.error.map(problem => formatProblem(problem)).join('\n')});
};

const formatProblem = ({file, line, path, message}: ValidationProblem): string => `${file}:${line}: ${path}: ${message}`;
