/**
 * A log that goes nowhere.
 */
import process from 'node:process';
import {createLog, type Log} from '../src/process/log.js';

/** Takes every line and keeps none. */
export const silentLog: Log = createLog('test', 'test', {level: 'fatal'}, process.stdout);
