import {createOk, type Result} from '@knapweedrack/core';
import type {ExplainSteps} from '../entries/entry-client.js';
import {queryEntries, renderFailed, type EntryAnswers} from '../entries/query-entries.js';
import {explainFromLogs} from '../logs/explain-from-logs.js';
import {fetchSessions} from '../fleet/sessions.js';
import {effects} from '../platform/platform-failure.js';
import type {CommandContext} from '../program/command-context.js';
import {createFailure, type CommandFailure, type CommandResult} from '../program/command-result.js';
import type {CommandInput, CommandSpec} from '../program/command-spec.js';
import {exitCodes} from '../program/exit-codes.js';

type Answers = EntryAnswers<ExplainSteps | undefined>;

const runExplain = async (context: CommandContext, {args, options}: CommandInput): Promise<CommandResult> => {
	const requestId = args[0]!;
	const files = options.log as string[] | undefined;
	if (files !== undefined) {
		return explainFromLogs(requestId, files);
	}

	if (context.settings.peerSecret.value === undefined) {
		return createFailure(exitCodes.usage, 'no peer secret is set: use --peer-secret-file, or "peerSecret" in the settings file');
	}

	const configured = context.settings.entries.value;
	const pendingAddresses = listSessionAddresses(context);
	const getListed = async (): Promise<string[]> => {
		const listed = await pendingAddresses;
		return listed.ok ? listed.value : [];
	};

	context.progress.update('querying the entries');
	const answers = await queryEntries(configured, getListed(), async address => context.entries.queryExplanation(address, requestId));
	const listed = await pendingAddresses;
	return listed.ok || configured.length > 0 ? describeAnswers(requestId, answers, listed) : listed;
};

/** Lists the peer addresses of the entries with a session; none when no platform is set and only the configured entries are queried. */
const listSessionAddresses = async (context: CommandContext): Promise<Result<string[], CommandFailure>> => {
	if (context.settings.platform.value === undefined && context.settings.entries.value.length > 0) {
		return createOk([]);
	}

	const access = context.openPlatform();
	if (!access.ok) {
		return access;
	}

	const sessions = await fetchSessions(access.value, effects.readOnly);
	return sessions.ok ? createOk(sessions.value.map(({record}) => record.peerAddress)) : sessions;
};

const describeAnswers = (requestId: string, {answered, failed}: Answers, listed: Result<unknown, CommandFailure>): CommandResult => {
	const found = answered.flatMap(({address, value}) => value && value.length > 0 ? [{address, steps: value}] : []);
	const data = {
		requestId, entries: found, asked: answered.length, failed,
	};
	const missing = failed.length > 0 ? `\n${failed.length} entries do not answer:\n${renderFailed(failed)}` : '';
	if (found.length > 0) {
		return createOk({text: `${found.map(({address, steps}) => renderSteps(address, steps)).join('\n')}${missing}`, data});
	}

	// Entries that could not be queried may know the request, so it is not reported as not found.
	const others = listed.ok ? missing : `${missing}\nother entries could not be listed: ${listed.error.message}`;
	return others !== '' || answered.length === 0
		? createFailure(exitCodes.unreachable, `request ${requestId} is not known to the ${answered.length} entries that answer; ${effects.readOnly}${others}`, data)
		: createFailure(exitCodes.notFound, `request ${requestId} is not known to any of ${answered.length} entries; they keep the latest requests only`, data);
};

const renderSteps = (address: string, steps: ExplainSteps): string => [
	`entry ${address}`,
	...steps.map(({step, detail}) => `  ${step}${Object.entries(detail).map(([name, value]) => ` ${name}=${JSON.stringify(value)}`).join('')}`),
].join('\n');

/** Shows the steps of one request, from the entries themselves or from their log files. */
export const explainCommand: CommandSpec = {
	words: ['explain'],
	description: 'show the steps of one request, by its x-request-id',
	args: [{name: '<request>', description: 'request id'}],
	options: [{flags: '--log <files...>', description: 'read the log files of entries or relay processes instead of querying the entries'}],
	run: runExplain,
};
