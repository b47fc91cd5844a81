import {
	buildDayReport, createOk, type DayReport, type MinuteSummary, type Result,
} from '@knapweedrack/core';
import {objectKeys, type ConfigurationLists} from '@knapweedrack/protocol';
import {fetchAvailability} from '../availability/stored-availability.js';
import {mergeChunks} from '../configuration/diff-configuration.js';
import {fetchChunks, fetchManifest} from '../configuration/stored-manifest.js';
import {fetchSessions, type ObservedSession} from '../fleet/sessions.js';
import type {PlatformAccess} from '../platform/platform-access.js';
import {createReadFailure, effects} from '../platform/platform-failure.js';
import type {CommandFailure} from '../program/command-result.js';
import {exitCodes} from '../program/exit-codes.js';
import {readSummaries} from './read-summaries.js';
import type {ReportPeriod} from './report-period.js';

/** The report of a day and the other data that the page shows. */
export type ReportPage = {
	report: DayReport;
	period: ReportPeriod;
	hasFigures: boolean;
	/** Failure domains out of service when the page was made; the availability object does not record since when. */
	domainsOut: string[];
};

/** Fetches the data of a day and builds its report; fails only when the platform cannot be reached or the summaries cannot be listed. Other failures are listed as missing data. */
export const fetchDay = async (access: PlatformAccess, period: ReportPeriod): Promise<Result<ReportPage, CommandFailure>> => {
	const [listed, lists, availability, sessions] = await Promise.all([
		access.list(`${objectKeys.summaryPrefix}${period.day}/`),
		fetchLists(access),
		fetchAvailability(access, effects.readOnly),
		fetchSessions(access, effects.readOnly),
	]);
	if (!listed.ok) {
		return createReadFailure(access, listed.error, effects.readOnly);
	}

	const outage = [lists, availability, sessions].find(result => !result.ok && result.error.exitCode === exitCodes.unreachable);
	if (outage) {
		return outage as {ok: false; error: CommandFailure};
	}

	const {summaries, missing} = readSummaries(listed.value.items);
	const failures = [lists, availability, sessions].flatMap(result => result.ok ? [] : [result.error.message]);
	const {workspaces, plans} = lists.ok ? lists.value : {workspaces: [], plans: []};
	const isConfigured = !lists.ok || workspaces.length > 0;
	const report = buildDayReport({
		...period, summaries, workspaces, plans, missing: [...missing, ...failures, ...(isConfigured ? [] : ['no workspaces and plans: no configuration has been applied'])],
		sessions: listSessions(sessions.ok ? sessions.value : [], summaries, period),
	});
	const domains = availability.ok ? Object.entries(availability.value.availability.failureDomains) : [];
	return createOk({
		report, period, hasFigures: summaries.length > 0, domainsOut: domains.filter(([, state]) => state === 'out_of_service').map(([name]) => name).sort(),
	});
};

const fetchLists = async (access: PlatformAccess): Promise<Result<Pick<ConfigurationLists, 'workspaces' | 'plans'>, CommandFailure>> => {
	const manifest = await fetchManifest(access, effects.readOnly);
	if (!manifest.ok) {
		return manifest;
	}

	const chunks = await fetchChunks(access, manifest.value?.manifest.chunks ?? [], effects.readOnly);
	return chunks.ok ? createOk(mergeChunks(chunks.value)) : chunks;
};

/**
 * Lists the processes that have a session but no summary yet. A session only shows that an entry serves now, so sessions are
 * used for a day in progress only. Their start is not recorded: such a process counts as serving since the last summary of the
 * entry's previous process, or since the start of the day.
 */
const listSessions = (sessions: readonly ObservedSession[], summaries: readonly MinuteSummary[], period: ReportPeriod) =>
	(period.isInProgress ? sessions : []).filter(({record}) => summaries.every(({epoch}) => epoch !== record.epoch)).map(({record: {entryId, epoch}}) => ({
		entryId, epoch, from: Math.max(period.from, ...summaries.filter(summary => summary.entryId === entryId).map(({to}) => to)),
	}));
