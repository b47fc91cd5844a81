import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import type {FingerprintRecord, TrafficConfiguration} from '@knapweedrack/core';

/** A backend server as registered in the store. */
export type RegisteredServer = {
	id: string;
	service: string;
	/** `host:port`. */
	address: string;
	failureDomain: string;
	/** Maximum number of requests that it runs at the same time. */
	slots: number;
	isDraining: boolean;
	/** Remaining cold time when the record was written, in ms. */
	coldForMs: number;
	/** Incarnation: changes when the server restarts under the same id; undefined when it does not state it. */
	bootId: string | undefined;
};

/** Stored record of a fingerprint whose content is quarantined or runs at one entry only; `quarantinedAtMs` is the time of the write, in ms since the Unix epoch. */
export type StoredQuarantine = {record: FingerprintRecord; quarantinedAtMs: number};

/** Another entry as registered in the store. */
export type RegisteredEntry = {
	id: string;
	/** `host:port` at which callers reach it. */
	callerAddress: string;
	/** `host:port` at which other entries reach it, by datagram and for tunnels. */
	peerAddress: string;
	failureDomain: string;
};

/** Keys and record formats of the store, implemented by the platform adapter. Decoders return undefined for an invalid record. */
export type StoreCodec = {
	configurationKey: string;
	serverPrefix: string;
	outagePrefix: string;
	entryPrefix: string;
	quarantinePrefix: string;
	decodeConfiguration: (value: unknown) => TrafficConfiguration | undefined;
	decodeServer: (id: string, value: unknown) => RegisteredServer | undefined;
	decodeEntry: (id: string, value: unknown) => RegisteredEntry | undefined;
	encodeEntry: (entry: RegisteredEntry) => unknown;
	decodeQuarantine: (value: unknown) => StoredQuarantine | undefined;
	encodeQuarantine: (quarantine: StoredQuarantine) => unknown;
};

/** Size and parts of a prompt as stated by the caller. */
export type PromptEnvelope = {
	/** Name of the model; undefined when the caller names none. */
	model: string | undefined;
	/** Ids of the parts that other prompts may share, in the order of the prompt. */
	sharedPartIds: string[];
	promptTokens: number;
	/** Maximum length of the answer in tokens. */
	outputTokens: number;
	/** The caller's estimate of the length of the answer in tokens. */
	expectedOutputTokens: number | undefined;
};

/** Fields decoded from the headers of a request. */
export type RequestEnvelope = {
	/** Identifies one attempt by the caller; the answer carries the same id. */
	requestId: string | undefined;
	/** Time until the caller stops waiting, in ms from the arrival of the request. */
	deadlineMs: number | undefined;
	credential: string | undefined;
	prompt: PromptEnvelope | undefined;
	/** Id of the last stream event that the caller has received. */
	lastEventId: string | undefined;
};

/** An engine that prefills part of a prompt; with a reservation it also keeps that part in its KV cache. */
export type Helper = {address: string; reservationId: string | undefined};

/** Data that the entry sends to a backend server in addition to the caller's request. */
export type DispatchEnvelope = {
	/** Only the backend server with this id runs the request. */
	serverId: string;
	remainingMs: number | undefined;
	workspace: string | undefined;
	helpers: Helper[];
	/** 0 is the highest urgency; undefined selects the backend server's default. */
	urgency: number | undefined;
	lastEventId: string | undefined;
};

/** Fields decoded from the head of an answer. */
export type AnswerEnvelope = {
	requestId: string | undefined;
	/** The backend server did not run the request and never will. */
	isNotRun: boolean;
	/** The answer carries the backend server's signature. */
	isSigned: boolean;
	/** `host:port` of another backend server that caused the failure. */
	causeAddress: string | undefined;
	/** Requests per second that the backend server accepts from all entries together; undefined when it names no limit. */
	requestsPerSecondLimit: number | undefined;
	/** Time for which the backend server wants no further request from this entry, in ms; undefined when it does not say so. */
	backoffMs: number | undefined;
	/** The backend server is about to end. */
	isLeaving: boolean;
};

/** Maps requests and answers to HTTP headers; implemented by the platform adapter, which alone knows the header names. */
export type WireCodec = {
	decodeRequest: (headers: IncomingHttpHeaders) => RequestEnvelope;
	/** Headers sent to a backend server, as a flat list of alternating names and values. */
	encodeDispatch: (rawHeaders: readonly string[], dispatch: DispatchEnvelope) => string[];
	decodeAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerEnvelope;
	/** Headers of an answer that the entry itself creates. */
	encodeOwnAnswer: (answer: {requestId: string | undefined; retryAfterMs: number | undefined}) => OutgoingHttpHeaders;
};

/** Format of the orders that engines accept. */
export type EngineOrderCodec = {
	/** URL path that receives orders on an engine. */
	path: string;
	/** Headers of an order that only the engine with this id accepts. */
	encodeHeaders: (serverId: string) => Record<string, string>;
	/** Body of an order that reserves KV cache memory, or renews the reservation with the same id. */
	encodeReservation: (reservation: {id: string; tokens: number; holdMs: number}) => string;
	encodeRelease: (id: string) => string;
};

/** Limits of a deployment, taken from its settings. */
export type RelayBounds = {
	/** Maximum time in ms from the end of a disruption (a restart or suspension of the process, a lost connection or an outage of the store) until an entry acts on the current state of the store again. */
	settleMs: number;
	/** Maximum time for which a removed credential may still be accepted, in ms; undefined for no limit. */
	revocationMs: number | undefined;
	/** Time within which a failure domain that is taken out of service must stop receiving work, in ms. */
	leaveDomainMs: number;
	/** Time after a backend server is listed as draining, or no longer listed, within which the last request must have reached it, in ms. */
	leaveServerMs: number;
	/** Time within which a new version of the configuration must be in force, in ms. */
	applyConfigurationMs: number;
	/** Time between the request to stop and the forced end of the process, in ms. */
	graceMs: number;
	/** Maximum time for which callers cache the list of entries, in ms. */
	entryListLifetimeMs: number;
	retryRatio: number;
	retrySlack: number;
	retryWindowMs: number;
	/** Maximum lease of a memory reservation, in ms; also the time within which reserved memory must be released after its last request. */
	reservationMs: number;
};

/** What the instance gives the process. */
export type InstanceResources = {
	/** Memory of the instance in bytes. */
	memoryBytes: number;
	/** Most open file descriptors of the process, including those for files. */
	descriptors: number;
};

/** Settings of a relay process; only `bounds` can change while it runs. */
export type RelaySettings = {
	entryId: string;
	failureDomain: string;
	/** Failure domains of the region of this entry; undefined when the settings name no regions. */
	regionDomains: ReadonlySet<string> | undefined;
	/** `host:port` of the listener for callers. */
	callerAddress: string;
	/** `host:port` of the datagram socket and the tunnel listener for other entries. */
	peerAddress: string;
	/** `host:port` and path of the metrics listener; undefined for none. */
	metrics: {address: string; path: string} | undefined;
	storeAddress: string;
	/** True when no earlier process of this entry has run. */
	isFirstStart: boolean;
	bounds: RelayBounds;
	resources: InstanceResources;
};
