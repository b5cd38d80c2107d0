/**
 * What the programs of long-running processes share: settings from the command line, the line that tells
 * that a process is ready, and the signals that ask it to stop.
 */
import fs from 'node:fs';
import process from 'node:process';
import type {Result} from 'neverthrow';
import {formatDiagnostic, type Diagnostic} from '../diagnostics.js';

const keepRunningIntervalMs = 3_600_000;

/** Reads the settings file named on the command line; prints all its faults and exits if it has any. */
export function loadSettings<T>(program: string, read: (text: string, file: string) => Result<T, readonly Diagnostic[]>): T {
	const file = process.argv[2];
	if (file === undefined || !fs.existsSync(file)) {
		console.error(`usage: ${program} SETTINGS\nSETTINGS is a TOML file; docs/REFERENCE.md lists its keys.`);
		process.exit(2);
	}

	const settings = read(fs.readFileSync(file, 'utf8'), file);
	if (settings.isErr()) {
		for (const diagnostic of settings.error) {
			console.error(formatDiagnostic(diagnostic));
		}

		process.exit(2);
	}

	return settings.value;
}

/** Keeps the process running until it exits by itself; the clock's timers do not. */
export function keepProcessAlive(): void {
	setInterval(() => undefined, keepRunningIntervalMs);
}

/** Prints one line of JSON that tells that the process is up. */
export function printReady(program: string, fields: Readonly<Record<string, string | number>>): void {
	console.log(JSON.stringify({ready: program, ...fields}));
}

/** Resolves at the first signal that asks the process to stop. */
export async function waitForStopSignal(): Promise<void> {
	return new Promise(resolve => {
		process.once('SIGTERM', () => {
			resolve();
		});
		process.once('SIGINT', () => {
			resolve();
		});
	});
}
