import {
	isInService, mergeBackendServers, selectAdvertisedEntries, type TextHash32,
} from '@knapweedrack/core';
import type {AdmissionTask} from '../admission/admission-task.js';
import type {AvailabilityTask} from '../configuration/availability-task.js';
import type {EntryServices} from '../contracts.js';
import type {MembershipTask} from '../membership/membership-task.js';
import type {OwnershipTask} from '../ownership/ownership-task.js';

/** Time for which a caller may cache the entry list; below the 3 s after which a failure domain out of service must receive no new work. */
export const entryListKeepMs = 2000;
const entryLimit = 8;

/** Tasks that the directory reads, and the hash of the entry order. */
export type DirectoryOptions = {
	membership: MembershipTask;
	ownership: OwnershipTask;
	availability: AvailabilityTask;
	admission: AdmissionTask;
	hash: TextHash32;
};

/** Creates the lists of entries and backend servers for request tasks. */
export const createEntryDirectory = ({membership, ownership, availability, admission, hash}: DirectoryOptions): EntryServices['membership'] => ({
	listEntries(model, workspaceId) {
		const entries = selectAdvertisedEntries({
			sessions: membership.listLiveSessions(),
			availability: availability.availability,
			ownedServers: ownership.countOwned(model),
			spreadKey: workspaceId ?? '',
			hash,
			limit: entryLimit,
		});
		return {
			entries: entries.map(({entryId, callerAddress, failureDomain}) => ({entryId, address: callerAddress, failureDomain})),
			revision: availability.availability.revision,
			keepMs: entryListKeepMs,
		};
	},
	listBackendServers: serves => mergeBackendServers(membership.servers, admission.listReports())
		.filter(server => server.serves === serves && server.state === 'live' && isInService(availability.availability, server)),
	isStopping: () => membership.isStopping,
});
