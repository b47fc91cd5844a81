/** Keys of the project's objects in the object API. */
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
