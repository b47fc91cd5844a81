import {refusalReasons, retryReasons} from '@knapweedrack/core';

/** Counters of events; `docs/metrics.md` describes each of them. */
export const counterNames = {
	requestAccepted: 'request.accepted',
	requestCompleted: 'request.completed',
	frameDiscarded: 'stream.frame_discarded',
	backgroundFailed: 'background.failed',
	permitGranted: 'permit.granted',
	permitRefused: 'permit.refused',
	permitUnknown: 'permit.unknown',
	releaseDropped: 'permit.release_dropped',
	sessionRenewed: 'session.renewed',
	sessionRenewalFailed: 'session.renewal_failed',
	clockGap: 'session.clock_gap',
	heartbeatSent: 'heartbeat.sent',
	heartbeatFailed: 'heartbeat.failed',
	watchRestarted: 'watch.restarted',
	configurationApplied: 'configuration.applied',
	configurationRejected: 'configuration.rejected',
	availabilityApplied: 'availability.applied',
	ownershipAcquired: 'ownership.acquired',
	ownershipLost: 'ownership.lost',
	ownerWriteFailed: 'ownership.write_failed',
	engineUnreachable: 'engine.unreachable',
	engineRestarted: 'engine.restarted',
	engineCancelled: 'engine.cancelled',
	peerUnauthorized: 'peer.unauthorized',
	peerConnected: 'peer.connected',
	peerDisconnected: 'peer.disconnected',
	sliceFloor: 'limits.floor_used',
	quarantineWriteFailed: 'quarantine.write_failed',
	summaryWritten: 'summary.written',
	summaryWriteFailed: 'summary.write_failed',
} as const;

/** Timings in ms. */
export const durationNames = {
	firstToken: 'request.first_token',
	requestDuration: 'request.duration',
	permitWait: 'permit.wait',
	enginePoll: 'engine.poll',
} as const;

/** All metrics of the process with their types, as listed in `docs/metrics.md`. */
export const listMetrics = (): Array<{name: string; type: 'counter' | 'timing'}> => [
	...Object.values(refusalReasons).map(reason => ({name: `refusal.${reason}`, type: 'counter' as const})),
	...Object.values(retryReasons).map(reason => ({name: `retry.${reason}`, type: 'counter' as const})),
	...Object.values(counterNames).map(name => ({name, type: 'counter' as const})),
	...Object.values(durationNames).map(name => ({name, type: 'timing' as const})),
];
