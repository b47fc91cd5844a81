import {randomUUID} from 'node:crypto';
import {z} from 'zod';

/** One edit of the configuration or the availability, kept with the state it produced. */
export const editRecordSchema = z.object({
	revision: z.number().int().nonnegative(),
	editId: z.string(),
	author: z.string(),
	/** Description of the change for operators. */
	summary: z.string(),
});
/** One edit of the configuration or the availability. */
export type EditRecord = z.infer<typeof editRecordSchema>;

/** Long enough that a command finds its edit after a lost answer although other operators keep editing. */
const editHistoryLimit = 32;

/** Adds an edit, newest first; the oldest ones are dropped. */
export const addEdit = (edits: readonly EditRecord[], edit: EditRecord): EditRecord[] => [edit, ...edits].slice(0, editHistoryLimit);

/** Lists the edits that were made after a revision, newest first. */
export const listEditsAfter = (edits: readonly EditRecord[], revision: number): EditRecord[] => edits.filter(edit => edit.revision > revision);

/** Renders who changed what, one line per edit. */
export const renderEdits = (edits: readonly EditRecord[]): string =>
	edits.map(({revision, author, summary, editId}) => `  revision ${revision} by ${author}: ${summary} (edit ${editId})`).join('\n');

/** Creates an edit id that is unique across operators. */
export const createEditId = (): string => randomUUID();
