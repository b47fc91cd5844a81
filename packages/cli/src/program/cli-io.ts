/** Output, environment and clock of one run. */
export type CliIo = {
	writeOut: (text: string) => void;
	writeError: (text: string) => void;
	env: Record<string, string | undefined>;
	/** Monotonic time in ms. */
	now: () => number;
	/** Time by `now` at which the process started, before the program was loaded. */
	startedAt: number;
};
