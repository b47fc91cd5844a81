import {parse} from 'yaml';
import {z} from 'zod';

/** How far the tests of a guarantee prove it. */
export const proofStates = {
	/** The tests cover all of it. */
	proved: 'proved',
	/** The tests cover a part; `gap` states the rest. */
	partly: 'partly',
	/** No test covers it; `gap` states why. */
	unproved: 'unproved',
	/** It cannot be tested in this repository; `gap` states why. */
	untestable: 'untestable',
} as const;
/** Value of `proofStates`. */
export type ProofState = (typeof proofStates)[keyof typeof proofStates];

const guaranteeSchema = z.strictObject({
	rule: z.string().min(1),
	promise: z.string().min(1),
	mechanism: z.string().min(1),
	modules: z.array(z.string()),
	tests: z.record(z.string(), z.array(z.string()).min(1)),
	state: z.enum(Object.values(proofStates)),
	gap: z.string().min(1).optional(),
}).superRefine(({state, gap, tests}, context) => {
	const hasTests = Object.keys(tests).length > 0;
	if ((state === proofStates.proved) !== (gap === undefined)) {
		context.addIssue({code: 'custom', message: 'every state but "proved" needs a gap, and "proved" has none'});
	}

	if (hasTests !== (state === proofStates.proved || state === proofStates.partly)) {
		context.addIssue({code: 'custom', message: 'only the states "proved" and "partly" name tests'});
	}
});

const sectionsSchema = z.array(z.strictObject({title: z.string().min(1), rows: z.array(guaranteeSchema).min(1)})).min(1);

/** A promise to callers, operators or backend servers with the tests that prove it; tests are titles by file. */
export type Guarantee = z.infer<typeof guaranteeSchema>;
/** Guarantees about one subject. */
export type GuaranteeSection = z.infer<typeof sectionsSchema>[number];

/** Reads the list of guarantees from YAML; throws a `ZodError` that names the invalid fields. */
export const parseGuarantees = (text: string): GuaranteeSection[] => sectionsSchema.parse(parse(text));

/** Path in the repository of a module, which is written without the part that all packages share. */
export const resolveModulePath = (module: string): string => {
	const [packageName, ...rest] = module.split('/');
	return packageName === 'platform' ? `platform/src/${rest.join('/')}` : `packages/${packageName}/src/${rest.join('/')}`;
};
