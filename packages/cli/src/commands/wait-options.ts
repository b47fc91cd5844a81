import type {CommandInput, OptionSpec} from '../program/command-spec.js';
import {parseCount} from '../program/number-option.js';

const defaultWaitSeconds = 30;

/** Option that limits the wait for entries. */
export const waitTimeoutOption: OptionSpec = {
	flags: '--wait-timeout <seconds>', description: 'longest wait for the entries, in seconds', parse: parseCount, defaultValue: defaultWaitSeconds,
};

/** Gets the longest wait for entries, in ms. */
export const getWaitMs = ({options}: CommandInput): number => (options.waitTimeout as number) * 1000;
