import {Lifecycle} from '../lifecycle/lifecycle.js';
import type {BackendServerDescription} from '../types/backend-server.js';
import type {OwnerRecord} from '../types/session.js';
import type {OwnershipMode} from './ownership-messages.js';
import {ownershipTransitions, type OwnershipPhase, type OwnershipTransition} from './ownership-transitions.js';

/** Former owners that may still issue permits. */
export type Dispute = {
	/** Time since which at most one entry of the region, the former owner, may be without the object API; undefined while there are more. */
	atMostOneUncertainSince: number | undefined;
	/** Former owners, each with the time from which its permits are certain to have expired. */
	permitsExpireBy: Map<string, number>;
};

/** A conditional write in progress. */
export type PendingWrite = {
	kind: 'take' | 'reclaim' | 'release';
	record: OwnerRecord;
	dispute?: Dispute | undefined;
	/** Number of lapses of the own lease when the write was sent. */
	lapses: number;
};

/** What one entry knows about the ownership of one backend server. */
export class ServerOwnership {
	readonly lifecycle = new Lifecycle<OwnershipPhase, OwnershipTransition>(ownershipTransitions, 'notOwned');
	record: OwnerRecord | undefined;
	version = 0;
	/** True while the record is known to be current as of the latest write or read. */
	isRecordKnown = false;
	/** Time at which the present version was first seen. */
	recordSeenAt = Number.NEGATIVE_INFINITY;
	pending: PendingWrite | undefined;
	/** Latest writes whose answers were lost, newest last. */
	unresolvedWrites: PendingWrite[] = [];
	retryAt = Number.NEGATIVE_INFINITY;
	acquiredAt = Number.NEGATIVE_INFINITY;
	dispute: Dispute | undefined;
	/** Lapses of the own lease that the record has been rewritten after. */
	coveredLapses = 0;
	/** Latest lapse after which this owner stopped. */
	stoppedAtLapse = 0;
	/** Latest lapse after which this owner was restricted to half of each bound. */
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

	/** True from a restriction to half after a lapse until the record is rewritten; an unseen takeover may have happened since. */
	get isHalvedByLapse(): boolean {
		return this.halvedAtLapse > this.coveredLapses;
	}

	get isOwned(): boolean {
		return this.phase !== 'notOwned';
	}
}
