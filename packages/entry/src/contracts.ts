import type {
	Availability, BackendServerDescription, Configuration, LoadSnapshot, Permit, PermitReply, PermitRequest, Plan,
	RefusalReason, Result, RetryReason, Workspace,
} from '@knapweedrack/core';
import type {ObjectStore} from '@knapweedrack/platform-client';
import type {FingerprintReport, FingerprintStanding, PermitRelease} from '@knapweedrack/protocol';

/** Monotonic clock and timers; the only source of both in the process. Wall clock times come from `Date.now()`. */
export type TimerService = {
	/** Monotonic time in ms. */
	now: () => number;
	/** Calls the subscriber about every `periodMs`; returns a function that ends the subscription. */
	subscribe: (periodMs: number, subscriber: (now: number) => void) => () => void;
	/** Calls the subscriber once after `delayMs`; returns a function that cancels it. */
	schedule: (delayMs: number, subscriber: (now: number) => void) => () => void;
};

/** Counters and timings of the process. */
export type Metrics = {
	countRefusal: (reason: RefusalReason) => void;
	countRetry: (reason: RetryReason) => void;
	/** Counts an event from the table in `docs/metrics.md`. */
	count: (name: string, value?: number) => void;
	/** Records a duration in ms. */
	recordDuration: (name: string, durationMs: number) => void;
};

/** Configuration in force with its look-up tables. */
export type ConfigurationView = {
	configuration: Configuration;
	/** Finds the workspace of a credential; compares digests in constant time. */
	findWorkspaceByCredential: (credential: string) => Workspace | undefined;
	getPlan: (planId: string) => Plan | undefined;
};

/** An entry as returned to callers. */
export type EntryAddress = {entryId: string; address: string; failureDomain: string};

/** Cost of one request against the limits of a workspace. */
export type RequestCost = {tokens: number};

/** Decision of the limits task; `release` ends an admitted request and takes the tokens that it used. */
export type LimitAnswer =
	| {type: 'admitted'; release: (usedTokens: number) => void}
	| {type: 'refused'; reason: RefusalReason; retryAfterMs: number};

/** One step of a request, kept for `explain`. */
export type ExplainStep = {step: string; detail: Record<string, unknown>};

/** Services that the control tasks of an entry provide to its request tasks. */
export type EntryServices = {
	entryId: string;
	failureDomain: string;
	timer: TimerService;
	metrics: Metrics;
	store: ObjectStore;
	configuration: {
		get: () => ConfigurationView | undefined;
		/** False when neither the object API nor a peer confirmed the revision recently. */
		isFresh: () => boolean;
	};
	availability: {
		get: () => Availability;
	};
	membership: {
		/** Entries that serve callers, owners of the model's backend servers first; a caller may cache the list for `keepMs`. */
		listEntries: (model: string | undefined, workspaceId: string | undefined) => {entries: EntryAddress[]; revision: number; keepMs: number};
		/** Backend servers that are live and in service. */
		listBackendServers: (serves: string) => BackendServerDescription[];
		/** True once a planned stop began. */
		isStopping: () => boolean;
	};
	permits: {
		/** Resolves when the owner grants or refuses; refused with `owner_unreachable` when it does not answer. */
		request: (request: PermitRequest) => Promise<PermitReply>;
		withdraw: (request: PermitRequest) => void;
		recordFirstToken: (permit: Permit) => void;
		release: (permit: Permit, release: Omit<PermitRelease, 'permitId' | 'serverId'>) => void;
		/** False once the permit expired; nothing may be sent to the backend server under it. */
		isValid: (permit: Permit) => boolean;
		/** Fencing number for orders under a permit: that of the owner that granted or last renewed it. */
		getFencingNumber: (permit: Permit) => number;
		/** Last known load of a backend server. */
		getLoad: (serverId: string) => LoadSnapshot | undefined;
		/** True when this entry owns the backend server, so that a permit costs no message. */
		isOwned: (serverId: string) => boolean;
	};
	limits: {
		tryAdmit: (workspace: Workspace, plan: Plan, cost: RequestCost) => Promise<LimitAnswer>;
	};
	quarantine: {
		check: (fingerprint: string) => Promise<FingerprintStanding>;
		report: (report: FingerprintReport) => Promise<FingerprintStanding>;
	};
	explain: {
		record: (requestId: string, step: ExplainStep) => void;
		get: (requestId: string) => ExplainStep[] | undefined;
	};
	summary: {
		record: (record: RequestSummary) => void;
	};
};

/** Final outcome and timing of one request, for the daily report. */
export type RequestSummary = {
	workspaceId: string;
	promptTokens: number;
	outcome: string;
	reason?: RefusalReason | undefined;
	firstTokenMs?: number | undefined;
	firstTokenTargetMs?: number | undefined;
	durationMs: number;
	isLate: boolean;
};

/** Failure of a start, with the exit code documented in `--help`. */
export type StartFailure = {exitCode: number; message: string};
/** Result of starting one task. */
export type StartResult<Task> = Result<Task, StartFailure>;
