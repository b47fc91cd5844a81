import {readFile} from 'node:fs/promises';
import {createOk} from '@knapweedrack/core';
import {createFailure, type CommandResult} from '../program/command-result.js';
import {exitCodes} from '../program/exit-codes.js';
import {
	parseLogLines, renderRequestLog, selectRequestLog, type LogLine,
} from './request-log.js';

/** Explains a request from the log files of entries, without querying the entries. */
export const explainFromLogs = async (requestId: string, files: readonly string[]): Promise<CommandResult> => {
	const lines: LogLine[] = [];
	let unreadable = 0;
	for (const file of files) {
		let text: string;
		try {
			text = await readFile(file, 'utf8');
		} catch (error) {
			return createFailure(exitCodes.usage, `${file} cannot be read: ${(error as Error).message}`);
		}

		const parsed = parseLogLines(text);
		lines.push(...parsed.lines);
		unreadable += parsed.unreadable;
	}

	const requestLog = selectRequestLog(lines, requestId);
	const omitted = lines.filter(({event}) => event === 'log.omitted').length;
	const data = {
		requestId, ...requestLog, read: lines.length, unreadable, omitted,
	};
	const warnings = [
		...(unreadable > 0 ? [`${unreadable} lines could not be read`] : []),
		...(omitted > 0 ? [`log lines were omitted in ${omitted} seconds under load`] : []),
	].map(warning => `\n${warning}`).join('');
	return requestLog.lines.length > 0
		? createOk({text: renderRequestLog(requestLog) + warnings, data})
		: createFailure(exitCodes.notFound, `request ${requestId} does not occur in ${lines.length} log lines${warnings}`, data);
};
