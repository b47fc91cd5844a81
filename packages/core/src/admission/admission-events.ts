import type {
	AttemptResult, EngineReport, Permit, PermitRequest, RefusalReason,
} from '../types/index.js';

/**
 * Share of the capacity bounds up to which an owner may issue permits.
 * `half` keeps two entries that both act as owner within the whole bounds. `rebuilding` applies after a change of
 * owner, while the permits of the former owner are collected from their renewals. `stopped` issues nothing.
 */
export const admissionModes = {
	full: 'full',
	half: 'half',
	rebuilding: 'rebuilding',
	stopped: 'stopped',
} as const;
/** Value of `admissionModes`. */
export type AdmissionMode = (typeof admissionModes)[keyof typeof admissionModes];

/** Input of an admission point. */
export type AdmissionEvent =
	| {type: 'request'; request: PermitRequest}
	/** Unknown permit ids with a lower fencing number are taken over as permits of a former owner. */
	| {type: 'renew'; permitIds: string[]}
	| {type: 'firstToken'; permitId: string}
	| {type: 'release'; permitId: string; result: AttemptResult}
	| {type: 'withdraw'; requestId: string; attemptId: string}
	| {type: 'report'; report: EngineReport}
	| {type: 'mode'; mode: AdmissionMode}
	| {type: 'tick'};

/** Output of an admission point, to be carried out by the owner of the backend server. */
export type AdmissionCommand =
	| {type: 'grant'; permit: Permit}
	| {type: 'refuse'; requestId: string; attemptId: string; reason: RefusalReason; retryAfterMs: number}
	/** Cancels an attempt that runs on the engine without a valid permit; emitted in mode `full` only. */
	| {type: 'cancel'; requestId: string; attemptId: string};
