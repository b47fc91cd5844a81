/** Upper bounds of what one plan may use. */
export type Plan = {
	id: string;
	models: string[];
	services: string[];
	failureDomains: string[];
	/** Requests per second over all entries. */
	requestsPerSecond: number;
	/** Prompt and generated tokens per second over all entries. */
	tokensPerSecond: number;
	/** Requests in progress over all entries. */
	concurrency: number;
	longestPromptTokens: number;
	/** Targets in order of rising prompt length; the last one has no upper length. */
	firstTokenTargets: FirstTokenTarget[];
	/** Default and longest deadline of a request in ms. */
	deadlineMs: number;
	/** Weight under contention. */
	share: number;
};

/** Time-to-first-token target for prompts up to a length. */
export type FirstTokenTarget = {
	/** Largest prompt of this class in tokens; undefined for all longer ones. */
	upToTokens?: number | undefined;
	targetMs: number;
};

/** One customer and its plan. */
export type Workspace = {
	id: string;
	plan: string;
	fleet: string;
	/** SHA-256 digest of the credential in hex, with a prefix `sha256:`. */
	credentialDigests: string[];
};

/** A plain service and the HTTP methods of it that may be repeated. */
export type ServiceDescription = {
	name: string;
	idempotentMethods: string[];
};

/** The operators' two lists in one consistent revision. */
export type Configuration = {
	revision: number;
	plans: Plan[];
	services: ServiceDescription[];
	workspaces: Workspace[];
};

/** Service state of a failure domain or an instance. */
export const serviceStates = {inService: 'in_service', outOfService: 'out_of_service'} as const;
/** One of the service states. */
export type ServiceState = (typeof serviceStates)[keyof typeof serviceStates];

/** Which failure domains and instances are out of service; one object, so that edits cannot cross. */
export type Availability = {
	revision: number;
	/** Identifies the edit that produced this revision, to resolve a lost answer by reading back. */
	editId: string;
	failureDomains: Record<string, ServiceState>;
	instances: Record<string, ServiceState>;
};
