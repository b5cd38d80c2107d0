// Reads the TAP output of a number of runs of ava, passes over the failures that KNOWN-RED.txt lists, and prints the totals.
// Lines of KNOWN-RED.txt that start with "test: " name a test by its full title.
import fs from 'node:fs';
import process from 'node:process';
import readline from 'node:readline';

const knownRedFile = new URL('../KNOWN-RED.txt', import.meta.url);
const knownRed = new Set(readKnownRed());
let passed = 0;
let failed = 0;
/** Number of runs of ava whose output is expected. */
const runs = Number(process.argv[2]);
let endedRuns = 0;
let showDetail = false;

for await (const line of readline.createInterface({input: process.stdin})) {
	const [, verdict, title] = /^(ok|not ok) \d+ - (.*)$/v.exec(line) ?? [];
	if (verdict === undefined) {
		endedRuns += /^1\.\.\d+$/v.test(line) ? 1 : 0;
		if (showDetail || line.startsWith('Bail out')) {
			console.log(line);
		}

		continue;
	}

	showDetail = verdict === 'not ok';
	if (verdict === 'ok') {
		passed++;
	} else if (knownRed.has(title)) {
		console.log(`known red: ${title}`);
	} else {
		failed++;
		console.log(line);
	}
}

if (endedRuns !== runs || passed === 0) {
	console.log('The test run did not finish.');
	failed++;
}

console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;

function readKnownRed() {
	if (!fs.existsSync(knownRedFile)) {
		return [];
	}

	return fs.readFileSync(knownRedFile, 'utf8')
		.split('\n')
		.filter(line => line.startsWith('test: '))
		.map(line => line.slice('test: '.length).trim());
}
