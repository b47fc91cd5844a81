import {InvalidArgumentError} from 'commander';

/** Parses a whole number of at least 0 and at most 15 digits; throws `InvalidArgumentError` for other texts. */
export const parseCount = (text: string): number => {
	const value = Number(text);
	if (!/^\d{1,15}$/v.test(text)) {
		throw new InvalidArgumentError('expected a whole number of at least 0');
	}

	return value;
};
