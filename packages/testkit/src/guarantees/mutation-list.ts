import {parse} from 'yaml';
import {z} from 'zod';
import {resolveModulePath} from './guarantee-list.js';

const mutationsSchema = z.array(z.strictObject({
	name: z.string().min(1),
	module: z.string().min(1),
	/** Text that occurs once in the module. */
	find: z.string().min(1),
	replace: z.string(),
	/** Title of a test or a group of tests that must fail, by file. */
	tests: z.record(z.string(), z.string().min(1)),
})).min(1);

/** A small fault of a module with the tests that must catch it. */
export type Mutation = z.infer<typeof mutationsSchema>[number];

/** Reads the list of mutations from YAML; throws a `ZodError` that names the invalid fields. */
export const parseMutations = (text: string): Mutation[] => mutationsSchema.parse(parse(text));

/** Path in the repository of the module that a mutation changes. */
export const getMutatedPath = ({module}: Mutation): string => resolveModulePath(module);

/** Applies a mutation to the text of its module; throws when the text to replace does not occur exactly once. */
export const applyMutation = ({name, module, find, replace}: Mutation, text: string): string => {
	const parts = text.split(find);
	if (parts.length !== 2) {
		throw new Error(`mutation "${name}": the text to replace occurs ${parts.length - 1} times in ${module}`);
	}

	return parts.join(replace);
};
