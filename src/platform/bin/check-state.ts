#!/usr/bin/env node
/**
 * `kingcuplane-platform-check NEXT [CURRENT]`: checks a file with the configuration that an operator is about to write to the
 * store, and shows what differs from a file with the one in force. The exit code is 1 if processes would not apply it.
 */
import fs from 'node:fs';
import process from 'node:process';
import {checkState, type StateFile} from '../state-check.js';

const [next, current] = process.argv.slice(2).map(name => readFile(name));
if (next === undefined) {
	console.error('usage: kingcuplane-platform-check NEXT [CURRENT]');
	process.exit(2);
}

const {isValid, lines} = checkState(next, current);
console.log(lines.join('\n'));
process.exitCode = isValid ? 0 : 1;

function readFile(name: string): StateFile {
	return {name, text: fs.readFileSync(name, 'utf8')};
}
