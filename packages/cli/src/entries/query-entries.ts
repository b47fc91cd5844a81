import type {Result} from '@knapweedrack/core';
import type {EntryFailure} from './entry-client.js';

/** Answers of several entries. */
export type EntryAnswers<Value> = {
	answered: Array<{address: string; value: Value}>;
	failed: Array<{address: string; message: string}>;
};

/**
 * Queries the configured entries at once and the entries listed by the platform as soon as the list is read,
 * so that an outage of the platform does not delay the answers of the configured entries.
 */
export const queryEntries = async <Value>(
	configured: readonly string[], listed: Promise<readonly string[]>, query: (address: string) => Promise<Result<Value, EntryFailure>>,
): Promise<EntryAnswers<Value>> => {
	const answers: EntryAnswers<Value> = {answered: [], failed: []};
	const runAll = async (addresses: readonly string[]): Promise<void> => {
		await Promise.all([...new Set(addresses)].map(async address => {
			const answer = await query(address);
			if (answer.ok) {
				answers.answered.push({address, value: answer.value});
			} else {
				answers.failed.push({address, message: answer.error.message});
			}
		}));
	};

	const runListed = async (): Promise<void> => {
		const addresses = await listed;
		await runAll(addresses.filter(address => !configured.includes(address)));
	};

	await Promise.all([runAll(configured), runListed()]);
	return answers;
};

/** Renders the entries that did not answer, one line each with the error. */
export const renderFailed = (failed: EntryAnswers<unknown>['failed']): string => failed.map(({address, message}) => `  ${address}: ${message}`).join('\n');
