/** Reasons for which the entry itself answers a request, each with its HTTP status and whether the request was certainly not run. */
export const answerReasons = {
	unconfigured: {status: 503, isNotRun: true},
	unknownRoute: {status: 404, isNotRun: true},
	unknownCredential: {status: 401, isNotRun: true},
	/** The credential cannot be verified because the store is unreachable. */
	unconfirmedCredential: {status: 503, isNotRun: true},
	headTooLarge: {status: 431, isNotRun: true},
	bodyTooLarge: {status: 413, isNotRun: true},
	bodyIdle: {status: 408, isNotRun: true},
	/** The time limit of the route passed before the body was complete. */
	bodyLate: {status: 408, isNotRun: true},
	/** There was no memory for the body, or it had to make room for others. */
	bodyEvicted: {status: 503, isNotRun: true},
	stopping: {status: 503, isNotRun: true},
	noServer: {status: 503, isNotRun: true},
	overloaded: {status: 503, isNotRun: true},
	/** The request would pass its deadline in the queue of its service. */
	deadlineUnreachable: {status: 503, isNotRun: true},
	/** All backend servers have asked this entry to send nothing for a time. */
	serversBackingOff: {status: 503, isNotRun: true},
	quarantined: {status: 503, isNotRun: true},
	tooLargeForEngines: {status: 503, isNotRun: true},
	timeoutNotRun: {status: 503, isNotRun: true},
	/** Every backend server that received the request stated that it did not run it. */
	notRunByServers: {status: 503, isNotRun: true},
	timeout: {status: 504, isNotRun: false},
	serverFailed: {status: 502, isNotRun: false},
} as const satisfies Record<string, {status: number; isNotRun: boolean}>;
/** Key of `answerReasons`; appears in logs and metrics. */
export type AnswerReason = keyof typeof answerReasons;
