import {createOk, serviceStates, type ServiceState} from '@knapweedrack/core';
import {updateAvailability, describeChange, type AvailabilityChange} from '../availability/update-availability.js';
import type {StoredAvailability} from '../availability/stored-availability.js';
import {fetchFleet, type Fleet} from '../fleet/fetch-fleet.js';
import {
	buildDomainViews, buildInstanceViews, renderDomains, renderInstances,
} from '../fleet/fleet-view.js';
import {renderEdits} from '../platform/edit-record.js';
import type {CommandContext} from '../program/command-context.js';
import {createFailure, type CommandResult} from '../program/command-result.js';
import type {CommandInput, CommandSpec} from '../program/command-spec.js';
import {exitCodes} from '../program/exit-codes.js';
import {renderRolloutCounts, waitForRollout} from '../rollout/wait-rollout.js';
import {getWaitMs, waitTimeoutOption} from './wait-options.js';

type Target = AvailabilityChange['target'];

const createEditRunner = (target: Target, state: ServiceState) => async (context: CommandContext, input: CommandInput): Promise<CommandResult> => {
	const access = context.openPlatform();
	if (!access.ok) {
		return access;
	}

	const change: AvailabilityChange = {
		target, state, name: input.args[0]!, author: context.settings.author.value,
	};
	const edited = await updateAvailability(access.value, change, context.progress);
	if (!edited.ok) {
		return edited;
	}

	const {availability, isChanged, lostRaces} = edited.value;
	const data = {
		revision: availability.revision, editId: availability.editId, isChanged, lostRaces,
	};
	const text = `${describeChange(change)}: ${isChanged ? 'changed' : 'already in this state'}, availability revision ${availability.revision}`;
	if (input.options.wait === false) {
		return createOk({text, data});
	}

	context.writeLine(text);
	const entries = await waitForRollout({field: 'availabilityRevision', revision: availability.revision, waitMs: getWaitMs(input)}, {...context, access: access.value});
	return entries.ok ? createOk({text: renderRolloutCounts(entries.value), data: {...data, entries: entries.value}}) : entries;
};

const loadFleet = async (context: CommandContext) => {
	const access = context.openPlatform();
	return access.ok ? fetchFleet(access.value) : access;
};

const runDomainStatus = async (context: CommandContext): Promise<CommandResult> => {
	const fleet = await loadFleet(context);
	if (!fleet.ok) {
		return fleet;
	}

	const domains = buildDomainViews(fleet.value.instances, fleet.value.availability);
	return createOk({
		text: [renderDomains(domains), renderRevision(fleet.value)].join('\n\n'),
		data: {...selectAvailability(fleet.value.availability), failureDomains: domains, entries: fleet.value.entries},
	});
};

const runInstanceStatus = async (context: CommandContext, {args}: CommandInput): Promise<CommandResult> => {
	const fleet = await loadFleet(context);
	if (!fleet.ok) {
		return fleet;
	}

	const id = args[0];
	const instances = buildInstanceViews(fleet.value.instances, fleet.value.availability).filter(view => id === undefined || view.id === id);
	if (id !== undefined && instances.length === 0) {
		return createFailure(exitCodes.notFound, `instance ${id} is neither in the instance list nor out of service`);
	}

	return createOk({
		text: [renderInstances(instances), renderRevision(fleet.value)].join('\n\n'),
		data: {...selectAvailability(fleet.value.availability), instances},
	});
};

const renderRevision = ({availability, entries}: Fleet): string => {
	const count = entries.filter(entry => entry.availabilityRevision >= availability.revision).length;
	return [
		`availability revision ${availability.revision}; ${count} of ${entries.length} entries with a session have it`,
		...(availability.edits.length > 0 ? ['latest edits:', renderEdits(availability.edits.slice(0, shownEditLimit))] : []),
	].join('\n');
};

const shownEditLimit = 5;

const selectAvailability = ({revision, editId, edits}: StoredAvailability) => ({revision, editId, edits});

const editOptions = [{flags: '--no-wait', description: 'do not wait for the entries'}, waitTimeoutOption];

const createEditCommands = (target: Target, argument: {name: string; description: string}): CommandSpec[] => [
	{
		words: [target, 'drain'],
		description: `take ${argument.description} out of service and show how many entries have the change`,
		args: [argument],
		options: editOptions,
		run: createEditRunner(target, serviceStates.outOfService),
	},
	{
		words: [target, 'restore'],
		description: `return ${argument.description} to service and show how many entries have the change`,
		args: [argument],
		options: editOptions,
		run: createEditRunner(target, serviceStates.inService),
	},
];

/** Commands for failure domains. */
export const domainCommands: readonly CommandSpec[] = [
	...createEditCommands('domain', {name: '<name>', description: 'a failure domain'}),
	{words: ['domain', 'status'], description: 'show all failure domains', run: runDomainStatus},
];

/** Commands for instances. */
export const instanceCommands: readonly CommandSpec[] = [
	...createEditCommands('instance', {name: '<id>', description: 'an instance'}),
	{
		words: ['instance', 'status'], description: 'show one instance or all of them', args: [{name: '[id]', description: 'instance to show'}], run: runInstanceStatus,
	},
];
