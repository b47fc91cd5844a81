import type {BackendServerDescription} from '../types/backend-server.js';

/** State that a backend server reported about itself. */
export type ReportedState = {
	bootId: string;
	state: 'live' | 'leaving';
};

/**
 * Merges the lagging instance list with the servers' own reports. A server is leaving as soon as either says so;
 * a report of a new boot replaces the former report, and a server that the list does not name is gone.
 */
export const mergeBackendServers = (
	listed: readonly BackendServerDescription[],
	reports: ReadonlyMap<string, ReportedState>,
): BackendServerDescription[] => listed.map(server => {
	const isLeaving = server.state === 'leaving' || reports.get(server.id)?.state === 'leaving';
	return {...server, state: isLeaving ? 'leaving' : 'live'};
});
