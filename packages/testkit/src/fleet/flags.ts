/** Builds command line flags from options, for example `--list-lag-ms=5` from `{listLagMs: 5}`; false and undefined values are left out. */
export const buildFlags = (options: Readonly<Record<string, string | number | boolean | undefined>>): string[] => Object.entries(options).flatMap(([name, value]) => {
	if (value === undefined || value === false) {
		return [];
	}

	const flag = `--${name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`)}`;
	return value === true ? [flag] : [`${flag}=${String(value)}`];
});
