import type {RouteTarget} from './traffic-configuration.js';

/** Selects a service at random in proportion to the weights of a route's targets; `random` is in [0, 1). */
export const selectTarget = (targets: readonly RouteTarget[], random: number): string | undefined => {
	const total = targets.reduce((sum, target) => sum + target.weight, 0);
	let remaining = random * total;
	for (const target of targets) {
		remaining -= target.weight;
		if (remaining < 0) {
			return target.service;
		}
	}

	return targets.findLast(target => target.weight > 0)?.service;
};
