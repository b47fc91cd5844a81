import type {MinuteSummary} from '@knapweedrack/core';

/** Keys and key prefixes of the objects that this system keeps in the object API. */
export const objectKeys = {
	manifest: 'config/manifest',
	chunkPrefix: 'config/chunks/',
	availability: 'availability',
	sessionPrefix: 'sessions/',
	ownerPrefix: 'owners/',
	claimPrefix: 'claims/',
	quarantinePrefix: 'quarantine/',
	summaryPrefix: 'summaries/',
} as const;

/** Key of a summary, or of one part of it; the day is the UTC day in which the period starts. */
export const buildSummaryKey = ({entryId, epoch, sequence, from, part, parts}: Omit<MinuteSummary, 'workspaces'>): string =>
	`${objectKeys.summaryPrefix}${new Date(from).toISOString().slice(0, 10)}/${entryId}/${epoch}-${sequence}${parts === 1 ? '' : `-${part}`}`;
