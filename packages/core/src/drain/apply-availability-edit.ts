import {serviceStates, type Availability, type ServiceState} from '../types/configuration.js';
import {createError, createOk, type Result} from '../types/result.js';

/** The facts about an instance that decide whether an availability edit is accepted. */
export type DrainInstance = {
	id: string;
	failureDomain: string;
	/** Only entries keep the system reachable, so all backend servers may be taken out of service. */
	isEntry: boolean;
	isLive: boolean;
};

/** Takes a failure domain out of service or returns it to service. */
export type DomainEdit = {
	editId: string;
	failureDomain: string;
	state: ServiceState;
	/** All instances that the platform lists. */
	instances: readonly DrainInstance[];
};

/** Takes one instance out of service or returns it to service. */
export type InstanceEdit = {
	editId: string;
	instanceId: string;
	state: ServiceState;
	/** All instances that the platform lists. */
	instances: readonly DrainInstance[];
};

/** Error code and message of a refused edit. */
export type DrainRefusal = {
	code: 'unknown_failure_domain' | 'unknown_instance' | 'last_serving_failure_domain' | 'last_serving_instance';
	message: string;
};

/** Availability before the first edit, with everything in service. */
export const initialAvailability: Availability = {
	revision: 0, editId: '', failureDomains: {}, instances: {},
};

/**
 * Applies an edit of a failure domain. Refuses unknown names and an edit that leaves no entry in service.
 * An edit that changes nothing returns the same object, so that a repeated edit causes no write.
 */
export const applyDomainEdit = (availability: Availability, edit: DomainEdit): Result<Availability, DrainRefusal> => {
	const {failureDomain} = edit;
	const isKnown = edit.instances.some(instance => instance.failureDomain === failureDomain);
	if (!isKnown && availability.failureDomains[failureDomain] === undefined) {
		return createError({code: 'unknown_failure_domain', message: `failure domain ${failureDomain} is neither in the instance list nor out of service`});
	}

	if (getDomainState(availability, failureDomain) === edit.state) {
		return createOk(availability);
	}

	const failureDomains = updateState(availability.failureDomains, failureDomain, edit.state);
	const edited = createRevision(availability, edit.editId, {failureDomains});
	if (edit.state === serviceStates.outOfService && !hasServingEntry(edited, edit.instances)) {
		return createError({code: 'last_serving_failure_domain', message: `failure domain ${failureDomain} is the last one with an entry in service`});
	}

	return createOk(edited);
};

/**
 * Applies an edit of one instance with the rules of `applyDomainEdit`, except that an instance may be taken out of service
 * when no entry is in service anyway.
 */
export const applyInstanceEdit = (availability: Availability, edit: InstanceEdit): Result<Availability, DrainRefusal> => {
	const {instanceId} = edit;
	const isKnown = edit.instances.some(instance => instance.id === instanceId);
	if (!isKnown && availability.instances[instanceId] === undefined) {
		return createError({code: 'unknown_instance', message: `instance ${instanceId} is neither in the instance list nor out of service`});
	}

	if (getInstanceState(availability, instanceId) === edit.state) {
		return createOk(availability);
	}

	const instances = updateState(availability.instances, instanceId, edit.state);
	const edited = createRevision(availability, edit.editId, {instances});
	const isServing = hasServingEntry(availability, edit.instances);
	if (edit.state === serviceStates.outOfService && isServing && !hasServingEntry(edited, edit.instances)) {
		return createError({code: 'last_serving_instance', message: `instance ${instanceId} is the last entry in service`});
	}

	return createOk(edited);
};

/** Service state of a failure domain; in service unless an edit took it out of service. */
export const getDomainState = (availability: Availability, failureDomain: string): ServiceState =>
	availability.failureDomains[failureDomain] ?? serviceStates.inService;

/** Service state of the instance itself, regardless of its failure domain. */
export const getInstanceState = (availability: Availability, instanceId: string): ServiceState =>
	availability.instances[instanceId] ?? serviceStates.inService;

/** True when neither the instance nor its failure domain is out of service. */
export const isInService = (availability: Availability, instance: {id: string; failureDomain: string}): boolean =>
	getDomainState(availability, instance.failureDomain) === serviceStates.inService
	&& getInstanceState(availability, instance.id) === serviceStates.inService;

const hasServingEntry = (availability: Availability, instances: readonly DrainInstance[]): boolean =>
	instances.some(instance => instance.isEntry && instance.isLive && isInService(availability, instance));

const createRevision = (availability: Availability, editId: string, change: Partial<Availability>): Availability => ({
	...availability, ...change, revision: availability.revision + 1, editId,
});

/** Stores only names that are out of service, so that the object does not grow with every edit. */
const updateState = (states: Record<string, ServiceState>, key: string, state: ServiceState): Record<string, ServiceState> => {
	const others = Object.entries(states).filter(([other]) => other !== key);
	return Object.fromEntries(state === serviceStates.inService ? others : [...others, [key, state]]);
};
