import {z} from 'zod';

/** Upper limit of `longestPromptTokens`; the fleet is built for prompts of up to 1 million tokens. */
export const longestPromptLimitTokens = 1_048_576;
/** Upper limit of `deadlineMs`. */
export const deadlineLimitMs = 3_600_000;

const name = z.string().min(1).max(100).regex(/^[\w.\-]+$/v, 'expected letters, digits, ".", "_" and "-"');
const rate = z.number().positive().max(1_000_000_000);

const firstTokenTargetSchema = z.strictObject({
	upToTokens: z.number().int().positive().optional(),
	targetMs: z.number().int().min(10).max(deadlineLimitMs),
});

const planSchema = z.strictObject({
	id: name,
	models: z.array(name),
	services: z.array(name),
	failureDomains: z.array(name).min(1),
	requestsPerSecond: rate,
	tokensPerSecond: rate,
	concurrency: z.number().int().positive().max(1_000_000),
	longestPromptTokens: z.number().int().positive().max(longestPromptLimitTokens),
	firstTokenTargets: z.array(firstTokenTargetSchema).min(1),
	deadlineMs: z.number().int().min(100).max(deadlineLimitMs),
	share: z.number().positive().max(1000),
});

// HTTP methods that a service may declare idempotent.
const methodSchema = z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH']);

/** Content of `plans.yaml`: what the fleet offers, and the plans. */
export const plansFileSchema = z.strictObject({
	fleet: name,
	models: z.array(name),
	services: z.array(z.strictObject({name, idempotentMethods: z.array(methodSchema)})),
	failureDomains: z.array(name).min(1),
	plans: z.array(planSchema).min(1),
});

/** Content of `workspaces.yaml`. */
export const workspacesFileSchema = z.strictObject({
	workspaces: z.array(z.strictObject({
		id: name,
		plan: name,
		fleet: name,
		credentialDigests: z.array(z.string().regex(/^sha256:[\da-f]{64}$/v, 'expected "sha256:" and 64 lower-case hex digits')).min(1).max(10),
	})),
});

/** Keys of `plans.yaml`, suggested in place of an unknown key that differs only in its unit. */
export const planKeys = [...Object.keys(planSchema.shape), ...Object.keys(firstTokenTargetSchema.shape)];

// References are also checked in files that do not match the strict schemas, so that all problems are reported at once.
// The loose schemas therefore replace invalid values by a default instead of rejecting them.
const buildSchemaWithDefault = <Schema extends z.ZodType>(schema: Schema, value: z.output<Schema>) => z.unknown().optional().transform(input => {
	const parsed = schema.safeParse(input);
	return parsed.success ? parsed.data : value;
});

const looseName = buildSchemaWithDefault(z.string().optional(), undefined);
const looseNames = buildSchemaWithDefault(z.array(looseName), []);
const looseNumber = buildSchemaWithDefault(z.number().optional(), undefined);

const loosePlanSchema = buildSchemaWithDefault(z.object({
	id: looseName,
	models: looseNames,
	services: looseNames,
	failureDomains: looseNames,
	longestPromptTokens: looseNumber,
	deadlineMs: looseNumber,
	firstTokenTargets: buildSchemaWithDefault(z.array(buildSchemaWithDefault(
		z.object({upToTokens: looseNumber, targetMs: looseNumber}),
		{upToTokens: undefined, targetMs: undefined},
	)), []),
}), {
	id: undefined, models: [], services: [], failureDomains: [], longestPromptTokens: undefined, deadlineMs: undefined, firstTokenTargets: [],
});
/** Plan whose invalid values are replaced by undefined or an empty list. */
export type LoosePlan = z.infer<typeof loosePlanSchema>;

/** Accepts any content of `plans.yaml` and replaces invalid values by defaults. */
export const loosePlansFileSchema = buildSchemaWithDefault(z.object({
	fleet: looseName,
	models: looseNames,
	services: buildSchemaWithDefault(z.array(buildSchemaWithDefault(
		z.object({name: looseName, idempotentMethods: looseNames}),
		{name: undefined, idempotentMethods: []},
	)), []),
	failureDomains: looseNames,
	plans: buildSchemaWithDefault(z.array(loosePlanSchema), []),
}), {
	fleet: undefined, models: [], services: [], failureDomains: [], plans: [],
});
/** Content of `plans.yaml` whose invalid values are replaced by undefined or an empty list. */
export type LoosePlansFile = z.infer<typeof loosePlansFileSchema>;

/** Accepts any content of `workspaces.yaml` and replaces invalid values by defaults. */
export const looseWorkspacesFileSchema = buildSchemaWithDefault(z.object({
	workspaces: buildSchemaWithDefault(z.array(buildSchemaWithDefault(
		z.object({
			id: looseName, plan: looseName, fleet: looseName, credentialDigests: looseNames,
		}),
		{
			id: undefined, plan: undefined, fleet: undefined, credentialDigests: [],
		},
	)), []),
}), {workspaces: []});
/** Content of `workspaces.yaml` whose invalid values are replaced by undefined or an empty list. */
export type LooseWorkspacesFile = z.infer<typeof looseWorkspacesFileSchema>;
