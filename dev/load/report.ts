/**
 * Formats the result of a load run as a table.
 */
import type {Counts, LoadSummary, Percentiles} from './results.js';
import type {StartsReport} from './starts-check.js';

/** Returns the table with one line for each value. */
export function formatReport(summary: LoadSummary, starts: StartsReport | undefined): string {
	const sections = [
		formatSection('jobs', {
			sent: summary.jobs, tasks: summary.tasks, resubmitted: summary.resubmitted, cancelled: summary.cancelled, resends: summary.resends,
		}),
		formatSection('state', summary.states),
		formatSection('work', summary.ran),
		formatSection('diagnostics', summary.kinds),
		formatSection('answers', summary.verdicts),
		formatSection('starts', starts ?? {}),
		formatDistributions({
			'response, ms': summary.responseMs,
			'response / ideal': summary.slowdown,
			'lag of the tool, ms': summary.lagMs,
		}),
	];
	return sections.filter(section => section !== '').join('\n');
}

const nameWidth = 28;
const numberWidth = 12;

function formatSection(title: string, counts: Counts): string {
	return Object.entries(counts)
		.map(([name, count]) => `${`${title}: ${name}`.padEnd(nameWidth + numberWidth)}${String(count).padStart(numberWidth)}`)
		.join('\n');
}

function formatDistributions(distributions: Readonly<Record<string, Percentiles>>): string {
	const columns = ['mean', 'p50', 'p90', 'p99', 'p999', 'max'] as const;
	const header = formatRow('complete jobs', columns);
	const rows = Object.entries(distributions).map(([name, percentiles]) => formatRow(name, columns.map(column => percentiles[column].toFixed(2))));
	return [header, ...rows].join('\n');
}

function formatRow(name: string, cells: readonly string[]): string {
	return name.padEnd(nameWidth) + cells.map(cell => cell.padStart(numberWidth)).join('');
}
