/**
 * Structured logs: one JSON object a line, through bunyan. Lines about a submission carry its ticket.
 */
import Logger from 'bunyan';
import type {LogSettings} from './settings.js';

/** A structured log; `log.child({ticket})` marks all its lines with a ticket. */
export type Log = Pick<Logger, 'debug' | 'info' | 'warn' | 'error'> & {
	child(fields: Readonly<Record<string, unknown>>): Log;
};

/** Creates the log of one process. */
export function createLog(program: string, name: string, settings: LogSettings, stream: NodeJS.WritableStream): Log {
	return Logger.createLogger({
		name: program, process: name, level: settings.level, stream,
	});
}
