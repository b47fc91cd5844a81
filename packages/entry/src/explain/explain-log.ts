import type {EntryServices, ExplainStep} from '../contracts.js';

const requestLimit = 10_000;
const stepLimit = 64;

/** Keeps the steps of recent requests; the oldest request is dropped at the limit, so that memory stays bounded. */
export const createExplainLog = (limit = requestLimit): EntryServices['explain'] => {
	const requests = new Map<string, ExplainStep[]>();

	const openRequest = (requestId: string): ExplainStep[] => {
		const steps: ExplainStep[] = [];
		requests.set(requestId, steps);
		const oldest = requests.keys().next();
		if (requests.size > limit && !oldest.done) {
			requests.delete(oldest.value);
		}

		return steps;
	};

	return {
		record(requestId, step) {
			const steps = requests.get(requestId) ?? openRequest(requestId);
			if (steps.length < stepLimit) {
				steps.push(step);
			}
		},
		get: requestId => requests.get(requestId),
	};
};
