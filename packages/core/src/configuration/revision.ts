import type {ConfigurationManifest} from './chunks.js';

/** Fields that the configuration manifest and the availability share: their order and the edit that wrote them. */
export type Revision = {revision: number; editId: string};

/** Selects the higher revision, or `current` if both are equal. */
export const selectRevision = <Kind extends Revision>(current: Kind, offered: Kind): Kind =>
	offered.revision > current.revision ? offered : current;

/** Whether a write whose reply was lost took effect, according to the stored object. */
export type WriteResolution = 'applied' | 'not_applied' | 'conflict';

/**
 * Determines from the stored object whether a write whose reply was lost took effect. `conflict` means that another edit
 * was written since; the object does not show whether this edit took effect before.
 */
export const resolveWrite = (base: Revision, readBack: Revision | undefined, editId: string): WriteResolution => {
	if (readBack?.editId === editId) {
		return 'applied';
	}

	return (readBack?.revision ?? 0) === base.revision ? 'not_applied' : 'conflict';
};

/** Like `resolveWrite`, but also finds the edit among the earlier edits that the manifest lists. */
export const resolveManifestWrite = (base: Revision, readBack: ConfigurationManifest | undefined, editId: string): WriteResolution =>
	readBack?.recentEditIds.includes(editId) ? 'applied' : resolveWrite(base, readBack, editId);
