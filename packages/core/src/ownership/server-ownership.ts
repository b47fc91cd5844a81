import {Lifecycle} from '../lifecycle/lifecycle.js';
import type {BackendServerDescription} from '../types/backend-server.js';
import type {OwnerRecord} from '../types/session.js';
import type {OwnershipMode} from './ownership-messages.js';
import {ownershipTransitions, type OwnershipPhase, type OwnershipTransition} from './ownership-transitions.js';

/** Former owners that may still issue permits. */
export type Dispute = {
	/** Time since which at most one peer, the former owner, may lack the object API; undefined while several may. */
	atMostOneUncertainSince: number | undefined;
	/** Former owners, each with the time by which its permits have certainly expired; infinite while it may still issue. */
	permitsExpireBy: Map<string, number>;
};

/** A conditional write in progress. */
export type PendingWrite = {
	kind: 'take' | 'reclaim' | 'release';
	record: OwnerRecord;
	dispute?: Dispute | undefined;
	/** Number of lapses of this entry's lease when the write was sent. */
	lapses: number;
};

/** What one entry knows about the ownership of one backend server. */
export class ServerOwnership {
	readonly lifecycle = new Lifecycle<OwnershipPhase, OwnershipTransition>(ownershipTransitions, 'notOwned');
	record: OwnerRecord | undefined;
	/** Version of the record in the object API; 0 when it does not exist. */
	version = 0;
	/** True while the record is known to be current as of the latest write or read. */
	isRecordKnown = false;
	/** Time at which the present version was first seen. */
	recordSeenAt = Number.NEGATIVE_INFINITY;
	pending: PendingWrite | undefined;
	/** Latest writes without a known effect, newest last. */
	unresolvedWrites: PendingWrite[] = [];
	retryAt = Number.NEGATIVE_INFINITY;
	acquiredAt = Number.NEGATIVE_INFINITY;
	dispute: Dispute | undefined;
	/** Number of lapses of this entry's lease that happened before the record was last rewritten. */
	coveredLapses = 0;
	/** Number of the latest lapse after which this owner stopped; 0 for none. */
	stoppedAtLapse = 0;
	/** Number of the latest lapse after which this owner was restricted to half of each bound; 0 for none. */
	halvedAtLapse = 0;
	mode: OwnershipMode = 'stopped';
	desiredOwner: string | undefined;
	desiredVersion = -1;
	isListed = true;

	constructor(public description: BackendServerDescription, readonly keyHash: number) {}

	get phase(): OwnershipPhase {
		return this.lifecycle.current;
	}

	/** True from a stop after a lapse until the record is rewritten. */
	get isStoppedByLapse(): boolean {
		return this.stoppedAtLapse > this.coveredLapses;
	}

	/** True from a restriction to half after a lapse until the record is rewritten, as a takeover may have gone unnoticed. */
	get isHalvedByLapse(): boolean {
		return this.halvedAtLapse > this.coveredLapses;
	}

	get isOwned(): boolean {
		return this.phase !== 'notOwned';
	}
}
