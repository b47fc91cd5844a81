/** Exit codes of `knapweedrack`, listed in its `--help`. */
export const exitCodes = {
	success: 0,
	failure: 1,
	usage: 2,
	invalidLists: 3,
	unreachable: 4,
	conflict: 5,
	refused: 6,
	notFound: 7,
	unknown: 8,
	incomplete: 9,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

const exitCodeMeanings: Record<keyof typeof exitCodes, string> = {
	success: 'success',
	failure: 'other failure',
	usage: 'invalid arguments or settings',
	invalidLists: 'the lists are invalid; nothing was applied',
	unreachable: 'the platform or an entry cannot be reached',
	conflict: 'another edit was made first; this one has no effect',
	refused: 'refused by a rule; nothing was changed',
	notFound: 'the named object does not exist',
	unknown: 'the outcome is unknown; the edit may have taken effect',
	incomplete: 'the report has no figures for part of the day and says for which',
};

/** Renders the exit codes for `--help`. */
export const renderExitCodes = (): string => [
	'Exit codes:',
	...Object.entries(exitCodes).map(([name, code]) => `  ${code}  ${exitCodeMeanings[name as keyof typeof exitCodes]}`),
].join('\n');
