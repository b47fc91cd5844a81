import {stringify} from 'yaml';
import {createOk} from '@knapweedrack/core';
import type {ConfigurationLists} from '@knapweedrack/protocol';
import {applyConfiguration, type AppliedConfiguration} from '../configuration/apply-configuration.js';
import {
	describeChanges, mergeChunks, renderChanges,
} from '../configuration/diff-configuration.js';
import {computeApplyPlan, listPlanChanges} from '../configuration/plan-apply.js';
import {readLists} from '../configuration/read-lists.js';
import {fetchChunks, fetchManifest, type StoredManifest} from '../configuration/stored-manifest.js';
import {effects} from '../platform/platform-failure.js';
import type {CommandContext} from '../program/command-context.js';
import {createFailure, type CommandResult} from '../program/command-result.js';
import type {CommandInput, CommandSpec} from '../program/command-spec.js';
import {exitCodes} from '../program/exit-codes.js';
import {parseCount} from '../program/number-option.js';
import {renderRolloutCounts, waitForRollout} from '../rollout/wait-rollout.js';
import {getWaitMs, waitTimeoutOption} from './wait-options.js';

const directoryArgument = {name: '<dir>', description: 'directory with workspaces.yaml and plans.yaml'};

const runValidate = async ({progress}: CommandContext, {args}: CommandInput): Promise<CommandResult> => {
	const lists = await readLists(args[0]!, progress);
	return lists.ok ? createOk({text: `valid: ${describeLists(lists.value)}`, data: countLists(lists.value)}) : lists;
};

const runDiff = async (context: CommandContext, {args}: CommandInput): Promise<CommandResult> => {
	const lists = await readLists(args[0]!, context.progress);
	if (!lists.ok) {
		return lists;
	}

	const access = context.openPlatform();
	if (!access.ok) {
		return access;
	}

	const current = await fetchManifest(access.value, effects.readOnly);
	if (!current.ok) {
		return current;
	}

	const plan = computeApplyPlan(lists.value, current.value?.manifest);
	const replaced = await fetchChunks(access.value, plan.replacedHashes, effects.readOnly);
	if (!replaced.ok) {
		return replaced;
	}

	const changes = listPlanChanges(plan, replaced.value);
	const revision = current.value?.manifest.revision ?? 0;
	const text = changes.length === 0 ? `no difference from revision ${revision}` : `compared with revision ${revision}:\n${renderChanges(changes)}`;
	return createOk({text, data: {revision, changes}});
};

const runApply = async (context: CommandContext, input: CommandInput): Promise<CommandResult> => {
	const lists = await readLists(input.args[0]!, context.progress);
	if (!lists.ok) {
		return lists;
	}

	const access = context.openPlatform();
	if (!access.ok) {
		return access;
	}

	const applied = await applyConfiguration(access.value, {
		lists: lists.value, author: context.settings.author.value, expectedRevision: input.options.expect as number | undefined,
	}, context.progress);
	if (!applied.ok) {
		return applied;
	}

	const {revision} = applied.value;
	if (input.options.wait !== true) {
		return createOk({text: renderApplied(applied.value), data: {...applied.value}});
	}

	context.writeLine(renderApplied(applied.value));
	const entries = await waitForRollout({field: 'configurationRevision', revision, waitMs: getWaitMs(input)}, {...context, access: access.value});
	return entries.ok ? createOk({text: renderRolloutCounts(entries.value), data: {...applied.value, entries: entries.value}}) : entries;
};

const runShow = async (context: CommandContext): Promise<CommandResult> => {
	const access = context.openPlatform();
	if (!access.ok) {
		return access;
	}

	const current = await fetchManifest(access.value, effects.readOnly);
	if (!current.ok) {
		return current;
	}

	if (current.value === undefined) {
		return createFailure(exitCodes.notFound, 'no configuration has been applied yet');
	}

	const {manifest} = current.value;
	context.progress.update(`reading ${manifest.chunks.length} chunks of revision ${manifest.revision}`);
	const chunks = await fetchChunks(access.value, manifest.chunks, effects.readOnly);
	if (!chunks.ok) {
		return chunks;
	}

	const lists = mergeChunks(chunks.value);
	return createOk({
		text: renderShown(manifest, lists), data: {
			revision: manifest.revision, editId: manifest.editId, edits: manifest.edits, ...lists,
		},
	});
};

const countLists = ({plans, services, workspaces}: ConfigurationLists) => ({plans: plans.length, services: services.length, workspaces: workspaces.length});

const describeLists = (lists: ConfigurationLists): string => Object.entries(countLists(lists)).map(([kind, count]) => `${count} ${kind}`).join(', ');

const renderApplied = ({revision, editId, isChanged, changes, ...counts}: AppliedConfiguration): string => isChanged
	? `revision ${revision} (edit ${editId}): ${describeChanges(changes)}\n${counts.chunksWritten} of ${counts.chunks} chunks written, ${counts.bytesWritten} bytes`
	: `nothing to change: revision ${revision} has the same content`;

const renderShown = (manifest: StoredManifest, lists: ConfigurationLists): string => [
	`# revision ${manifest.revision}, edit ${manifest.editId}`,
	...manifest.edits.map(({revision, author, editId, summary}) => `# ${revision}: ${author}: ${summary} (edit ${editId})`),
	stringify(lists).trimEnd(),
].join('\n');

/** Commands for the configuration, which consists of the lists of workspaces and plans. */
export const configCommands: readonly CommandSpec[] = [
	{
		words: ['config', 'validate'], description: 'check both lists and print all problems; needs no platform', args: [directoryArgument], run: runValidate,
	},
	{
		words: ['config', 'diff'], description: 'compare both lists with the configuration in force', args: [directoryArgument], run: runDiff,
	},
	{
		words: ['config', 'apply'],
		description: 'apply both lists; nothing is applied when any part is invalid',
		args: [directoryArgument],
		options: [
			{flags: '--wait', description: 'wait until every live entry has the new revision in force'},
			waitTimeoutOption,
			{flags: '--expect <revision>', description: 'apply only on top of this revision, as shown by "config diff"', parse: parseCount},
		],
		run: runApply,
	},
	{words: ['config', 'show'], description: 'print the configuration in force and the latest edits', run: runShow},
];
