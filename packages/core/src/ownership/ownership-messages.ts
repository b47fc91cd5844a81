import type {BackendServerDescription} from '../types/backend-server.js';
import type {Availability} from '../types/configuration.js';
import type {Heartbeat, OwnerRecord, SessionRecord} from '../types/session.js';

/**
 * How an owner issues permits: up to each bound (`full`), up to half of each bound, rounded down (`half`), only what is
 * certain to be free while the open permits are being collected (`rebuilding`), or not at all (`stopped`).
 */
export type OwnershipMode = 'full' | 'half' | 'rebuilding' | 'stopped';

/** Inputs of the ownership table; `sentAt` is the sending time of the call whose answer the event carries. */
export type OwnershipEvent =
	/** End of validity of this entry's session after a renewal or a reset. */
	| {type: 'lease'; validUntil: number}
	/** All sessions, from a list. */
	| {type: 'sessions'; sessions: readonly SessionRecord[]; sentAt: number}
	/** One session, from a read or a watch; undefined when it does not exist. */
	| {type: 'session'; entryId: string; session: SessionRecord | undefined; sentAt: number}
	/** One owner record with its version; version 0 and undefined when it never existed. */
	| {type: 'owner'; serverId: string; record: OwnerRecord | undefined; version: number}
	| {type: 'heartbeat'; heartbeat: Heartbeat; sentAt: number}
	/** The instance list; `entryIds` names the instances of entries. */
	| {type: 'instances'; servers: readonly BackendServerDescription[]; entryIds: readonly string[]}
	/** An entry's process is certain to have ended, for example because its address refuses connections. */
	| {type: 'entryEnded'; entryId: string}
	| {type: 'availability'; availability: Availability}
	/** Result of the conditional write of an owner record; `unknown` when its answer was lost. */
	| {type: 'writeResult'; serverId: string; result: OwnerWriteResult}
	/** Answer of a former owner to `queryFormerOwner`. */
	| {type: 'formerOwner'; serverId: string; entryId: string; isIssuing: boolean}
	/** The engine's list of running requests and the open permits of all entries, the former owner included, are known. */
	| {type: 'rebuilt'; serverId: string}
	/** A planned stop began. */
	| {type: 'stopping'}
	| {type: 'tick'};

/** Result of the conditional write of an owner record. */
export type OwnerWriteResult =
	| {type: 'ok'; version: number}
	| {type: 'mismatch'}
	/** The write did not take effect. */
	| {type: 'failed'}
	| {type: 'unknown'};

/** Outputs of the ownership table; an empty list means that nothing is to be sent. */
export type OwnershipCommand =
	/** Conditional write on the stated version; version 0 creates the record. Answered by `writeResult`. */
	| {type: 'writeOwner' | 'release'; serverId: string; record: OwnerRecord; version: number}
	/** Answered by `owner`. */
	| {type: 'readOwner'; serverId: string}
	/** Answered by `session`. */
	| {type: 'readSession'; entryId: string}
	/** Answered by `formerOwner`. */
	| {type: 'queryFormerOwner'; serverId: string; entryId: string}
	| {type: 'setMode'; serverId: string; mode: OwnershipMode};
