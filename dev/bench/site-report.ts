/**
 * Formats the results of replayed sites as Markdown.
 */
import {formatRow} from './report.js';
import type {SiteResult} from './site-types.js';

const columns = [
	'scenario',
	'load',
	'worth',
	'check',
	'confirm',
	'ping',
	'largest tenth',
	'worst windows',
	'in time',
	'late',
	'refused',
	'held, then refused',
	'starts refused',
	'messages a start',
	'first start p50, p99 ms',
] as const;

/** Returns a report with one table row for each run. */
export function formatSiteReport(results: readonly SiteResult[], command: string): string {
	return [
		'# Replayed sites',
		'',
		`Command: \`${command}\``,
		'',
		'Load: arriving work over the capacity of all upstreams. Worth: earned over possible utility, by the rules of the users: all',
		'by the objective, a fifth up to three times the objective, nothing later; larger jobs count more. The columns of the',
		'kinds, of the largest tenth of each kind and of the worst two windows of 2 s give the same ratio for these jobs. "Held":',
		'share of the utility of jobs that waited for over half the time allowed and ended without having been started.',
		'',
		formatRow(columns),
		formatRow(columns.map(() => '---')),
		...results.map(result => formatRow(getCells(result))),
		'',
	].join('\n');
}

function getCells(result: SiteResult): readonly string[] {
	const kind = (name: string) => formatShare(result.byKind.get(name)?.utility);
	return [
		result.scenario,
		result.load.toFixed(2),
		formatShare(result.all.utility),
		kind('check'),
		kind('confirm'),
		kind('ping'),
		formatShare(result.largestTenth.utility),
		formatShare(result.worstWindowsUtility),
		String(result.all.inTime),
		String(result.all.late),
		String(result.all.refused),
		formatShare(result.heldUtility),
		formatShare(result.refusedStarts / result.starts),
		(result.messages / (result.starts - result.refusedStarts)).toFixed(2),
		`${result.firstStartDelay.p50.toFixed(1)}, ${result.firstStartDelay.p99.toFixed(0)}`,
	];
}

function formatShare(value: number | undefined): string {
	return value === undefined ? '' : value.toFixed(3);
}
