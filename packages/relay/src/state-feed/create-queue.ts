/** Creates a queue that runs tasks one after the other, at once when none is waiting. After an error, no further task runs. */
export const createQueue = (handleError: (error: Error) => void): (task: () => Promise<void> | void) => void => {
	const waiting: Array<() => Promise<void> | void> = [];
	let isRunning = false;
	const run = async (): Promise<void> => {
		isRunning = true;
		try {
			for (let task = waiting.shift(); task !== undefined; task = waiting.shift()) {
				const result = task();
				if (result !== undefined) {
					await result;
				}
			}

			isRunning = false;
		} catch (error) {
			waiting.length = 0;
			handleError(error as Error);
		}
	};

	return task => {
		waiting.push(task);
		if (!isRunning) {
			void run();
		}
	};
};
