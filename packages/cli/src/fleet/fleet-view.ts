import {
	getDomainState, getInstanceState, isInService, type Availability, type ServiceState, type SessionRecord,
} from '@knapweedrack/core';
import type {ListedInstance} from '@knapweedrack/protocol';
import {renderTable} from '../program/render-table.js';

/** One failure domain as operators see it. */
export type DomainView = {
	failureDomain: string;
	state: ServiceState;
	/** Live instances in service, by kind; `listed` counts all instances of the domain. */
	entries: number;
	engines: number;
	services: number;
	listed: number;
	/** Instances that were taken out of service individually. */
	instancesOutOfService: number;
};

/** One instance as operators see it. */
export type InstanceView = {
	id: string;
	kind: ListedInstance['kind'] | 'unknown';
	failureDomain: string;
	serves: string;
	listed: ListedInstance['state'] | 'not_listed';
	/** State set for the instance itself. */
	state: ServiceState;
	/** State of its failure domain. */
	domainState: ServiceState;
};

/** An entry as its session object shows it. */
export type EntryView = Pick<SessionRecord, 'entryId' | 'failureDomain' | 'state' | 'configurationRevision' | 'availabilityRevision' | 'peerAddress'>;

/** Builds one view per failure domain, in the order of their names. */
export const buildDomainViews = (instances: readonly ListedInstance[], availability: Availability): DomainView[] => {
	const names = new Set([...instances.map(({failureDomain}) => failureDomain), ...Object.keys(availability.failureDomains)]);
	return [...names].sort(compareText).map(failureDomain => {
		const members = instances.filter(instance => instance.failureDomain === failureDomain);
		const serving = members.filter(instance => instance.state === 'live' && isInService(availability, instance));
		const count = (kind: ListedInstance['kind']): number => serving.filter(instance => instance.kind === kind).length;
		return {
			failureDomain,
			state: getDomainState(availability, failureDomain),
			entries: count('entry'),
			engines: count('engine'),
			services: count('service'),
			listed: members.length,
			instancesOutOfService: members.filter(({id}) => getInstanceState(availability, id) !== 'in_service').length,
		};
	});
};

/** Builds one view per instance; instances out of service that are no longer listed are included. */
export const buildInstanceViews = (instances: readonly ListedInstance[], availability: Availability): InstanceView[] => {
	const listed = instances.map(({id, kind, failureDomain, serves, state}): InstanceView => ({
		id, kind, failureDomain, serves, listed: state, state: getInstanceState(availability, id), domainState: getDomainState(availability, failureDomain),
	}));
	const ids = new Set(instances.map(({id}) => id));
	const others = Object.entries(availability.instances).filter(([id]) => !ids.has(id)).map(([id, state]): InstanceView => ({
		id, kind: 'unknown', failureDomain: '', serves: '', listed: 'not_listed', state, domainState: 'in_service',
	}));
	return [...listed, ...others].sort((left, right) => compareText(left.id, right.id));
};

/** Renders failure domains as a table. */
export const renderDomains = (views: readonly DomainView[]): string => renderTable(
	['failure domain', 'state', 'entries', 'engines', 'services', 'listed', 'instances out'],
	views.map(view => [
		view.failureDomain, view.state, String(view.entries), String(view.engines), String(view.services), String(view.listed), String(view.instancesOutOfService),
	]),
);

/** Renders instances as a table. */
export const renderInstances = (views: readonly InstanceView[]): string => renderTable(
	['instance', 'kind', 'failure domain', 'serves', 'listed', 'state', 'domain state'],
	views.map(view => [view.id, view.kind, view.failureDomain, view.serves, view.listed, view.state, view.domainState]),
);

/** Renders entries with their revisions as a table. */
export const renderEntries = (views: readonly EntryView[]): string => renderTable(
	['entry', 'failure domain', 'state', 'configuration', 'availability'],
	views.map(view => [view.entryId, view.failureDomain, view.state, String(view.configurationRevision), String(view.availabilityRevision)]),
);

/** Selects the shown fields of a session. */
export const toEntryView = ({entryId, failureDomain, state, configurationRevision, availabilityRevision, peerAddress}: SessionRecord): EntryView => ({
	entryId, failureDomain, state, configurationRevision, availabilityRevision, peerAddress,
});

const compareText = (left: string, right: string): number => left < right ? -1 : 1;
