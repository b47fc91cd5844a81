import {createError, type Result} from '@knapweedrack/core';
import type {ExitCode} from './exit-codes.js';

/** What a command prints: `text` for people, `data` with `--json`. An exit code other than 0 marks an incomplete or empty answer. */
export type CommandOutput = {text: string; data: Record<string, unknown>; exitCode?: ExitCode};

/** Failure of a command; `data` is added to the answer with `--json`. */
export type CommandFailure = {exitCode: ExitCode; message: string; data?: Record<string, unknown> | undefined};

/** Output or failure of a command. */
export type CommandResult = Result<CommandOutput, CommandFailure>;

/** Builds the result of a failed command. */
export const createFailure = (exitCode: ExitCode, message: string, data?: Record<string, unknown>): {ok: false; error: CommandFailure} =>
	createError({exitCode, message, data});
