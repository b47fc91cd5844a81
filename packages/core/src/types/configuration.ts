/** A plan: the models, services and failure domains of its workspaces and the limits for each of them. */
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
	/** Targets in order of rising prompt length; the last target has no upper length. */
	firstTokenTargets: FirstTokenTarget[];
	/** Default and longest deadline of a request in ms. */
	deadlineMs: number;
	/** Weight of a workspace when workspaces compete for capacity. */
	share: number;
};

/** Time-to-first-token target for prompts up to a length. */
export type FirstTokenTarget = {
	/** Maximum prompt length in tokens for this target; undefined for prompts of any length. */
	upToTokens?: number | undefined;
	targetMs: number;
};

/** A workspace with its plan and its credentials. */
export type Workspace = {
	id: string;
	plan: string;
	fleet: string;
	/** SHA-256 digest of the credential in hex, with a prefix `sha256:`. */
	credentialDigests: string[];
};

/** A plain HTTP service and its idempotent methods, which may be retried. */
export type ServiceDescription = {
	name: string;
	idempotentMethods: string[];
};

/** The operators' two lists, of plans and services and of workspaces, in one consistent revision. */
export type Configuration = {
	revision: number;
	plans: Plan[];
	services: ServiceDescription[];
	workspaces: Workspace[];
};

/** Service state of a failure domain or an instance. */
export const serviceStates = {inService: 'in_service', outOfService: 'out_of_service'} as const;
/** One of the values of `serviceStates`. */
export type ServiceState = (typeof serviceStates)[keyof typeof serviceStates];

/** Which failure domains and instances are out of service; one object, so that concurrent edits conflict. */
export type Availability = {
	revision: number;
	/** Identifies the edit that produced this revision; a read after a lost answer shows whether the edit was written. */
	editId: string;
	failureDomains: Record<string, ServiceState>;
	instances: Record<string, ServiceState>;
};
