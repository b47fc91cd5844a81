import {createOk, type Result} from '@knapweedrack/core';
import {fetchManifest, type StoredManifest} from '../configuration/stored-manifest.js';
import type {EntryStatus} from '../entries/entry-client.js';
import {queryEntries, renderFailed, type EntryAnswers} from '../entries/query-entries.js';
import {fetchFleet, type Fleet} from '../fleet/fetch-fleet.js';
import {
	buildDomainViews, renderDomains, renderEntries,
} from '../fleet/fleet-view.js';
import {effects} from '../platform/platform-failure.js';
import type {CommandContext} from '../program/command-context.js';
import {createFailure, type CommandFailure, type CommandResult} from '../program/command-result.js';
import type {CommandSpec} from '../program/command-spec.js';
import {renderTable} from '../program/render-table.js';

type Answers = EntryAnswers<EntryStatus>;

const runStatus = async (context: CommandContext): Promise<CommandResult> => {
	const access = context.openPlatform();
	if (!access.ok) {
		return access;
	}

	const pendingFleet = fetchFleet(access.value);
	const [fleet, manifest, answers] = await Promise.all([pendingFleet, fetchManifest(access.value, effects.readOnly), queryEntryStatuses(context, pendingFleet)]);
	if (!fleet.ok || !manifest.ok) {
		return describeOutage(fleet.ok ? (manifest as {error: CommandFailure}).error : fleet.error, answers);
	}

	return createOk({
		text: renderStatus(fleet.value, manifest.value?.manifest, answers),
		data: {
			configuration: manifest.value ? {revision: manifest.value.manifest.revision, edits: manifest.value.manifest.edits} : null,
			availability: fleet.value.availability,
			failureDomains: buildDomainViews(fleet.value.instances, fleet.value.availability),
			entries: fleet.value.entries,
			answers,
		},
	});
};

/** Describes an outage of the platform. Entries keep serving without the object API, so their own answers are shown. */
const describeOutage = (failure: CommandFailure, answers: Answers): CommandResult => {
	const entries = answers.answered.length + answers.failed.length === 0
		? 'no entry was queried: set "entries" and "peerSecret" to see the entries during an outage'
		: `${answers.answered.length} of ${answers.answered.length + answers.failed.length} configured entries answer\n${renderAnswers(answers)}`;
	return createFailure(failure.exitCode, `${failure.message}\n${entries}`, {...failure.data, answers});
};

const queryEntryStatuses = async ({entries, settings}: CommandContext, pendingFleet: Promise<Result<Fleet, unknown>>): Promise<Answers> => {
	if (settings.peerSecret.value === undefined) {
		return {answered: [], failed: []};
	}

	const listAddresses = async (): Promise<string[]> => {
		const fleet = await pendingFleet;
		return fleet.ok ? fleet.value.entries.map(({peerAddress}) => peerAddress) : [];
	};

	return queryEntries(settings.entries.value, listAddresses(), async address => entries.getStatus(address));
};

const renderStatus = ({instances, availability, entries}: Fleet, manifest: StoredManifest | undefined, answers: Answers): string => {
	const edit = manifest?.edits[0];
	return [
		manifest ? `configuration revision ${manifest.revision}${edit ? ` by ${edit.author}: ${edit.summary}` : ''}` : 'no configuration has been applied yet',
		`availability revision ${availability.revision}`,
		'',
		renderDomains(buildDomainViews(instances, availability)),
		'',
		renderEntries(entries),
		...(answers.answered.length + answers.failed.length === 0 ? [] : ['', renderAnswers(answers)]),
	].join('\n');
};

const renderAnswers = ({answered, failed}: Answers): string => [
	renderTable(['address', 'entry', 'state', 'configuration', 'availability', 'reaches platform', 'configuration confirmed'], answered.map(({address, value}) => [
		address, value.entryId, value.state, value.configurationRevision, value.availabilityRevision, value.reachesStore, value.isConfigurationFresh,
	].map(cell => String(cell ?? '')))),
	...(failed.length > 0 ? [`${failed.length} entries do not answer:`, renderFailed(failed)] : []),
].join('\n');

/** Shows revisions, failure domains and entries. */
export const statusCommand: CommandSpec = {words: ['status'], description: 'show revisions, failure domains and entries', run: runStatus};
