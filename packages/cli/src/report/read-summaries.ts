import {readFirstTokenHistogram, summaryVersion, type MinuteSummary} from '@knapweedrack/core';
import {buildSummaryKey, minuteSummarySchema, type StoredObject} from '@knapweedrack/protocol';

/** Summaries that can be counted, and what is wrong with the others. */
export type ReadSummaries = {summaries: MinuteSummary[]; missing: string[]};

/** Reads the summary objects of a day; an object that is not a valid summary under its own key is listed as missing instead of being counted. */
export const readSummaries = (objects: readonly StoredObject[]): ReadSummaries => {
	const read: ReadSummaries = {summaries: [], missing: []};
	for (const object of objects) {
		const summary = minuteSummarySchema.safeParse(object.value).data;
		if (summary && buildSummaryKey(summary) === object.key && hasReadableHistograms(summary)) {
			read.summaries.push(summary);
		} else {
			read.missing.push(describeObject(object));
		}
	}

	return read;
};

const describeObject = ({key, value}: StoredObject): string => {
	const version = typeof value === 'object' && value !== null && 'version' in value ? value.version : undefined;
	return typeof version === 'number' && version !== summaryVersion
		? `${key} is a summary of version ${version}; this program reads version ${summaryVersion}`
		: `${key} is not a valid summary`;
};

const hasReadableHistograms = ({workspaces}: MinuteSummary): boolean => {
	try {
		return Object.values(workspaces)
			.flatMap(({classes}) => Object.values(classes))
			.every(classFigures => (readFirstTokenHistogram(classFigures)?.totalCount ?? 0) <= classFigures.requests);
	} catch {
		return false;
	}
};
