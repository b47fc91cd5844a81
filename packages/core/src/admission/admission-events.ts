import type {
	AttemptResult, EngineReport, Permit, PermitRequest, RefusalReason,
} from '../types/index.js';

/** Share of the bounds that an owner may issue, see section 5 of the design page. */
export const admissionModes = {
	full: 'full',
	half: 'half',
	rebuilding: 'rebuilding',
	stopped: 'stopped',
} as const;
/** One of the admission modes. */
export type AdmissionMode = (typeof admissionModes)[keyof typeof admissionModes];

/** What happens at an admission point. */
export type AdmissionEvent =
	| {type: 'request'; request: PermitRequest}
	/** Unknown ids with a lower fencing number are adopted as permits of a former owner. */
	| {type: 'renew'; permitIds: string[]}
	| {type: 'firstToken'; permitId: string}
	| {type: 'release'; permitId: string; result: AttemptResult}
	| {type: 'withdraw'; requestId: string; attemptId: string}
	| {type: 'report'; report: EngineReport}
	| {type: 'mode'; mode: AdmissionMode}
	| {type: 'tick'};

/** What the owner of the backend server has to do. */
export type AdmissionCommand =
	| {type: 'grant'; permit: Permit}
	| {type: 'refuse'; requestId: string; attemptId: string; reason: RefusalReason; retryAfterMs: number}
	/** On the engine: work that nobody owns; emitted in mode `full` only. */
	| {type: 'cancel'; requestId: string; attemptId: string};
