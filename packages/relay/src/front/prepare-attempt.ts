import {waitFor} from '@knapweedrack/entry/timer-service';
import {reserveMemory, type MemoryReservation} from '../exchange/memory-reservation.js';
import type {PlacedRequest, PlacementDemand} from '../placement/placement-task.js';
import type {WaitingEnd} from '../waiting/waiting-task.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {RelayServices} from './relay-services.js';
import {isPlacementUsable} from './server-availability.js';

/** Interval at which placement of a waiting prompt is retried, in ms; much shorter than the shortest target. */
const placementRetryMs = 20;
/** Delay before a failed memory reservation is retried, in ms; streams end, and free memory, in about this time. */
const reservationRetryMs = 150;
/** Share of the time until its deadline for which a request waits for free memory; the same share as `lateWaitShare` for idle engines. */
const reservationWaitShare = 0.35;
const noReservation: MemoryReservation = {ids: new Map(), release: () => undefined};

/** Backend servers and memory for an attempt; the one who sends it, or gives it up, releases both. */
export type PreparedAttempt = {type: 'prepared'; placed: PlacedRequest; reservation: MemoryReservation};

/** Why no attempt was prepared. */
export type UnpreparedAttempt =
	/** It is not needed any more: the answer has ended or continues, or nobody waits for one. */
	| {type: 'over'}
	/** The process ends before an attempt may, and no backend server can have run the request yet. */
	| {type: 'stopping'}
	/** The content must not run. */
	| {type: 'content_refused'}
	/** No backend server can take the request. */
	| {type: 'unplaced'}
	/** The request would pass its deadline in the queue of its service. */
	| {type: 'deadlineUnreachable'};

/** Result of `prepareAttempt`. */
export type AttemptPreparation = PreparedAttempt | UnpreparedAttempt;

/** Conditions under which an attempt is prepared. */
export type PreparationOptions = {
	/** Backend servers that are not selected. */
	excludedServerIds: ReadonlySet<string>;
	/** Returns false once the attempt is not needed any more. */
	isNeeded: () => boolean;
	/** Returns true when the request must not begin to run, because the process ends soon. */
	isRefusedByStop: () => boolean;
	/** Returns true when the content must not run. */
	isContentRefused: () => boolean;
	/** Returns the time at which the caller was sent the latest part of an answer, in ms; undefined when it has none. */
	getLatestPartAt: () => number | undefined;
};

/** Selects backend servers for an attempt and reserves the memory that it needs; waits for both while the attempt is needed. */
export const prepareAttempt = async (services: RelayServices, admitted: AdmittedRequest, options: PreparationOptions): Promise<AttemptPreparation> => {
	const {timer, placement} = services;
	const {excludedServerIds, isNeeded, isRefusedByStop, isContentRefused, getLatestPartAt} = options;
	while (isNeeded()) {
		if (isRefusedByStop()) {
			return {type: 'stopping'};
		}

		if (isContentRefused()) {
			return {type: 'content_refused'};
		}

		const demand = buildDemand(services, admitted, getLatestPartAt());
		const placed = admitted.urgency === undefined
			? placement.place(admitted.service, demand, excludedServerIds)
			: await waitInQueue(services, admitted, admitted.urgency, options);
		if (placed === 'over') {
			continue;
		}

		if (placed === 'deadlineUnreachable') {
			return {type: 'deadlineUnreachable'};
		}

		if (placed === 'unplaced' || (placed === undefined && !canWaitForServer(services, admitted, demand, options))) {
			return {type: 'unplaced'};
		}

		if (placed === undefined || placed === 'wait') {
			await waitFor(timer, placementRetryMs);
			continue;
		}

		const reservation = await reserve(services, admitted, placed);
		if (reservation === undefined) {
			placed.release();
			if (isReservationTimeOver(demand)) {
				return {type: 'unplaced'};
			}

			await waitFor(timer, reservationRetryMs);
			continue;
		}

		// While memory was being reserved, the request may have ended, its content may have ended servers, a server may have left, or a stop may have gone on.
		if (isNeeded() && !isRefusedByStop() && !isContentRefused() && isPlacementUsable(services, placed)) {
			return {type: 'prepared', placed, reservation};
		}

		reservation.release();
		placed.release();
	}

	return {type: 'over'};
};

/** Waits in the queue of a service whose requests differ in urgency. */
const waitInQueue = async (services: RelayServices, admitted: AdmittedRequest, urgency: number, options: PreparationOptions): Promise<PlacedRequest | WaitingEnd> => {
	const {excludedServerIds, isNeeded, isRefusedByStop, isContentRefused, getLatestPartAt} = options;
	return services.waiting.acquire({
		requestId: admitted.envelope.requestId, route: admitted.route.name, service: admitted.service, urgency, workspace: admitted.workspace, excludedServerIds,
		buildDemand: () => buildDemand(services, admitted, getLatestPartAt()),
		canWait: demand => canWaitForServer(services, admitted, demand, options),
		isOver: () => !isNeeded() || isRefusedByStop() || isContentRefused(),
	});
};

/**
 * True while a stream that has begun may wait for another server. Its caller has been promised the rest, so it is not refused as a new
 * request is that would be late; it ends when no server can take it before its deadline, or when its caller leaves.
 */
const canWaitForServer = ({placement}: RelayServices, {service}: AdmittedRequest, demand: PlacementDemand, {excludedServerIds}: PreparationOptions): boolean =>
	demand.hasBegun && placement.canBePlacedLater(service, demand, excludedServerIds);

/** The wait of a stream that has begun counts from its latest part. */
const buildDemand = ({timer}: RelayServices, {envelope: {prompt}, route, arrivedAt, computeRemainingMs}: AdmittedRequest, latestPartAt: number | undefined): PlacementDemand => ({
	promptTokens: prompt?.promptTokens ?? 0,
	outputTokens: prompt?.expectedOutputTokens ?? prompt?.outputTokens ?? 0,
	targetMs: route.targetMs,
	waitedMs: timer.now() - (latestPartAt ?? arrivedAt),
	hasBegun: latestPartAt !== undefined,
	deadlineMs: computeRemainingMs(),
	pauseTargetMs: route.pauseTargetMs,
});

/** Reserves the memory that a placement needs on helpers; returns undefined when not all of it could be reserved. */
const reserve = async (services: RelayServices, {envelope}: AdmittedRequest, placed: PlacedRequest): Promise<MemoryReservation | undefined> => {
	try {
		return placed.reservations.length === 0 ? noReservation : await reserveMemory(services, placed.reservations, envelope.requestId);
	} catch (error) {
		placed.release();
		throw error;
	}
};

/** True once waiting for memory has used so much time that too little remains for the answer; the caller should retry later. */
const isReservationTimeOver = ({waitedMs, deadlineMs}: PlacementDemand): boolean => waitedMs > (waitedMs + deadlineMs) * reservationWaitShare;
