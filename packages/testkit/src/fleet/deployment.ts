import {z} from 'zod';

const nameSchema = z.string().regex(/^[a-z\d][a-z\d\-]{0,60}$/v);
const countSchema = z.number().int().nonnegative();

/** Schema of a deployment: its instances and the lists to install. */
export const deploymentSchema = z.strictObject({
	/** Region by failure domain. */
	failureDomains: z.record(nameSchema, nameSchema),
	/** Number of engines by model and failure domain. */
	engines: z.record(nameSchema, z.record(nameSchema, countSchema)),
	/** Number of plain service instances by service and failure domain. */
	services: z.record(nameSchema, z.record(nameSchema, countSchema)).default({}),
	/** Number of entries by failure domain. */
	entries: z.record(nameSchema, countSchema).default({}),
	/** Text of the operators' lists in YAML. */
	lists: z.strictObject({workspaces: z.string(), plans: z.string()}),
});
/** Deployment with its defaults filled in. */
export type Deployment = z.infer<typeof deploymentSchema>;
/** Deployment as passed to `startFleet`; `services` and `entries` are optional. */
export type DeploymentInput = z.input<typeof deploymentSchema>;

/** Instance that a fleet is to start. */
export type PlannedInstance = {
	id: string;
	kind: 'engine' | 'service' | 'entry';
	failureDomain: string;
	region: string;
	/** Model of an engine or name of a service; empty for entries. */
	serves: string;
};

/** Lists the instances of a deployment with ids such as `fibre-scribe-kochi-1`. */
export const listPlannedInstances = (deployment: Deployment): PlannedInstance[] => [
	...listInstancesOfKind(deployment, 'engine', deployment.engines),
	...listInstancesOfKind(deployment, 'service', deployment.services),
	...listInstancesOfKind(deployment, 'entry', {entry: deployment.entries}),
];

const listInstancesOfKind = ({failureDomains}: Deployment, kind: PlannedInstance['kind'], counts: Deployment['engines']): PlannedInstance[] => {
	const instances: PlannedInstance[] = [];
	for (const [serves, byDomain] of Object.entries(counts)) {
		for (const [failureDomain, number] of Object.entries(byDomain)) {
			const region = failureDomains[failureDomain];
			if (region === undefined) {
				throw new RangeError(`${serves} has instances in failure domain ${failureDomain}, which is not listed in failureDomains`);
			}

			for (let index = 1; index <= number; index += 1) {
				instances.push({
					id: `${serves}-${failureDomain}-${index}`, kind, failureDomain, region, serves: kind === 'entry' ? '' : serves,
				});
			}
		}
	}

	return instances;
};
