import type {Route} from '@knapweedrack/core';
import type {PlacedRequest} from '../placement/placement-task.js';
import type {KnownServer} from '../store-state/store-state-task.js';
import type {RelayServices} from './relay-services.js';

/** Lists the backend servers of all services of a route that the store and the servers themselves allow to be used. */
export const listUsableServers = ({storeState}: RelayServices, route: Route | undefined): KnownServer[] =>
	route?.targets.flatMap(({service}) => storeState.listUsableServers(service)) ?? [];

/** Time until the first of the servers accepts requests, in ms; undefined while one accepts them now or there is none. */
export const computeBackoffMs = ({serverNotices}: RelayServices, servers: readonly KnownServer[]): number | undefined => {
	const backoffMs = Math.min(...servers.map(server => serverNotices.getHold(server)?.leftMs ?? 0));
	return servers.length > 0 && backoffMs > 0 ? backoffMs : undefined;
};

/** False when a backend server of a placement has meanwhile asked for no requests, or must not get any for another reason. */
export const isPlacementUsable = ({storeState, serverNotices}: RelayServices, {server, helpers}: PlacedRequest): boolean =>
	[server, ...helpers].every(each => storeState.isUsable(each) && !serverNotices.isRefusingRequests(each));
