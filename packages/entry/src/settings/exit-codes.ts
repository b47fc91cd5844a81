/** Exit codes of `knapweedrackd`, listed in its `--help`. */
export const exitCodes = {
	success: 0,
	usage: 2,
	settings: 3,
	listen: 4,
	internal: 70,
} as const;

/** Meaning of each exit code. */
export const exitCodeMeanings: Record<keyof typeof exitCodes, string> = {
	success: 'planned stop',
	usage: 'invalid arguments',
	settings: 'the settings file cannot be read or is invalid',
	listen: 'a listener cannot be opened',
	internal: 'a broken invariant',
};
