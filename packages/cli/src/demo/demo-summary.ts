import type {CallResult} from '@knapweedrack/testkit';
import {build as buildHistogram} from 'hdr-histogram-js';
import {renderTable} from '../program/render-table.js';

/** Results of one class of requests. */
export type ClassResults = {name: string; results: CallResult[]};

/** Result of a work order that was sent twice with one idempotency key. */
export type WorkOrderResult = {outcomes: string[]; hasSameAnswer: boolean; executions: number};

/** Summary of a run of the demo. */
export type DemoSummary = {
	ok: boolean;
	outcomes: Record<string, number>;
	reasons: Record<string, number>;
	classes: ClassSummary[];
	workOrder: WorkOrderResult;
};

/** Time to first token of one class in ms. */
export type ClassSummary = {name: string; requests: number; completed: number; medianMs: number; p95Ms: number};

const countBy = (values: readonly string[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const value of values) {
		counts[value] = (counts[value] ?? 0) + 1;
	}

	return counts;
};

const summarizeClass = ({name, results}: ClassResults): ClassSummary => {
	const histogram = buildHistogram();
	for (const {firstTokenMs} of results) {
		if (firstTokenMs !== undefined) {
			histogram.recordValue(Math.round(firstTokenMs));
		}
	}

	return {
		name,
		requests: results.length,
		completed: results.filter(({outcome}) => outcome === 'completed').length,
		medianMs: histogram.getValueAtPercentile(50),
		p95Ms: histogram.getValueAtPercentile(95),
	};
};

/** Summarizes a run; `ok` is true when every request completed and the work order was executed once with the same answer. */
export const summarizeDemo = (classes: readonly ClassResults[], workOrder: WorkOrderResult): DemoSummary => {
	const results = classes.flatMap(each => each.results);
	const isWorkOrderOk = workOrder.executions === 1 && workOrder.hasSameAnswer && workOrder.outcomes.every(outcome => outcome === 'completed');
	return {
		ok: isWorkOrderOk && results.every(({outcome}) => outcome === 'completed'),
		outcomes: countBy([...results.map(({outcome}) => outcome), ...workOrder.outcomes]),
		reasons: countBy(results.flatMap(({reason}) => reason ?? [])),
		classes: classes.map(each => summarizeClass(each)),
		workOrder,
	};
};

/** Renders the summary as text for a terminal. */
export const renderDemoSummary = (summary: DemoSummary): string => [
	renderTable(
		['prompt', 'requests', 'completed', 'TTFT median', 'TTFT p95'],
		summary.classes.map(({name, requests, completed, medianMs, p95Ms}) => [name, String(requests), String(completed), `${medianMs} ms`, `${p95Ms} ms`]),
	),
	'',
	`work order sent twice with one idempotency key: ${summary.workOrder.outcomes.join(', ')}; executed ${summary.workOrder.executions} time(s)`,
	...Object.entries(summary.reasons).map(([reason, count]) => `${count} x ${reason}`),
	summary.ok ? 'all requests completed' : 'some requests did not complete',
].join('\n');
