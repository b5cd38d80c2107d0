#!/usr/bin/env node
/**
 * `kingcuplane-platform-check NEXT [CURRENT]`: checks a file with the configuration that an operator is about to write to the
 * store, and shows what differs from a file with the one in force. The exit code is 1 if processes would not apply it.
 */
import process from 'node:process';
import {Result} from 'neverthrow';
import {readTextFile} from '../../process/bin/read-file.js';
import {formatDiagnostic} from '../../process/diagnostics.js';
import {checkState} from '../state-check.js';

const files = Result.combineWithAllErrors(process.argv.slice(2).map(name => readTextFile(name).map(text => ({name, text}))));
if (files.isErr()) {
	console.error(files.error.map(diagnostic => formatDiagnostic(diagnostic)).join('\n'));
	process.exit(2);
}

const [next, current] = files.value;
if (next === undefined) {
	console.error('usage: kingcuplane-platform-check NEXT [CURRENT]');
	process.exit(2);
}

const {isValid, lines} = checkState(next, current);
console.log(lines.join('\n'));
process.exitCode = isValid ? 0 : 1;
