import {writeFile} from 'node:fs/promises';
import {createOk} from '@knapweedrack/core';
import type {CommandContext} from '../program/command-context.js';
import {createFailure, type CommandResult} from '../program/command-result.js';
import type {CommandInput, CommandSpec} from '../program/command-spec.js';
import {exitCodes, type ExitCode} from '../program/exit-codes.js';
import {fetchDay, type ReportPage} from './fetch-day.js';
import {renderReportHtml} from './render-html.js';
import {renderReportText} from './render-text.js';
import {parseReportPeriod} from './report-period.js';

const runReport = async (context: CommandContext, {args, options}: CommandInput): Promise<CommandResult> => {
	const period = parseReportPeriod(args[0]!, Date.now());
	if (!period) {
		return createFailure(exitCodes.usage, `${JSON.stringify(args[0])} is not a day: expected YYYY-MM-DD`);
	}

	const access = context.openPlatform();
	if (!access.ok) {
		return access;
	}

	context.progress.update(`reading the summaries of ${period.day}`);
	const page = await fetchDay(access.value, period);
	if (!page.ok) {
		return page;
	}

	const file = options.html as string | undefined;
	if (file !== undefined) {
		try {
			await writeFile(file, renderReportHtml(page.value));
		} catch (error) {
			return createFailure(exitCodes.failure, `${file} cannot be written: ${(error as Error).message}`);
		}
	}

	const {report, domainsOut} = page.value;
	return createOk({
		text: renderReportText(page.value),
		data: {
			...report, from: period.from, to: period.to, domainsOutOfServiceNow: domainsOut,
		},
		exitCode: selectExitCode(page.value),
	});
};

/** The exit code only shows whether figures are missing; the report of a day that did not go well is still complete. */
const selectExitCode = ({report, hasFigures}: ReportPage): ExitCode => {
	if (report.gaps.length > 0 || report.missing.length > 0) {
		return exitCodes.incomplete;
	}

	return hasFigures ? exitCodes.success : exitCodes.notFound;
};

/** Reports one day: whether it went well for each workspace. */
export const reportCommand: CommandSpec = {
	words: ['report'],
	description: 'show whether a day went well for each workspace',
	args: [{name: '<day>', description: 'UTC day as YYYY-MM-DD'}],
	options: [{flags: '--html <file>', description: 'also write the report as one page for browser and printer'}],
	help: 'The exit code is 0 when all figures are present, whether or not the day went well; --json has the field wentWell.',
	run: runReport,
};
