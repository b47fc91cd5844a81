import type {EngineProfile} from '../engine-model/engine-profile.js';

/** How often a request on a route may run. */
export const executionKinds = {
	/** May run more than once. */
	idempotent: 'idempotent',
	/** Runs at most once for each request of the caller. */
	nonIdempotent: 'non_idempotent',
	/** Answers with a stream of numbered events; may run more than once only where the route allows resuming a stream. */
	stream: 'stream',
} as const;
/** Value of `executionKinds`. */
export type ExecutionKind = (typeof executionKinds)[keyof typeof executionKinds];

/** A service that gets a share of a route's requests, in proportion to its weight. */
export type RouteTarget = {service: string; weight: number};

/** Rules for the requests of one host and path prefix. */
export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	prefix: string;
	execution: ExecutionKind;
	/** True when an interrupted stream may be continued after its last event on another backend server. */
	isResumable: boolean;
	/** Longest time that a request may stay unanswered, in ms. */
	timeoutMs: number;
	/** Longest time to the answer or the first event that is on time, in ms. */
	targetMs: number;
	/** Longest pause between two events of a stream that is on time, in ms. */
	pauseTargetMs: number | undefined;
	/** 0 is the most urgent. */
	priority: number;
	targets: RouteTarget[];
	/** Most backend servers to which one request may be sent. */
	attemptLimit: number;
	/** True when requests need no credential. */
	isPublic: boolean;
};

/** A service that backend servers offer. */
export type Service = {
	name: string;
	/** Connections that one backend server accepts from all callers together. */
	maxConnections: number;
	/** Requests per second that a cold backend server can take; 0 when it needs no limit. */
	coldRequestsPerSecond: number;
	/** Set when the backend servers are model engines. */
	engine: EngineProfile | undefined;
	/** Longest published one-way delay between the failure domains of its backend servers, in ms. */
	longestDelayMs: number;
	/** Path of the health check of its backend servers; undefined when there is none. */
	healthPath: string | undefined;
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

/** One version of the operators' configuration. */
export type TrafficConfiguration = {
	version: number;
	routes: Route[];
	services: Service[];
	/** Undefined when requests need no credential. */
	workspaces: TrafficWorkspace[] | undefined;
	limits: CallerLimits;
	/** Parts that could not be decoded and are left out, each with its error. */
	unreadParts: string[];
};

/** True when a request on the route may run more than once. */
export const isRepeatable = (route: Route): boolean =>
	route.execution === executionKinds.idempotent || (route.execution === executionKinds.stream && route.isResumable);
