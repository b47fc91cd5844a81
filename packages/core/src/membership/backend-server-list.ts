import type {BackendServerDescription} from '../types/backend-server.js';

/** State that a backend server reported about itself. */
export type ReportedState = {
	bootId: string;
	state: 'live' | 'leaving';
};

/**
 * Merges the lagging instance list with the latest report of each server. A server is leaving as soon as the list or
 * its report says so. `reports` has one report per server id, so the report of a new boot replaces the former one. A
 * server that the list does not name is omitted.
 */
export const mergeBackendServers = (
	listed: readonly BackendServerDescription[],
	reports: ReadonlyMap<string, ReportedState>,
): BackendServerDescription[] => listed.map(server => {
	const isLeaving = server.state === 'leaving' || reports.get(server.id)?.state === 'leaving';
	return {...server, state: isLeaving ? 'leaving' : 'live'};
});
