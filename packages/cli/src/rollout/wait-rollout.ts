import {setTimeout as wait} from 'node:timers/promises';
import {createOk, type Result} from '@knapweedrack/core';
import type {EntryPool} from '../entries/entry-pool.js';
import {fetchSessions} from '../fleet/sessions.js';
import type {PlatformAccess} from '../platform/platform-access.js';
import {createFailure, type CommandFailure} from '../program/command-result.js';
import {exitCodes} from '../program/exit-codes.js';
import type {Progress} from '../program/progress.js';
import {RolloutTracker, type RevisionField, type RolloutEntry} from './rollout-tracker.js';

/** A rollout to wait for. */
export type RolloutRequest = {
	field: RevisionField;
	revision: number;
	/** Longest wait in ms. */
	waitMs: number;
};

/** Connections and outputs that the wait for a rollout uses. */
export type RolloutContext = {
	access: PlatformAccess;
	entries: EntryPool;
	progress: Progress;
	writeLine: (line: string) => void;
};

/** A list of 350 sessions is about 100 KB, so at this period one command reads about 0.2 MB/s. */
const pollIntervalMs = 500;

/** If more entries are waiting, only their session objects are read, which are renewed every 2 s. Querying so many is too costly, because a status answer grows with the fleet. */
const queriedEntryLimit = 32;

/** Waits until every live entry has a revision in force and prints each entry when it does. */
export const waitForRollout = async (request: RolloutRequest, context: RolloutContext): Promise<Result<RolloutEntry[], CommandFailure>> => {
	const startedAt = performance.now();
	const tracker = new RolloutTracker(request.field, request.revision, startedAt);
	const effect = `the change took effect as revision ${request.revision}`;
	for (;;) {
		const sessions = await fetchSessions(context.access, `${effect}, but it could not be confirmed for all entries`);
		if (!sessions.ok) {
			return createFailure(sessions.error.exitCode, sessions.error.message, {effect: 'applied', revision: request.revision, entries: tracker.listEntries(performance.now())});
		}

		writeEntriesInForce(tracker.acceptSessions(sessions.value, performance.now()), context);
		await queryEntryStatuses(tracker, request.field, context);
		const entries = tracker.listEntries(performance.now());
		if (tracker.isDone(performance.now())) {
			return createOk(entries);
		}

		if (performance.now() - startedAt > request.waitMs) {
			const message = `${effect}, but is not in force at all entries after ${request.waitMs / 1000} s: ${renderRolloutCounts(entries)}; missing at ${listWaiting(entries)}`;
			return createFailure(exitCodes.failure, message, {effect: 'applied', revision: request.revision, entries});
		}

		context.progress.update(`waiting for entries: ${renderRolloutCounts(entries)}`);
		await wait(pollIntervalMs);
	}
};

/** Renders how many entries have a revision, for example "5 of 7 entries have it, 1 lapsed". */
export const renderRolloutCounts = (entries: readonly RolloutEntry[]): string => {
	const count = (state: RolloutEntry['state']): number => entries.filter(entry => entry.state === state).length;
	const others = (['lapsed', 'stopping'] as const).flatMap(state => count(state) > 0 ? [`, ${count(state)} ${state}`] : []);
	return `${count('in_force')} of ${count('in_force') + count('waiting')} entries have it${others.join('')}`;
};

const listWaiting = (entries: readonly RolloutEntry[]): string => entries.filter(({state}) => state === 'waiting').map(({entryId}) => entryId).join(', ');

const writeEntriesInForce = (entries: readonly RolloutEntry[], {writeLine}: RolloutContext): void => {
	for (const {entryId, failureDomain, revision, afterMs} of entries) {
		writeLine(`${entryId} (${failureDomain}): revision ${revision} in force after ${((afterMs ?? 0) / 1000).toFixed(1)} s`);
	}
};

const queryEntryStatuses = async (tracker: RolloutTracker, field: RevisionField, context: RolloutContext): Promise<void> => {
	const waiting = tracker.listEntries(performance.now()).filter(({state}) => state === 'waiting');
	if (waiting.length > queriedEntryLimit) {
		return;
	}

	await Promise.all(waiting.map(async ({entryId, peerAddress}) => {
		const status = await context.entries.getStatus(peerAddress);
		if (status.ok) {
			writeEntriesInForce(tracker.acceptStatus(entryId, status.value[field] ?? 0, performance.now()), context);
		}
	}));
};
