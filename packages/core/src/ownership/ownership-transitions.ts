import type {TransitionTable} from '../lifecycle/lifecycle.js';

/** Phases of the ownership of one backend server at one entry. */
export type OwnershipPhase =
	| 'notOwned'
	/** The record names this entry; the open permits of the former owner are not known yet. */
	| 'rebuilding'
	/** A former owner that did not release may still issue up to half of each bound. */
	| 'disputed'
	| 'owned'
	/** No more permits are issued; the release of the record is not confirmed. */
	| 'releasing';

/** Events that move an ownership from one phase to another. */
export type OwnershipTransition = 'acquire' | 'rebuild' | 'rebuildDisputed' | 'resolve' | 'release' | 'lose';

/** Next phase by phase and event; `releasing` leads only to `notOwned`, so that issuing needs a new acquisition. */
export const ownershipTransitions: TransitionTable<OwnershipPhase, OwnershipTransition> = {
	notOwned: {acquire: 'rebuilding'},
	rebuilding: {
		rebuild: 'owned', rebuildDisputed: 'disputed', release: 'releasing', lose: 'notOwned',
	},
	disputed: {resolve: 'owned', lose: 'notOwned'},
	owned: {release: 'releasing', lose: 'notOwned'},
	releasing: {lose: 'notOwned'},
};
