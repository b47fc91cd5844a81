import type {MemoryLedger, SharedRetryBudget} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {EngineOrderCodec, RelayBounds, WireCodec} from '../contracts.js';
import type {BackendConnections} from '../exchange/backend-connections.js';
import type {ReachabilityTask} from '../tunnels/reachability-task.js';
import type {SilentServerTask} from '../exchange/silent-server-task.js';
import type {StoreStateTask} from '../store-state/store-state-task.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {PlacementTask} from '../placement/placement-task.js';
import type {CrashDetectionTask} from '../quarantine/crash-detection-task.js';
import type {QuarantineTask} from '../quarantine/quarantine-task.js';
import type {ServerLimitTask} from '../server-limits/server-limit-task.js';
import type {WaitingTask} from '../waiting/waiting-task.js';
import type {ServerNoticeTask} from '../server-notices/server-notice-task.js';
import type {BodyArrivals} from './body-arrivals.js';
import type {RefusalLog} from './refusal-log.js';

/** Services of the process that a request uses. */
export type RelayServices = {
	bounds: RelayBounds;
	/** Memory that the process holds for callers, backend servers, peers and the store. */
	memory: MemoryLedger;
	/** Bodies of callers that are not complete. */
	bodyArrivals: BodyArrivals;
	/** Log of refusals that a crowd causes. */
	refusalLog: RefusalLog;
	wire: WireCodec;
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	storeState: StoreStateTask;
	placement: PlacementTask;
	waiting: WaitingTask;
	connections: BackendConnections;
	reachability: ReachabilityTask;
	silentServers: SilentServerTask;
	crashDetection: CrashDetectionTask;
	quarantine: QuarantineTask;
	serverLimits: ServerLimitTask;
	serverNotices: ServerNoticeTask;
	orders: EngineOrderCodec;
	/** Returns the retry budget of a service. */
	getBudget: (service: string) => SharedRetryBudget;
	/** Returns the most connections of callers that may be open now. */
	computeConnectionLimit: () => number;
	/** Number of entries that may be running, including this one. */
	countEntries: () => number;
	/** Time since the process has followed an earlier one of the same entry, in ms; undefined when there was none. */
	getRestartedMs: () => number | undefined;
	/** Time since the planned stop began, in ms; undefined while the process is not stopping. */
	getStoppingMs: () => number | undefined;
	/** Time until a planned stop ends the requests that are still open, in ms; undefined while the process is not stopping. */
	getStopLeftMs: () => number | undefined;
	/** Returns a random number in [0, 1). */
	random: () => number;
};
