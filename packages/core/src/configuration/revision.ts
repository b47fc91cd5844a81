import type {ConfigurationManifest} from './chunks.js';

/** What orders two states of the configuration or of the availability. */
export type Revision = {revision: number; editId: string};

/** Selects the revision in force; the highest wins and an equal one changes nothing. */
export const selectRevision = <Kind extends Revision>(current: Kind, offered: Kind): Kind =>
	offered.revision > current.revision ? offered : current;

/** Result of reading back after a write whose answer was lost. */
export type WriteResolution = 'applied' | 'not_applied' | 'conflict';

/**
 * Resolves a lost answer from the object as read back. `conflict` means that another edit was written since;
 * whether this one took effect in between cannot be told from the object alone.
 */
export const resolveWrite = (base: Revision, readBack: Revision | undefined, editId: string): WriteResolution => {
	if (readBack?.editId === editId) {
		return 'applied';
	}

	return (readBack?.revision ?? 0) === base.revision ? 'not_applied' : 'conflict';
};

/** Resolves a lost answer for the manifest, which also names the latest edits before it. */
export const resolveManifestWrite = (base: Revision, readBack: ConfigurationManifest | undefined, editId: string): WriteResolution =>
	readBack?.recentEditIds.includes(editId) ? 'applied' : resolveWrite(base, readBack, editId);
