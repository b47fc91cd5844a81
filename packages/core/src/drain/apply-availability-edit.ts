import {serviceStates, type Availability, type ServiceState} from '../types/configuration.js';
import {createError, createOk, type Result} from '../types/result.js';

/** An entry instance as far as it matters for drains. */
export type DrainInstance = {
	id: string;
	failureDomain: string;
	/** Only entries keep the system reachable; backend servers may all leave. */
	isEntry: boolean;
	isLive: boolean;
};

/** Takes a failure domain out of service or returns it. */
export type DomainEdit = {
	editId: string;
	failureDomain: string;
	state: ServiceState;
	/** Instances known to the platform. */
	instances: readonly DrainInstance[];
};

/** Takes one instance out of service or returns it. */
export type InstanceEdit = {
	editId: string;
	instanceId: string;
	state: ServiceState;
	/** Instances known to the platform. */
	instances: readonly DrainInstance[];
};

/** Why an edit is refused. */
export type DrainRefusal = {
	code: 'unknown_failure_domain' | 'unknown_instance' | 'last_serving_failure_domain' | 'last_serving_instance';
	message: string;
};

/** Availability before the first edit. */
export const initialAvailability: Availability = {
	revision: 0, editId: '', failureDomains: {}, instances: {},
};

/**
 * Applies an edit of a failure domain. An edit that changes nothing returns the same object,
 * so that a repeated edit causes no write.
 */
export const applyDomainEdit = (availability: Availability, edit: DomainEdit): Result<Availability, DrainRefusal> => {
	const {failureDomain} = edit;
	const known = edit.instances.some(instance => instance.failureDomain === failureDomain);
	if (!known && availability.failureDomains[failureDomain] === undefined) {
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

/** Applies an edit of one instance, with the same rules as `applyDomainEdit`. */
export const applyInstanceEdit = (availability: Availability, edit: InstanceEdit): Result<Availability, DrainRefusal> => {
	const {instanceId} = edit;
	const known = edit.instances.some(instance => instance.id === instanceId);
	if (!known && availability.instances[instanceId] === undefined) {
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

/** Service state of a failure domain; in service unless stated otherwise. */
export const getDomainState = (availability: Availability, failureDomain: string): ServiceState =>
	availability.failureDomains[failureDomain] ?? serviceStates.inService;

/** Service state of an instance by itself, without its failure domain. */
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

/** Only exceptions are kept, so that the object does not grow with the fleet's history. */
const updateState = (states: Record<string, ServiceState>, key: string, state: ServiceState): Record<string, ServiceState> => {
	const others = Object.entries(states).filter(([other]) => other !== key);
	return Object.fromEntries(state === serviceStates.inService ? others : [...others, [key, state]]);
};
