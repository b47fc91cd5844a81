/** Reasons for which a request is not sent to another backend server, as logged. */
export const retryRefusals = {
	/** A backend server may have run the request, which must not run twice. */
	mayHaveRun: 'may have run',
	/** The caller has got a part of the answer that no other backend server can continue. */
	notResumable: 'not resumable',
	deadline: 'deadline',
	attemptLimit: 'attempt limit',
	budget: 'retry budget',
	/** The process ends before another attempt may. */
	stopping: 'stopping',
	/** Backend servers have ended under the content. */
	content: 'content',
	/** No other backend server can take the request now. */
	noServer: 'no server',
} as const;
/** Value of `retryRefusals`. */
export type RetryRefusal = (typeof retryRefusals)[keyof typeof retryRefusals];
