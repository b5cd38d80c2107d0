/**
 * Lists the kinds of trouble that no play in `journal/` has drawn together within one day:
 * `npm run build && node dist/dev/journal-pairs.js --site canopy-qld --until 2026-12-05T06:13:00Z --rows release,scale_in --columns reset_conns`.
 * The journal doesn't list all kinds of days that the bench mixes itself, so counts are lower bounds.
 */
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import sade from 'sade';
import {z} from 'zod';
import {countPair, findMissingPairs, type DayKinds} from './day-pairs.js';

type Options = {
	readonly journal: string;
	readonly site: string;
	readonly until: string;
	readonly rows: string;
	readonly columns: string;
};

const entrySchema = z.object({
	at: z.tuple([z.string(), z.string()]),
	site: z.string().nullable(),
	days: z.array(z.object({troubles: z.array(z.string())})),
});

sade('journal-pairs', true)
	.describe('Lists the kinds of trouble that the plays in the journal have never drawn together.')
	.option('--journal', 'Folder of the entries', 'journal')
	.option('--site', 'Only plays of this site; all sites if empty', '')
	.option('--until', 'Only plays that began before this time (ISO 8601); all if empty', '')
	.option('--rows', 'Kinds in the rows of a table of counts, separated by commas', '')
	.option('--columns', 'Kinds in its columns', '')
	.action(printPairs)
	.parse(process.argv);

function printPairs({journal, site, until, rows, columns}: Options): void {
	const days = readDays(journal, site, until);
	const pairs = findMissingPairs(days, days.flatMap(day => [...day]));
	const missing = pairs.reduce((sum, {neverWith}) => sum + neverWith.length, 0) / 2;
	const unlisted = days.filter(day => day.size === 0).length;
	console.log([
		`${days.length} plays, ${unlisted} of them without a list of kinds; ${pairs.length} kinds, ${pairs.length * (pairs.length - 1) / 2} pairs, ${missing} never drawn together`,
		'',
		...formatCounts(days, readNames(rows), readNames(columns)),
		'| kind | plays | never together with |',
		'| --- | --- | --- |',
		...pairs.map(({kind, days: count, neverWith}) => `| ${kind} | ${count} | ${neverWith.join(', ')} |`),
	].join('\n'));
}

function readDays(journal: string, site: string, until: string): readonly DayKinds[] {
	return fs.readdirSync(journal)
		.filter(name => name.endsWith('.json'))
		.map(name => entrySchema.parse(JSON.parse(fs.readFileSync(path.join(journal, name), 'utf8'))))
		.filter(entry => (site === '' || entry.site === site) && (until === '' || entry.at[0] < until))
		.flatMap(entry => entry.days.map(day => new Set(day.troubles)));
}

function formatCounts(days: readonly DayKinds[], rows: readonly string[], columns: readonly string[]): readonly string[] {
	if (rows.length === 0) {
		return [];
	}

	return [
		`| together with | ${columns.join(' | ')} |`,
		`| --- |${' --- |'.repeat(columns.length)}`,
		...rows.map(row => `| ${row} | ${columns.map(column => countPair(days, row, column)).join(' | ')} |`),
		'',
	];
}

function readNames(names: string): readonly string[] {
	return names === '' ? [] : names.split(',');
}
