/**
 * Writes the figures of replayed sites as Markdown.
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

/** Writes one table row for each run. */
export function formatSiteReport(figures: readonly SiteResult[], command: string): string {
	return [
		'# Replayed sites',
		'',
		`Command: \`${command}\``,
		'',
		'Load: work that arrives over the work that all upstreams can do. Worth: earned over owed, by the rules of the users: all',
		'by the objective, a fifth up to three times the objective, nothing later; larger jobs count more. The columns of the',
		'kinds, of the largest tenth of each kind and of the worst two windows of 2 s give the same ratio for these jobs. "Held":',
		'part of the worth that waited for over half the time allowed and was refused without having been begun.',
		'',
		formatRow(columns),
		formatRow(columns.map(() => '---')),
		...figures.map(figure => formatRow(getCells(figure))),
		'',
	].join('\n');
}

function getCells(figure: SiteResult): readonly string[] {
	const kind = (name: string) => formatShare(figure.byKind.get(name)?.utility);
	return [
		figure.scenario,
		figure.load.toFixed(2),
		formatShare(figure.all.utility),
		kind('check'),
		kind('confirm'),
		kind('ping'),
		formatShare(figure.largestTenth.utility),
		formatShare(figure.worstWindowsUtility),
		String(figure.all.inTime),
		String(figure.all.late),
		String(figure.all.refused),
		formatShare(figure.heldUtility),
		formatShare(figure.refusedStarts / figure.starts),
		(figure.messages / (figure.starts - figure.refusedStarts)).toFixed(2),
		`${figure.firstStartDelay.p50.toFixed(1)}, ${figure.firstStartDelay.p99.toFixed(0)}`,
	];
}

function formatShare(value: number | undefined): string {
	return value === undefined ? '' : value.toFixed(3);
}
