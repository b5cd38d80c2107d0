/**
 * A log that goes nowhere.
 */
import {createLog, type Log} from '../src/process/log.js';

/** Takes every line and keeps none. */
export const noLog: Log = createLog('test', 'test', {level: 'fatal'});
