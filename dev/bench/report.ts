/**
 * Formats the results of a bench run as Markdown.
 */
import type {BenchResult} from './types.js';

const columns = [
	'scenario',
	'placement',
	'p50',
	'p99',
	'p99.9',
	'p99 to limit',
	'largest: mean',
	'largest: p99',
	'messages a task',
	'wasted',
	'completed',
	'failed',
	'refused',
	'cancelled',
	'unanswered',
] as const;

/** Returns a report with one table row for each run. Slowdown is the response time over the ideal response time. */
export function formatReport(results: readonly BenchResult[], command: string): string {
	return [
		'# Bench',
		'',
		`Command: \`${command}\``,
		'',
		'p50, p99, p99.9: response time over that of the job with all slots to itself. "p99 to limit" divides p99 by that of',
		'the central first-come, first-served queue ("all-knowing") on the same jobs. "largest" is the tenth of the jobs with the most',
		'work. Messages a task: batches that place tasks (with starts, or only with reports, grants, refusals or probes) per',
		'task that ran. Heartbeats and batches with results are sent in any case and not counted; the JSON file has them.',
		'',
		formatRow(columns),
		formatRow(columns.map(() => '---')),
		...results.map(result => formatRow(getCells(result, results))),
		'',
	].join('\n');
}

function getCells(result: BenchResult, all: readonly BenchResult[]): readonly string[] {
	const limit = all.find(other => other.scenario === result.scenario && other.placement === 'all-knowing');
	return [
		result.scenario,
		result.placement,
		formatRatio(result.slowdown.p50),
		formatRatio(result.slowdown.p99),
		formatRatio(result.slowdown.p999),
		limit === undefined ? '' : formatRatio(result.slowdown.p99 / limit.slowdown.p99),
		formatRatio(result.largestSlowdown.mean),
		formatRatio(result.largestSlowdown.p99),
		formatRatio(result.messagesPerTask),
		formatRatio(result.wastedPerTask),
		String(result.completed),
		String(result.failed),
		String(result.refused),
		String(result.cancelled),
		String(result.unanswered),
	];
}

function formatRatio(value: number): string {
	if (Number.isNaN(value)) {
		return 'none';
	}

	return value.toFixed(value < 10 ? 3 : 1);
}

/** Formats one row of a Markdown table. */
export function formatRow(cells: readonly string[]): string {
	return `| ${cells.join(' | ')} |`;
}
