import type {PeerHandlers} from '@knapweedrack/protocol';
import type {AvailabilityTask} from './configuration/availability-task.js';
import type {ConfigurationTask} from './configuration/configuration-task.js';
import type {EntryServices} from './contracts.js';
import type {EntryTasks} from './entry-tasks.js';
import type {PeerSecrets} from './peers/peer-secrets.js';

/** Tasks and functions that answer the calls of other entries and of the command line. */
export type PeerHandlerOptions = {
	secrets: PeerSecrets;
	configuration: ConfigurationTask;
	availability: AvailabilityTask;
	explain: EntryServices['explain'];
	getTasks: () => EntryTasks;
	getStatus: () => unknown;
};

/** Connects the peer protocol to the tasks. */
export const createPeerHandlers = (options: PeerHandlerOptions): PeerHandlers => {
	const {secrets, configuration, availability, explain, getTasks, getStatus} = options;
	return {
		isAuthorized: secret => secrets.isAccepted(secret),
		requestPermit: async request => getTasks().admission.request(request),
		releasePermits(releases) {
			getTasks().admission.release(releases);
		},
		renewPermits: renewal => ({unknownPermitIds: getTasks().admission.renew(renewal)}),
		withdrawPermits(withdrawals) {
			getTasks().admission.withdraw(withdrawals);
		},
		requestSlices: requests => getTasks().limits.grantSlices(requests),
		acceptHeartbeat: heartbeat => getTasks().membership.acceptHeartbeat(heartbeat),
		fetchConfiguration: () => configuration.describe(),
		fetchAvailability: () => availability.availability,
		checkFingerprint: async fingerprint => getTasks().quarantine.checkOwned(fingerprint),
		reportFingerprint: async report => getTasks().quarantine.reportOwned(report),
		notifyFingerprint(record) {
			getTasks().quarantine.acceptNotification(record);
		},
		queryOwnership: serverId => getTasks().ownership.describe(serverId),
		getStatus,
		explainRequest: requestId => explain.get(requestId),
	};
};
