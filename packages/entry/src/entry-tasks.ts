import type {SessionRecord, TextHash32} from '@knapweedrack/core';
import type {InstanceDirectory} from '@knapweedrack/platform-client';
import type {ProcessSettings} from '@knapweedrack/protocol';
import {AdmissionTask} from './admission/admission-task.js';
import type {EngineClient} from './admission/engine-client.js';
import type {AvailabilityTask} from './configuration/availability-task.js';
import type {ConfigurationTask} from './configuration/configuration-task.js';
import type {Metrics, TimerService} from './contracts.js';
import {createEntryDirectory} from './directory/entry-directory.js';
import {LimitsTask} from './limits/limits-task.js';
import {MembershipTask} from './membership/membership-task.js';
import {OwnershipTask} from './ownership/ownership-task.js';
import type {PeerClients} from './peers/peer-clients.js';
import {PermitClient} from './permits/permit-client.js';
import {QuarantineTask} from './quarantine/quarantine-task.js';
import type {MonitoredStore} from './store/monitored-store.js';
import {SummaryTask} from './summary/summary-task.js';

/** Settings and dependencies that all tasks of an entry share. */
export type TaskContext = {
	settings: ProcessSettings;
	epoch: string;
	timer: TimerService;
	metrics: Metrics;
	store: MonitoredStore;
	instances: InstanceDirectory;
	engines: EngineClient;
	peers: PeerClients;
	hash: TextHash32;
	configuration: ConfigurationTask;
	availability: AvailabilityTask;
};

/** The tasks that need the entry's own addresses. */
export type EntryTasks = ReturnType<typeof createEntryTasks>;

/** Revisions in force, as carried by sessions and heartbeats. */
export const getRevisions = ({configuration, availability}: Pick<TaskContext, 'configuration' | 'availability'>) => ({
	configurationRevision: configuration.revision,
	availabilityRevision: availability.availability.revision,
});

/** Creates the tasks and connects them; nothing runs before they are started. */
export const createEntryTasks = (context: TaskContext, addresses: {callerAddress: string; peerAddress: string}) => {
	const {settings: {entryId, failureDomain, region, seedPeers}, epoch, configuration, availability} = context;
	const self: SessionRecord = {
		entryId, epoch, failureDomain, region, state: 'serving', ...addresses, ...getRevisions(context), renewal: 0,
	};
	const membership = new MembershipTask({
		...context, self, seedPeers, getRevisions: () => getRevisions(context),
	});
	const ownership = new OwnershipTask({...context, self, membership});
	const admission = new AdmissionTask({...context, ownership, membership});
	const permits = new PermitClient({
		...context, entryId, admission, ownership, membership,
	});
	const limits = new LimitsTask({
		...context, entryId, membership, findPlan: workspaceId => configuration.findPlan(workspaceId),
	});
	const quarantine = new QuarantineTask({...context, entryId, membership});
	const summary = new SummaryTask({...context, entryId});
	const directory = createEntryDirectory({
		...context, membership, ownership, admission,
	});

	membership.messages.subscribe(message => {
		if (message.type === 'heartbeat') {
			void configuration.acceptRevision(message.heartbeat.configurationRevision, message.sentAt);
			void availability.acceptRevision(message.heartbeat.availabilityRevision);
		}
	});
	return {
		membership, ownership, admission, permits, limits, quarantine, summary, directory,
	};
};
