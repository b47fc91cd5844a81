import {randomUUID} from 'node:crypto';
import type {ChainPosition} from '@knapweedrack/core';
import type {RegisteredServer} from '../contracts.js';
import {crashEvidence, lossKinds, type LossKind} from '../quarantine/crash-detection-task.js';
import {misdirectedStatus, type AttemptResult} from './attempt-result.js';
import type {RelayServices} from './relay-services.js';

const connectionRefused = 'ECONNREFUSED';
/** Most characters of a caller's request id in the id of an attempt. */
const requestIdLimit = 100;

/** An attempt that has ended. */
export type EndedAttempt = {
	/** Fingerprints of the request, with the positions in chains of crashes that they take if the backend server has ended. */
	positions: ChainPosition[];
	requestId: string | undefined;
	/** Number of attempts of the request up to this one. */
	attempt: number;
	server: RegisteredServer;
	/** Time at which the attempt began, on the clock of the timer service, in ms. */
	sentAt: number;
};

/** Passes on what the result of an attempt tells about its content, and about whether its backend server has ended. */
export const recordCrashEvidence = (services: RelayServices, ended: EndedAttempt, result: AttemptResult): void => {
	services.quarantine.endRun(listFingerprints(ended));
	if (result.hasHead && !isMisdirected(result)) {
		services.crashDetection.recordAnswer(ended.server.id, ended.sentAt);
	}

	handlers[result.type]?.(services, ended, result);
};

const isMisdirected = (result: AttemptResult): boolean => result.type === 'not_run' && result.status === misdirectedStatus;

const listFingerprints = ({positions}: EndedAttempt): string[] => positions.map(({fingerprint}) => fingerprint);

const recordAnswer = (services: RelayServices, ended: EndedAttempt, result: AttemptResult): void => {
	if (result.hasCompleted) {
		services.quarantine.recordCompletion(listFingerprints(ended));
	} else if (!result.isDelimited) {
		recordLoss(services, ended, lossKinds.close);
	}
};

const recordLoss = ({crashDetection}: RelayServices, {positions, requestId, attempt, server}: EndedAttempt, kind: LossKind): void => {
	const attemptId = `${(requestId ?? randomUUID()).slice(0, requestIdLimit)}/${attempt}`;
	void crashDetection.recordLoss({
		positions, attemptId, serverId: server.id, bootId: server.bootId,
	}, server.address, kind);
};

const handlers: Partial<Record<AttemptResult['type'], (services: RelayServices, ended: EndedAttempt, result: AttemptResult) => void>> = {
	delivered: recordAnswer,
	failed: recordAnswer,
	not_run(services, ended, result) { // eslint-disable-line @typescript-eslint/naming-convention -- Outcome of an attempt as logged.
		if (isMisdirected(result)) {
			services.crashDetection.recordEnd(ended.server.id, crashEvidence.misdirected);
		}
	},
	not_sent(services, ended, result) { // eslint-disable-line @typescript-eslint/naming-convention -- Outcome of an attempt as logged.
		if (result.type === 'not_sent' && result.cause === connectionRefused) {
			services.crashDetection.recordEnd(ended.server.id, crashEvidence.refused);
		}
	},
	broken(services, ended, result) {
		if (result.type === 'broken' && result.loss !== undefined) {
			recordLoss(services, ended, result.loss);
		}
	},
	cancelled(services, ended, result) {
		if (result.firstByteAt === undefined && !result.hasLost) {
			recordLoss(services, ended, lossKinds.silence);
		}
	},
};
