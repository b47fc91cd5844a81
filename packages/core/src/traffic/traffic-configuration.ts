import type {EngineProfile} from '../engine-model/engine-profile.js';

/** What may be repeated of the requests on a route. */
export const executionKinds = {
	/** May run more than once. */
	idempotent: 'idempotent',
	/** Runs at most once for each request of the caller. */
	nonIdempotent: 'non_idempotent',
	/** Answers with a stream of numbered events; idempotent only where the route lets a stream be resumed. */
	stream: 'stream',
} as const;
/** One of the execution kinds. */
export type ExecutionKind = (typeof executionKinds)[keyof typeof executionKinds];

/** A service that takes a share of a route's requests. */
export type RouteTarget = {service: string; weight: number};

/** Requests of one host and path prefix, and how they are served. */
export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	prefix: string;
	execution: ExecutionKind;
	/** A stream that broke off may be continued on another backend server after its last event. */
	isResumable: boolean;
	/** Longest time a request may stay unanswered, in ms. */
	timeoutMs: number;
	/** Time until the answer or the first event that earns full credit, in ms. */
	targetMs: number;
	/** Longest pause between two events of a stream that is still on time, in ms. */
	pauseTargetMs: number | undefined;
	/** 0 is the most urgent. */
	priority: number;
	targets: RouteTarget[];
	/** Backend servers that one request may reach. */
	attemptLimit: number;
	/** Served without a credential. */
	isPublic: boolean;
};

/** A service that backend servers offer. */
export type Service = {
	name: string;
	/** Connections that one backend server accepts from all callers together. */
	maxConnections: number;
	/** Requests per second that a cold backend server bears; 0 when it needs no protection. */
	coldRequestsPerSecond: number;
	/** Present where the backend servers are model engines. */
	engine: EngineProfile | undefined;
	/** Longest published one-way delay between the failure domains of its backend servers, in ms. */
	longestDelayMs: number;
};

/** A customer and the credentials that identify its requests. */
export type TrafficWorkspace = {name: string; credentials: string[]; priority: number | undefined};

/** Bounds on what a caller may send and how long it may take. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	/** Longest time for the head of a request, in ms. */
	headerTimeoutMs: number;
	/** Longest time without a byte on an open connection, in ms. */
	idleTimeoutMs: number;
};

/** One version of what the operators have configured. */
export type TrafficConfiguration = {
	version: number;
	routes: Route[];
	services: Service[];
	/** Undefined when requests need no credential. */
	workspaces: TrafficWorkspace[] | undefined;
	limits: CallerLimits;
	/** Parts that could not be read and are left out, with what is wrong with each. */
	unreadParts: string[];
};

/** True when a request on the route may run more than once. */
export const isRepeatable = (route: Route): boolean =>
	route.execution === executionKinds.idempotent || (route.execution === executionKinds.stream && route.isResumable);
