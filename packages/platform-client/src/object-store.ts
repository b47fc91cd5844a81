import type {Result} from '@knapweedrack/core';
import type {ObjectList, StoredObject, WatchAnswer} from '@knapweedrack/protocol';

/**
 * Reason for the failure of an object API call.
 * `unknown`: no valid answer was received, so a write may have taken effect.
 * `compacted`: the history after the requested revision is no longer available, so the objects must be listed again.
 */
export type StoreFailure =
	| {kind: 'not_found'}
	| {kind: 'version_mismatch'; version: number}
	| {kind: 'too_large'}
	| {kind: 'rate_limited'; retryAfterMs: number}
	| {kind: 'compacted'}
	| {kind: 'unavailable'; message: string}
	| {kind: 'unknown'; message: string};

/** Condition of a write: the object must not exist, or must have this version. */
export type WriteCondition = {create: true} | {version: number};

/** Time limit and cancellation of one call. */
export type CallOptions = {
	/** Time limit for one attempt of the call, in ms. */
	timeoutMs?: number | undefined;
	signal?: AbortSignal | undefined;
};

/** Options of a watch; `era` is that of the revision to continue from, as far as the store states one. */
export type WatchOptions = CallOptions & {era?: number | undefined};

/** Client of the object API; failures are returned as values, not thrown. */
export type ObjectStore = {
	get: (key: string, options?: CallOptions) => Promise<Result<StoredObject, StoreFailure>>;
	/** `era` changes when the store has lost changes, so that revisions of different eras cannot be compared; undefined when it states none. */
	list: (prefix: string, options?: CallOptions) => Promise<Result<ObjectList & {era?: number | undefined}, StoreFailure>>;
	put: (key: string, value: unknown, condition?: WriteCondition, options?: CallOptions) => Promise<Result<{version: number}, StoreFailure>>;
	delete: (key: string, condition?: WriteCondition, options?: CallOptions) => Promise<Result<{version: number}, StoreFailure>>;
	/** Waits for changes after a revision; returns an empty list when there are none within `waitMs`. */
	watch: (prefix: string, after: number, waitMs: number, options?: WatchOptions) => Promise<Result<WatchAnswer, StoreFailure>>;
};
