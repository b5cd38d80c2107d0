/**
 * Structured logs through bunyan: one JSON object per line. Lines about a submission contain its ticket.
 */
import Logger from 'bunyan';
import type {LogSettings} from './settings.js';

/** A structured log; `log.child({ticket})` creates one that adds the ticket to all its lines. */
export type Log = Pick<Logger, 'debug' | 'info' | 'warn' | 'error'> & {
	child(fields: Readonly<Record<string, unknown>>): Log;
};

/** Creates the log of one process. Errors in the field `err` are written with their message, stack and causes. */
export function createLog(program: string, name: string, settings: LogSettings, stream: NodeJS.WritableStream): Log {
	return Logger.createLogger({
		name: program, process: name, level: settings.level, stream, serializers: {err: Logger.stdSerializers.err},
	});
}
