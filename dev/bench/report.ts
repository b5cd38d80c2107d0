/**
 * Writes the figures of a bench run as Markdown.
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

/** Writes one table row for each run. Slowdown is response time over the time of the work alone. */
export function formatReport(figures: readonly BenchResult[], command: string): string {
	return [
		'# Bench',
		'',
		`Command: \`${command}\``,
		'',
		'p50, p99, p99.9: response time over the time of the work alone with all slots free for it. "p99 to limit" divides',
		'by the p99 of the all-knowing first-come queue on the same jobs. "largest" is the tenth of the jobs with the most',
		'work. Messages a task: batches that place tasks (with starts, or only with reports, grants, refusals or probes) for',
		'each task that ran. Heartbeats and batches with results go anyway and are not counted; the JSON file has them.',
		'',
		formatRow(columns),
		formatRow(columns.map(() => '---')),
		...figures.map(figure => formatRow(getCells(figure, figures))),
		'',
	].join('\n');
}

function getCells(figure: BenchResult, all: readonly BenchResult[]): readonly string[] {
	const limit = all.find(other => other.scenario === figure.scenario && other.placement === 'all-knowing');
	return [
		figure.scenario,
		figure.placement,
		formatRatio(figure.slowdown.p50),
		formatRatio(figure.slowdown.p99),
		formatRatio(figure.slowdown.p999),
		limit === undefined ? '' : formatRatio(figure.slowdown.p99 / limit.slowdown.p99),
		formatRatio(figure.largestSlowdown.mean),
		formatRatio(figure.largestSlowdown.p99),
		formatRatio(figure.messagesPerTask),
		formatRatio(figure.wastedPerTask),
		String(figure.completed),
		String(figure.failed),
		String(figure.refused),
		String(figure.cancelled),
		String(figure.unanswered),
	];
}

function formatRatio(value: number): string {
	if (Number.isNaN(value)) {
		return 'none';
	}

	return value.toFixed(value < 10 ? 3 : 1);
}

/** One row of a Markdown table. */
export function formatRow(cells: readonly string[]): string {
	return `| ${cells.join(' | ')} |`;
}
