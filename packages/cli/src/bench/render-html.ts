import {
	describeTarget, formatValue, type BenchReport, type BenchRun, type DeploymentReport,
} from './bench-report.js';
import {describeRun, renderBench} from './render-bench.js';

type Bar = {group: string; series: string; value: number};

const escapeHtml = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

const toPercent = (load: number): string => `${Math.round(load * 100)}%`;

/** Colours that differ in greyscale print; a series has the same colour in all plots. */
const seriesColours = new Map([['core', '#1b4f72'], ['core (no long)', '#5dade2'], ['random', '#b03a2e'], ['round robin', '#e59866'], ['least outstanding', '#7d6608']]);

const getColour = (series: string): string => seriesColours.get(series) ?? '#555';

const chart = {
	width: 900, height: 300, left: 64, right: 8, top: 12, bottom: 44,
};

const listNames = (bars: readonly Bar[], key: 'group' | 'series'): string[] => [...new Set(bars.map(bar => bar[key]))];

const renderTicks = (ticks: readonly number[], toY: (value: number) => number): string => ticks.map(tick => {
	const y = toY(tick).toFixed(1);
	return `<line x1="${chart.left}" x2="${chart.width - chart.right}" y1="${y}" y2="${y}" stroke="#ccc"/><text x="${chart.left - 6}" y="${y}" dy="4" text-anchor="end">${tick}</text>`;
}).join('');

const renderLegend = (series: readonly string[]): string => series.map((name, index) => {
	const x = chart.left + (index * 160);
	return `<rect x="${x}" y="${chart.height - 14}" width="10" height="10" fill="${getColour(name)}"/><text x="${x + 14}" y="${chart.height - 5}">${escapeHtml(name)}</text>`;
}).join('');

type Scale = {ticks: number[]; toY: (value: number) => number};

/** Builds a logarithmic scale with ticks at powers of ten, because times differ by orders of magnitude. */
const buildLogScale = (values: readonly number[]): Scale => {
	const positive = values.filter(value => value > 0);
	const low = Math.floor(Math.log10(Math.min(...positive, 100)));
	const high = Math.max(low + 1, Math.ceil(Math.log10(Math.max(...positive, 100))));
	const plotHeight = chart.height - chart.top - chart.bottom;
	return {
		ticks: Array.from({length: high - low + 1}, (_, index) => 10 ** (low + index)),
		toY: value => chart.top + (plotHeight * (1 - ((Math.log10(Math.max(value, 10 ** low)) - low) / (high - low)))),
	};
};

const buildLinearScale = (values: readonly number[]): Scale => {
	const step = 10 ** Math.floor(Math.log10(Math.max(...values, 1)));
	const steps = Math.ceil(Math.max(...values, 1) / step);
	const plotHeight = chart.height - chart.top - chart.bottom;
	return {
		ticks: Array.from({length: steps + 1}, (_, index) => index * step),
		toY: value => chart.top + (plotHeight * (1 - (value / (steps * step)))),
	};
};

const renderBars = (bars: readonly Bar[], {ticks, toY}: Scale, label: string): string => {
	const groups = listNames(bars, 'group');
	const series = listNames(bars, 'series');
	const groupWidth = (chart.width - chart.left - chart.right) / groups.length;
	const barWidth = groupWidth * 0.85 / series.length;
	const shapes = bars.map(({group, series: name, value}) => {
		const index = series.indexOf(name);
		const x = chart.left + (groups.indexOf(group) * groupWidth) + (groupWidth * 0.075) + (index * barWidth);
		const y = toY(value);
		const height = Math.max(0, toY(ticks[0]!) - y);
		const title = escapeHtml(`${name}, ${group}: ${formatValue(value)}`);
		return `<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${(barWidth - 1).toFixed(1)}" height="${height.toFixed(1)}" fill="${getColour(name)}"><title>${title}</title></rect>`
			+ `<text class="value" x="${(x + (barWidth / 2)).toFixed(1)}" y="${(y - 2).toFixed(1)}" text-anchor="middle">${formatValue(value)}</text>`;
	}).join('');
	const names = groups.map((group, index) => `<text x="${(chart.left + ((index + 0.5) * groupWidth)).toFixed(1)}" y="${chart.height - chart.bottom + 16}" text-anchor="middle">${escapeHtml(group)}</text>`).join('');
	return `<svg viewBox="0 0 ${chart.width} ${chart.height}" role="img" aria-label="${escapeHtml(label)}">${renderTicks(ticks, toY)}${shapes}${names}${renderLegend(series)}</svg>`;
};

const renderFirstTokens = (runs: readonly BenchRun[], load: number): string => {
	const bars = runs.filter(run => run.load === load).flatMap(run => run.figures.classes
		.filter(({requests}) => requests > 0)
		.map(({name, p95Ms}): Bar => ({group: name, series: describeRun(run), value: p95Ms})));
	const title = `Time to first token, 95th percentile in ms (logarithmic), at ${toPercent(load)} load`;
	return `<h3>${title}</h3>${renderBars(bars, buildLogScale(bars.map(({value}) => value)), title)}`;
};

const renderGoodput = (runs: readonly BenchRun[]): string => {
	const bars = runs.filter(({hasLong}) => hasLong).map((run): Bar => ({
		group: toPercent(run.load), series: describeRun(run), value: run.figures.goodTokensPerSecond / 1000,
	}));
	const title = 'Goodput in thousand tokens per second by load';
	return `<h3>${title}</h3>${renderBars(bars, buildLinearScale(bars.map(({value}) => value)), title)}`;
};

const renderTargets = ({targets}: DeploymentReport): string => targets.length === 0
	? ''
	: `<ul>${targets.map(target => `<li class="${target.isMet ? 'met' : 'missed'}">${escapeHtml(describeTarget(target))}</li>`).join('')}</ul>`;

const renderDeployment = (report: DeploymentReport): string => [
	`<section><h2>${escapeHtml(report.deployment)}</h2>`,
	renderTargets(report),
	...[...new Set(report.runs.map(({load}) => load))].map(load => renderFirstTokens(report.runs, load)),
	renderGoodput(report.runs),
	'</section>',
].join('\n');

const style = `
body { font: 14px/1.4 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #111; }
svg { width: 100%; height: auto; font: 11px sans-serif; }
svg .value { font-size: 9px; }
pre { overflow-x: auto; font-size: 10px; }
.met::marker { content: "\\2713  "; }
.missed { font-weight: bold; }
.missed::marker { content: "\\2717  "; }
@media print { body { margin: 0; max-width: none; } svg { break-inside: avoid; } h3 { break-after: avoid; } pre { white-space: pre-wrap; } }
`;

/** Renders the report as one HTML page that needs no other files. */
export const renderBenchHtml = (report: BenchReport): string => `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width"><title>knapweedrack bench ${escapeHtml(report.scenario)}</title><style>${style}</style></head>
<body><h1>knapweedrack bench ${escapeHtml(report.scenario)}</h1>
<p>${escapeHtml(report.mode)}, seed ${report.seed}, ${formatValue(report.durationMs / 1000)} s of load</p>
${report.deployments.map(deployment => renderDeployment(deployment)).join('\n')}
<h2>All figures</h2>
<pre>${escapeHtml(renderBench(report))}</pre>
</body></html>
`;
