/**
 * A log without output, for tests.
 */
import process from 'node:process';
import {createLog, type Log} from '../src/process/log.js';

/** Discards all lines below the level `fatal`. */
export const silentLog: Log = createLog('test', 'test', {level: 'fatal'}, process.stdout);
