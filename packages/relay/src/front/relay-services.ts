import type {ArrivalBudget} from '@knapweedrack/core';
import type {TimerService} from '@knapweedrack/entry/contracts';
import type {EngineOrderCodec, RelayBounds, WireCodec} from '../contracts.js';
import type {BackendConnections} from '../exchange/backend-connections.js';
import type {SilentServerTask} from '../exchange/silent-server-task.js';
import type {StoreStateTask} from '../store-state/store-state-task.js';
import type {DecisionLog} from '../logging/decision-log.js';
import type {RelayMetrics} from '../metrics/relay-metrics.js';
import type {PlacementTask} from '../placement/placement-task.js';

/** What a request task uses of the process. */
export type RelayServices = {
	bounds: RelayBounds;
	wire: WireCodec;
	timer: TimerService;
	log: DecisionLog;
	metrics: RelayMetrics;
	storeState: StoreStateTask;
	placement: PlacementTask;
	connections: BackendConnections;
	silentServers: SilentServerTask;
	orders: EngineOrderCodec;
	/** Repetitions allowed at a service. */
	getBudget: (service: string) => ArrivalBudget;
	/** Entries that may be alive, this one included. */
	countEntries: () => number;
	/** Ms since the planned stop began; undefined while the process serves. */
	getStoppingMs: () => number | undefined;
	/** In [0, 1). */
	random: () => number;
};
