/** Kinds of work a backend server does. */
export const backendKinds = {engine: 'engine', service: 'service'} as const;
/** Kind of a backend server. */
export type BackendKind = (typeof backendKinds)[keyof typeof backendKinds];

/** Static description of a backend server, from the instance list. */
export type BackendServerDescription = {
	id: string;
	/** `host:port` of its HTTP listener. */
	address: string;
	kind: BackendKind;
	failureDomain: string;
	/** Model of an engine, or name of a plain service. */
	serves: string;
	state: 'live' | 'leaving';
};

/** Capacity of a backend server, from its status report. */
export type BackendServerProfile = {
	id: string;
	/** KV cache size in tokens. */
	kvTokens: number;
	/** Prefill throughput in tokens per second. */
	prefillTokensPerSecond: number;
	/** Largest number of requests that run at the same time. */
	maxConcurrency: number;
	/** Number of requests a cold server can run at the same time. */
	coldConcurrency: number;
	/** Prefill tokens in flight that a cold server can take. */
	coldPrefillTokens: number;
};

/** One request as listed by an engine. */
export type EngineRunningRequest = {
	requestId: string;
	attemptId: string;
	phase: 'queued' | 'prefill' | 'decode' | 'paused';
	kvTokens: number;
};

/** One KV reservation or import as listed by an engine. */
export type EngineReservation = {
	requestId: string;
	kvTokens: number;
	expiresInMs: number;
};

/** Status report of an engine; it lags behind the engine's state. */
export type EngineReport = {
	serverId: string;
	/** Changes with each start of the engine; a change means the engine is cold. */
	bootId: string;
	state: 'live' | 'leaving';
	profile: BackendServerProfile;
	kvTokensUsed: number;
	running: EngineRunningRequest[];
	reservations: EngineReservation[];
	/** Highest fencing number the engine has accepted; undefined when it does not check. */
	fencingNumber?: number | undefined;
};
