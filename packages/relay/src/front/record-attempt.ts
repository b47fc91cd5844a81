import type {PlacedRequest} from '../placement/placement-task.js';
import type {ServerNoticeTask} from '../server-notices/server-notice-task.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {AttemptResult} from './attempt-result.js';
import type {RelayServices} from './relay-services.js';

/** An attempt that has ended, as described in the log. */
export type RecordedAttempt = {
	placed: PlacedRequest;
	result: AttemptResult;
	/** Time at which the attempt began, on the clock of the timer service, in ms. */
	sentAt: number;
	/** Holds of the backend servers when the attempt began. */
	holds: ReturnType<ServerNoticeTask['describeHolds']>;
};

/** Counts and logs an attempt that has ended. */
export const recordAttempt = (
	{log, metrics, timer, storeState}: RelayServices,
	{service, route, envelope, fingerprints, arrivedAt}: AdmittedRequest,
	{placed, result, sentAt, holds}: RecordedAttempt,
): void => {
	metrics.countAttempt(service.name, result.type);
	log.writeRequest('attempt', envelope.requestId, {
		route: route.name, server: placed.server.id, inputs: placed.inputs, outcome: result.type,
		...('cause' in result && {cause: result.cause}), ...('causeAddress' in result && {causeAddress: result.causeAddress}), ...('head' in result && {status: result.head.status}),
		limit: result.requestsPerSecondLimit, backoffMs: result.backoffMs, holds, tunnel: result.tunnelPeerId,
		predictedMs: Math.round(placed.predictedFirstTokenMs),
		firstByteMs: roundMs(result.firstByteAt === undefined ? undefined : result.firstByteAt - sentAt),
		longestPauseMs: roundMs(result.longestPauseMs),
		silentMs: roundMs(result.silentMs),
		waitedMs: Math.round(sentAt - arrivedAt),
		durationMs: Math.round(timer.now() - sentAt), configuration: storeState.table?.configuration.version,
		tokens: envelope.prompt?.promptTokens, content: fingerprints[0], parts: fingerprints.slice(1),
	});
};

const roundMs = (durationMs: number | undefined): number | undefined => durationMs === undefined ? undefined : Math.round(durationMs);
