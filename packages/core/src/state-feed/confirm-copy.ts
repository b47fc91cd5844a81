import type {ClockReading, FreshnessTracker} from '../traffic/index.js';
import type {StatePosition} from './state-copy.js';

/** Position of a reader's copy, and the time in ms since the reader sent the call to the store that confirmed it. */
export type StateAge = StatePosition & {ageMs: number};

/**
 * Computes what a reader may tell of its copy; undefined when the store has not confirmed it, or the reader was suspended since. Only
 * confirmations by the store itself belong into the tracker of a reader, so that nobody passes on what it has from another entry.
 */
export const computeStateAge = (position: StatePosition | undefined, confirmed: FreshnessTracker, now: ClockReading): StateAge | undefined => {
	const ageMs = confirmed.computeAgeMs(now);
	return position === undefined || !Number.isFinite(ageMs) ? undefined : {...position, ageMs};
};

/**
 * Computes the time at which a follower's copy was confirmed; undefined when the copy lacks changes that the reader has, or belongs to
 * another era. The reader computed the age after the follower asked, so the question is a time from which the age can be counted
 * however long the answer took. Both clocks are moved back, so that a suspension of the follower after the question shows.
 */
export const computeConfirmation = (position: StatePosition | undefined, {era, revision, ageMs}: StateAge, askedAt: ClockReading): ClockReading | undefined =>
	position?.era !== era || position.revision < revision ? undefined : {monotonic: askedAt.monotonic - ageMs, wall: askedAt.wall - ageMs};
