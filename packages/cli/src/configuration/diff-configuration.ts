import {isDeepStrictEqual} from 'node:util';
import type {ChunkKind, ConfigurationChunk} from '@knapweedrack/core';
import type {ConfigurationLists} from '@knapweedrack/protocol';

/** Change of one field of an item. */
export type FieldChange = {field: string; before: unknown; after: unknown};

/** Change of one plan, service or workspace. */
export type ItemChange = {kind: ChunkKind; id: string; change: 'added' | 'removed' | 'changed'; fields: FieldChange[]};

type Item = Record<string, unknown>;

const kinds: Record<ChunkKind, {noun: string; key: string}> = {
	plans: {noun: 'plan', key: 'id'},
	services: {noun: 'service', key: 'name'},
	workspaces: {noun: 'workspace', key: 'id'},
};

const changeMarks = {added: '+', removed: '-', changed: '~'} as const;

/** A summary names this many items of each kind of change. */
const namedItemLimit = 5;

/** Lists the differences: plans, then services, then workspaces, each sorted by id or name. */
export const listChanges = (before: ConfigurationLists, after: ConfigurationLists): ItemChange[] =>
	(Object.keys(kinds) as ChunkKind[]).flatMap(kind => listKindChanges(kind, before[kind], after[kind]));

/** Merges the items of all chunks into lists. */
export const mergeChunks = (chunks: readonly ConfigurationChunk[]): ConfigurationLists => {
	const lists: ConfigurationLists = {plans: [], services: [], workspaces: []};
	for (const {kind, items} of chunks) {
		for (const item of items) {
			(lists[kind] as unknown[]).push(item);
		}
	}

	return lists;
};

/** Renders changes, one line per item and one per changed field. */
export const renderChanges = (changes: readonly ItemChange[]): string => changes.flatMap(({kind, id, change, fields}) => [
	`${changeMarks[change]} ${kinds[kind].noun} ${id}`,
	...fields.map(({field, before, after}) => `    ${field}: ${renderValue(before)} -> ${renderValue(after)}`),
]).join('\n');

/** Describes changes in one line, for example "1 plan changed (shop), 2 workspaces added (a, b)". */
export const describeChanges = (changes: readonly ItemChange[]): string => {
	const groups = new Map<string, ItemChange[]>();
	for (const item of changes) {
		const name = `${item.kind} ${item.change}`;
		const group = groups.get(name);
		if (group) {
			group.push(item);
		} else {
			groups.set(name, [item]);
		}
	}

	return [...groups.values()].map(group => {
		const {kind, change} = group[0]!;
		const names = group.slice(0, namedItemLimit).map(({id}) => id).join(', ');
		const more = group.length > namedItemLimit ? `, and ${group.length - namedItemLimit} more` : '';
		return `${group.length} ${kinds[kind].noun}${group.length === 1 ? '' : 's'} ${change} (${names}${more})`;
	}).join(', ') || 'no item changed';
};

const listKindChanges = (kind: ChunkKind, before: readonly unknown[], after: readonly unknown[]): ItemChange[] => {
	const {key} = kinds[kind];
	const itemsBefore = new Map((before as Item[]).map(item => [String(item[key]), item]));
	const itemsAfter = new Map((after as Item[]).map(item => [String(item[key]), item]));
	const ids = [...new Set([...itemsBefore.keys(), ...itemsAfter.keys()])].sort((left, right) => left < right ? -1 : 1);
	return ids.flatMap(id => {
		const change = computeItemChange(itemsBefore.get(id), itemsAfter.get(id));
		return change ? [{kind, id, ...change}] : [];
	});
};

const computeItemChange = (before: Item | undefined, after: Item | undefined): Pick<ItemChange, 'change' | 'fields'> | undefined => {
	if (before === undefined || after === undefined) {
		return {change: before === undefined ? 'added' : 'removed', fields: []};
	}

	const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
	const fields = names.flatMap(field => isDeepStrictEqual(before[field], after[field]) ? [] : [{field, before: before[field], after: after[field]}]);
	return fields.length > 0 ? {change: 'changed', fields} : undefined;
};

const renderValue = (value: unknown): string => value === undefined ? '(none)' : JSON.stringify(value);
