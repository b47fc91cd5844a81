/** Session of one entry, kept in the object API and renewed by the entry. */
export type SessionRecord = {
	entryId: string;
	/** Changes with each start of the process. */
	epoch: string;
	/** `host:port` of the listener for callers. */
	callerAddress: string;
	/** `host:port` of the listener for other entries. */
	peerAddress: string;
	failureDomain: string;
	region: string;
	state: 'serving' | 'stopping';
	configurationRevision: number;
	availabilityRevision: number;
	/** Increases with each renewal, so that observers see a change. */
	renewal: number;
};

/** Owner of a backend server; written when ownership changes and after a lapse of the owner's lease. */
export type OwnerRecord = {
	serverId: string;
	owner: string;
	/** `host:port` of the owner's listener for other entries; another process that listens there proves that the owner ended. */
	ownerAddress?: string | undefined;
	epoch: string;
	/** Increases with each write of the record except a release. */
	fencingNumber: number;
	/** True once the owner released its ownership and issues no more permits. */
	released: boolean;
};

/** State of one entry, exchanged between entries once a second. */
export type Heartbeat = {
	entryId: string;
	epoch: string;
	failureDomain: string;
	state: 'serving' | 'stopping';
	/** True when the object API answered a call sent at most 3 s ago (`OwnershipTable.hasStoreContact`); ownership relies on it. */
	reachesStore: boolean;
	configurationRevision: number;
	availabilityRevision: number;
};
