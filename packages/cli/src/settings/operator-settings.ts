import {hostname, userInfo} from 'node:os';
import {z} from 'zod';
import {createError, createOk, type Result} from '@knapweedrack/core';
import {
	parseAddress, parseSource, validateSource, type SourceDocument, type SourceFile, type ValidationProblem,
} from '@knapweedrack/protocol';

/** A value and where it comes from: a flag, a line of the settings file, or the default. */
export type SourcedValue<Value> = {value: Value; source: string};

/** Settings of one run of the command line. */
export type OperatorSettings = {
	/** `host:port` of the platform. */
	platform: SourcedValue<string | undefined>;
	/** `host:port` of the peer listeners of entries to query, in addition to those found in session objects. */
	entries: SourcedValue<string[]>;
	/** Secret presented to entries; without it entries are not queried. */
	peerSecret: SourcedValue<string | undefined>;
	/** Recorded with each edit, so that others see who made it. */
	author: SourcedValue<string>;
	/** Longest wait in ms for the platform or an entry before a command gives up. */
	timeoutMs: SourcedValue<number>;
};

/** Values given as flags; the secret is the content of the file named by its flag. */
export type SettingFlags = {
	platform?: string | undefined;
	entries?: string[] | undefined;
	peerSecret?: string | undefined;
	author?: string | undefined;
	timeoutMs?: number | undefined;
};

/** Source of a value that neither a flag nor the settings file sets. */
export const defaultSource = 'default';

const defaultTimeoutMs = 2000;

const address = z.string().refine(text => (parseAddress(text)?.port ?? 0) > 0, 'expected an IP address and port, for example 10.0.0.5:8400');
const secret = z.string().min(16).max(500);
const author = z.string().min(1).max(100);
const timeout = z.number().int().min(100).max(600_000);

const fileSchema = z.strictObject({
	platform: address.optional(),
	entries: z.array(address).optional(),
	peerSecret: secret.optional(),
	author: author.optional(),
	timeoutMs: timeout.optional(),
});
type FileValues = z.infer<typeof fileSchema>;

const flagSchema = z.object({
	platform: address.optional(), entries: z.array(address).optional(), peerSecret: secret.optional(), author: author.optional(), timeoutMs: timeout.optional(),
});

const flagNames: Record<keyof SettingFlags, string> = {
	platform: '--platform', entries: '--entry', peerSecret: '--peer-secret-file', author: '--author', timeoutMs: '--timeout-ms',
};

/** Combines flags, settings file and defaults; flags come first. Returns all problems at once. */
export const resolveSettings = (flags: SettingFlags, file?: SourceFile): Result<OperatorSettings, ValidationProblem[]> => {
	const source = file && parseSource(file);
	const parsed = source ? validateSource(source, fileSchema, Object.keys(fileSchema.shape)) : {value: {}, problems: []};
	const problems = [...listFlagProblems(flags), ...parsed.problems];
	if (parsed.value === undefined || problems.length > 0) {
		return createError(problems);
	}

	const values: FileValues = parsed.value;
	const select = <Name extends keyof SettingFlags, Default>(name: Name, defaultValue: Default): SourcedValue<NonNullable<FileValues[Name]> | Default> => {
		if (flags[name] !== undefined) {
			return {value: flags[name], source: `flag ${flagNames[name]}`};
		}

		return source && values[name] !== undefined
			? {value: values[name], source: describeLine(source, name)}
			: {value: defaultValue, source: defaultSource};
	};

	return createOk({
		platform: select('platform', undefined),
		entries: select('entries', []),
		peerSecret: select('peerSecret', undefined),
		author: select('author', getDefaultAuthor()),
		timeoutMs: select('timeoutMs', defaultTimeoutMs),
	});
};

/** Lists the settings with their sources; the secret itself is not shown. */
export const listSettings = (settings: OperatorSettings): Array<{name: string; value: unknown; source: string}> =>
	Object.entries(settings).map(([name, {value, source}]: [string, SourcedValue<unknown>]) => ({
		name, value: name === 'peerSecret' && value !== undefined ? '(set)' : value ?? null, source,
	}));

const listFlagProblems = (flags: SettingFlags): ValidationProblem[] => {
	const parsed = flagSchema.safeParse(flags);
	return (parsed.error?.issues ?? []).map(issue => ({
		file: flagNames[issue.path[0] as keyof SettingFlags], line: 1, path: issue.path.join('.'), message: issue.message,
	}));
};

const describeLine = (source: SourceDocument, name: string): string => {
	const {file, line} = source.createProblem([name], '');
	return `${file}:${line}`;
};

const getDefaultAuthor = (): string => {
	try {
		return `${userInfo().username}@${hostname()}`;
	} catch {
		// The call of userInfo() throws when the user id is not in the user database.
		return `unknown@${hostname()}`;
	}
};
