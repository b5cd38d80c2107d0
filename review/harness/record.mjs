/**
 * The record of one case: what was sent, answered and run, with the time since its start in milliseconds.
 */
import fs from 'node:fs';
import process from 'node:process';

/** Time after which a case is given up. */
const timeLimitMs = 100_000;
/** The exit codes of a case. */
export const exitCodes = {held: 0, broken: 1, notRun: 2};

/** Creates an empty record. */
export function createRecord() {
	const startedAt = performance.now();
	const events = [];

	return {
		events,
		now,
		add(what, fields = {}) {
			events.push({at: now(), what, ...fields});
		},
		write(file) {
			fs.writeFileSync(file, events.map(event => `${JSON.stringify(event)}\n`).join(''));
		},
	};

	function now() {
		return Math.round((performance.now() - startedAt) * 10) / 10;
	}
}

/**
 * Runs a case: `run` gets whether the disruption takes place, and returns the violations of the rule. Writes the record
 * and ends this process.
 */
export async function runCase(options) {
	const {name, record, recordFile, run, stop} = options;
	const hasTrouble = process.env.TROUBLE !== '0';
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, giveUp);
	}

	setTimeout(giveUp, timeLimitMs);
	record.add('case', {name, hasTrouble, node: process.version});
	let code = exitCodes.notRun;
	try {
		const violations = await run(hasTrouble);
		for (const violation of violations) {
			record.add('VIOLATION', {violation});
			console.log(`rule broken: ${violation}`);
		}

		code = violations.length === 0 ? exitCodes.held : exitCodes.broken;
		console.log(`${name}: the rule ${violations.length === 0 ? 'held' : 'was broken'}`);
	} catch (err) {
		record.add('error', {message: String(err?.message)});
		console.error(`${name}: the case could not run:`, err);
	}

	await stop();
	record.write(recordFile);
	process.exit(code);

	async function giveUp() {
		console.error(`${name}: the case was ended before its result`);
		await stop();
		process.exit(exitCodes.notRun);
	}
}

/** Resolves after `ms` milliseconds. */
export async function sleep(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Polls until `isTrue` returns true; rejects after `timeoutMs`. */
export async function waitUntil(what, isTrue, timeoutMs) {
	const end = performance.now() + timeoutMs;
	while (!await isTrue()) {
		if (performance.now() > end) {
			throw new Error(`${what}: not within ${timeoutMs} ms`);
		}

		await sleep(20);
	}
}
