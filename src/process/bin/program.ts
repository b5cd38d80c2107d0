/**
 * Functions that the programs of long-running processes share: reading the settings file, announcing that the process is
 * ready, and waiting for a signal to stop.
 */
import fs from 'node:fs';
import process from 'node:process';
import type {Result} from 'neverthrow';
import {formatDiagnostic, type Diagnostic} from '../diagnostics.js';
import type {Log} from '../log.js';

const unexpectedErrorExitCode = 4;
const keepAliveIntervalMs = 3_600_000;

/** Reads the settings file named on the command line; prints its diagnostics and exits if there are any. */
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

/** Keeps the process running until it exits explicitly; the clock's timers do not keep it running. */
export function keepProcessAlive(): void {
	setInterval(() => undefined, keepAliveIntervalMs);
}

/**
 * Logs promises that were rejected without a handler, and lets the process go on: it serves many callers, and the failed
 * step is at most one of their requests. An exception outside of any promise still ends the process, after it is logged.
 */
export function logUnexpectedErrors(log: Pick<Log, 'error'>, flush: () => void): void {
	process.on('unhandledRejection', err => {
		log.error({err}, 'unexpected error in a background task');
	});
	process.on('uncaughtException', err => {
		log.error({err}, 'unexpected error; the process ends');
		flush();
		process.exit(unexpectedErrorExitCode);
	});
}

/** Prints one line of JSON which says that the process is ready. */
export function printReady(program: string, fields: Readonly<Record<string, string | number>>): void {
	console.log(JSON.stringify({ready: program, ...fields}));
}

/**
 * Resolves at the first SIGTERM or SIGINT. Later SIGTERMs have no effect, so that they do not cut the orderly stop short that the first one has
 * begun. A later SIGINT, of somebody who does not want to wait, ends the process at once.
 */
export async function waitForStopSignal(): Promise<void> {
	return new Promise(resolve => {
		process.on('SIGTERM', () => {
			resolve();
		});
		process.once('SIGINT', () => {
			resolve();
		});
	});
}
