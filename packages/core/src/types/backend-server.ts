/** Kinds of backend servers: an `engine` runs a language model, a `service` is a plain HTTP service. */
export const backendKinds = {engine: 'engine', service: 'service'} as const;
/** Kind of a backend server, one of the values of `backendKinds`. */
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
	/** Size of the KV cache in tokens. */
	kvTokens: number;
	/** Prefill throughput in tokens per second. */
	prefillTokensPerSecond: number;
	/** Maximum number of requests that run at the same time. */
	maxConcurrency: number;
	/** Maximum number of requests that a cold server can run at the same time. */
	coldConcurrency: number;
	/** Maximum number of prefill tokens that a cold server can have in flight. */
	coldPrefillTokens: number;
};

/** One request as listed by an engine. */
export type EngineRunningRequest = {
	requestId: string;
	attemptId: string;
	phase: 'queued' | 'prefill' | 'decode' | 'paused';
	kvTokens: number;
};

/** One reservation of KV cache tokens or one import into the KV cache, as listed by an engine. */
export type EngineReservation = {
	requestId: string;
	kvTokens: number;
	expiresInMs: number;
};

/** Status report of an engine; it lags behind the engine's state. */
export type EngineReport = {
	serverId: string;
	/** Changes with each start of the engine; after a change the engine is cold. */
	bootId: string;
	state: 'live' | 'leaving';
	profile: BackendServerProfile;
	kvTokensUsed: number;
	running: EngineRunningRequest[];
	reservations: EngineReservation[];
	/** Highest fencing number that the engine has accepted; undefined when it does not check fencing numbers. */
	fencingNumber?: number | undefined;
};
