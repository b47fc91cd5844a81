import {proofStates, type Guarantee, type GuaranteeSection} from './guarantee-list.js';

const introduction = [
	'# Guarantees and their proof',
	'',
	'Generated from `packages/testkit/src/guarantees/guarantees.yml` by `npm run guarantees -- render`; a test compares this page with that file.',
	'CI fails when no test of a title that is named here has passed, or when a guarantee is stated as proved and one of its tests is listed in `KNOWN-RED.txt`.',
	'',
	'Rules of the users\' platform stand by their names; the guarantees of `docs/design.md`, section 1.2, are those of the last section.',
	'Modules are files below `packages/*/src` and `platform/src`. The list does not cover every sentence of the users\' pages yet.',
];

const renderCell = (text: string): string => text.replaceAll('|', String.raw`\|`);

const renderTests = (tests: Guarantee['tests']): string =>
	Object.entries(tests).map(([file, titles]) => `\`${file}\`: ${titles.map(title => renderCell(title)).join('; ')}`).join('<br>');

const renderRow = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;

const renderSection = ({title, rows}: GuaranteeSection): string[] => [
	'',
	`## ${title}`,
	'',
	renderRow(['rule', 'promise', 'mechanism', 'modules', 'tests', 'state', 'not proved']),
	renderRow(['---', '---', '---', '---', '---', '---', '---']),
	...rows.map(({rule, promise, mechanism, modules, tests, state, gap = ''}) =>
		renderRow([rule, renderCell(promise), renderCell(mechanism), modules.map(module => `\`${module}\``).join(', '), renderTests(tests), state, renderCell(gap)])),
];

const renderCounts = (sections: readonly GuaranteeSection[]): string => {
	const rows = sections.flatMap(section => section.rows);
	return Object.values(proofStates).map(state => `${rows.filter(row => row.state === state).length} ${state}`).join(', ');
};

/** Renders the list of guarantees as the Markdown page `docs/guarantees.md`. */
export const renderGuarantees = (sections: readonly GuaranteeSection[]): string =>
	[...introduction, '', `Rows by state: ${renderCounts(sections)}.`, ...sections.flatMap(section => renderSection(section)), ''].join('\n');
