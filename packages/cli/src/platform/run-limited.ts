import {createOk, type Result} from '@knapweedrack/core';

/** Runs a task for each item, at most `limit` concurrently. Returns the values in the order of the items, or the first failure. */
export const runLimited = async <Item, Value, Failure>(
	items: readonly Item[], limit: number, run: (item: Item) => Promise<Result<Value, Failure>>,
): Promise<Result<Value[], Failure>> => {
	const values = Array.from<Value>({length: items.length});
	const queue = items.entries();
	let failed: {ok: false; error: Failure} | undefined;
	const runQueued = async (): Promise<void> => {
		for (const [index, item] of queue) {
			const result = await run(item);
			if (!result.ok) {
				failed ??= result;
			}

			if (failed) {
				return;
			}

			values[index] = (result as {value: Value}).value;
		}
	};

	await Promise.all(Array.from({length: Math.min(limit, items.length)}, runQueued));
	return failed ?? createOk(values);
};
