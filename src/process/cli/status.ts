/**
 * `kingcuplane status`: lists the processes that an entry knows, with the active configuration version of each, and the
 * evacuated data centres.
 */
import {ok, safeTry} from 'neverthrow';
import {z} from 'zod';
import {callEntry} from './entry-call.js';
import {openEntry} from './options.js';
import type {Command} from './types.js';

const statusSchema = z.object({
	processes: z.array(z.object({
		role: z.string(),
		name: z.string(),
		incarnation: z.string(),
		version: z.number(),
		isReady: z.boolean(),
	})),
	// Entries of earlier versions do not report it.
	evacuatedDataCentres: z.array(z.string()).default([]),
});

type ProcessStatus = z.infer<typeof statusSchema>['processes'][number];

const columnTitles = ['ROLE', 'NAME', 'VERSION', 'READY', 'INCARNATION'];

/** Runs the command. */
export const runStatus: Command = async (host, {options}) => safeTry(async function * () {
	const client = yield * openEntry(host, options);
	const {processes, evacuatedDataCentres} = yield * callEntry(client, {method: 'GET', path: '/v1/status'}, statusSchema);
	const rows = processes
		.toSorted(compareProcesses)
		.map(process => toRow(process));
	for (const line of alignColumns([columnTitles, ...rows])) {
		host.print(line);
	}

	const versions = new Set(processes.map(process => process.version));
	host.print(versions.size === 1
		? `Version ${processes[0]!.version} is in force in all ${processes.length} processes.`
		: `${versions.size} versions are in force: ${[...versions].toSorted((a, b) => a - b).join(', ')}.`);
	if (evacuatedDataCentres.length > 0) {
		host.print(`Evacuated data centres: ${evacuatedDataCentres.join(', ')}.`);
	}

	return ok();
});

/** Orders entries before agents, and both by name. */
function compareProcesses(a: ProcessStatus, b: ProcessStatus): number {
	return compareText(b.role, a.role) || compareText(a.name, b.name);
}

function compareText(a: string, b: string): number {
	return a < b ? -1 : Number(a > b);
}

function toRow({role, name, version, isReady, incarnation}: ProcessStatus): string[] {
	return [role, name, String(version), isReady ? 'yes' : 'no', incarnation];
}

function alignColumns(rows: ReadonlyArray<readonly string[]>): string[] {
	const widths = columnTitles.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
	return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd());
}
