import {createOk} from '@knapweedrack/core';
import type {CommandSpec} from '../program/command-spec.js';
import {renderTable} from '../program/render-table.js';
import {listSettings} from '../settings/operator-settings.js';

const renderValue = (value: unknown): string => typeof value === 'string' ? value : (value === null ? '(none)' : JSON.stringify(value));

/** Shows each setting and where its value comes from. */
export const settingsCommand: CommandSpec = {
	words: ['settings'],
	description: 'show each setting and where its value comes from',
	async run({settings}) {
		const list = listSettings(settings);
		const rows = list.map(({name, value, source}) => [name, renderValue(value), source]);
		return createOk({text: renderTable(['setting', 'value', 'source'], rows), data: {settings: list}});
	},
};
