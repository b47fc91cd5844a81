import {
	isMap, isScalar, LineCounter, parseDocument, type Document,
} from 'yaml';
import type {z} from 'zod';

/** A file's name, as shown in problems, and its text. */
export type SourceFile = {file: string; text: string};

/** Problem found in a file; `line` starts at 1, and `path` is written like `plans[2].deadlineMs`. */
export type ValidationProblem = {file: string; line: number; path: string; message: string};

/** Keys and list positions from the root of a document to a value. */
export type ValuePath = ReadonlyArray<string | number>;

/** A parsed file with the positions of its values. */
export type SourceDocument = {
	/** Plain value of the document; undefined when the text is not valid YAML. */
	value: unknown;
	/** Syntax problems. */
	problems: ValidationProblem[];
	/** Creates a problem at a value, or at its nearest parent that exists. */
	createProblem: (path: ValuePath, message: string) => ValidationProblem;
};

/** Formats a path, for example `plans[2].deadlineMs`. */
export const formatPath = (path: ValuePath) => {
	let text = '';
	for (const step of path) {
		text += typeof step === 'number' ? `[${step}]` : (text === '' ? step : `.${step}`);
	}

	return text;
};

const findOffset = (document: Document, path: ValuePath): number => {
	for (let {length} = path; length > 0; length--) {
		const parent = document.getIn(path.slice(0, length - 1), true);
		const step = path[length - 1];
		const pair = isMap(parent) ? parent.items.find(item => isScalar(item.key) && item.key.value === step) : undefined;
		const node = pair?.key ?? document.getIn(path.slice(0, length), true);
		const offset = (node as {range?: [number, number, number]} | undefined)?.range?.[0];
		if (offset !== undefined) {
			return offset;
		}
	}

	return document.contents?.range?.[0] ?? 0;
};

/** Parses YAML; syntax errors are returned as problems, not thrown. */
export const parseSource = ({file, text}: SourceFile): SourceDocument => {
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter, prettyErrors: false});
	const createProblem = (path: ValuePath, message: string): ValidationProblem => ({
		file,
		line: Math.max(1, lineCounter.linePos(findOffset(document, path)).line),
		path: formatPath(path),
		message,
	});
	const problems = [...document.errors, ...document.warnings].map(error => ({
		file,
		line: Math.max(1, lineCounter.linePos(error.pos[0]).line),
		path: '',
		message: error.message,
	}));
	if (document.errors.length > 0) {
		return {value: undefined, problems, createProblem};
	}

	try {
		return {value: document.toJS(), problems, createProblem};
	} catch (error) {
		// `toJS` throws when the document has too many aliases, whose expansion could exhaust the memory.
		return {value: undefined, problems: [...problems, createProblem([], (error as Error).message)], createProblem};
	}
};

const unitPattern = /^\s*\d+(?:\.\d+)?\s*[a-zA-Z%\/]+\s*$/v;
const unitByKeySuffix: Array<[RegExp, string]> = [
	[/Ms$/v, 'ms'],
	[/Tokens$/v, 'tokens'],
	[/PerSecond$/v, 'a number per second'],
];

const describeUnit = (path: ValuePath) => {
	const key = String(path.at(-1));
	return unitByKeySuffix.find(([pattern]) => pattern.test(key))?.[1];
};

const findKeyWithUnit = (key: string, knownKeys: readonly string[]) => {
	const stem = key.replace(/(?:Ms|Millis|Milliseconds|Seconds|Sec|S|Minutes|Tokens|PerSecond|PerMinute|PerHour)$/v, '');
	return knownKeys.find(known => known !== key && unitByKeySuffix.some(([pattern]) => known.replace(pattern, '') === stem));
};

type Issue = z.core.$ZodIssue;

const getValue = (root: unknown, path: ValuePath): unknown => {
	let value = root;
	for (const step of path) {
		value = (value as Record<string | number, unknown> | undefined)?.[step];
	}

	return value;
};

const describeIssue = (issue: Issue, value: unknown) => {
	const path = issue.path as ValuePath;
	if (issue.code === 'invalid_type' && value === undefined) {
		return `required value is missing, expected ${issue.expected}`;
	}

	const unit = describeUnit(path);
	if (issue.code === 'invalid_type' && unit !== undefined && typeof value === 'string' && unitPattern.test(value)) {
		return `"${value}" contains a unit; expected a plain number in ${unit}`;
	}

	return issue.message;
};

const createUnknownKeyProblems = (issue: Issue, source: SourceDocument, knownKeys: readonly string[]) => {
	if (issue.code !== 'unrecognized_keys') {
		return [];
	}

	return issue.keys.map(key => {
		const alternative = findKeyWithUnit(key, knownKeys);
		const hint = alternative === undefined ? '' : `; use "${alternative}" instead`;
		return source.createProblem([...issue.path as ValuePath, key], `unknown key "${key}"${hint}`);
	});
};

/** Validates a document against a schema; the message for an unknown key suggests the one of `knownKeys` that differs only in its unit. */
export const validateSource = <Value>(source: SourceDocument, schema: z.ZodType<Value>, knownKeys: readonly string[]): {value: Value | undefined; problems: ValidationProblem[]} => {
	if (source.value === undefined && source.problems.length > 0) {
		return {value: undefined, problems: source.problems};
	}

	const parsed = schema.safeParse(source.value ?? {});
	if (parsed.success) {
		return {value: parsed.data, problems: source.problems};
	}

	const problems = parsed.error.issues.flatMap(issue => issue.code === 'unrecognized_keys'
		? createUnknownKeyProblems(issue, source, knownKeys)
		: [source.createProblem(issue.path as ValuePath, describeIssue(issue, getValue(source.value, issue.path as ValuePath)))]);
	return {value: undefined, problems: [...source.problems, ...problems]};
};
