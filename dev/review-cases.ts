/**
 * Runs the cases of the review under `review/`, each with its own script, and counts how often its rule was broken.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** How the runs of one case ended. */
export type CaseResult = {
	readonly name: string;
	readonly runs: number;
	readonly broken: number;
	/** Runs that came to no result. */
	readonly notRun: number;
};

/** Which cases are run, and how. */
export type CaseOptions = {
	/** Folder with a folder for each case, which holds `run.sh`. */
	readonly folder: string;
	/** Names of the cases; all of them if it is empty. */
	readonly names: readonly string[];
	readonly runs: number;
	/** Number of busy processes beside the cases. */
	readonly busy: number;
	/** Called after each run with its last line of output. */
	onRun(name: string, code: number | undefined, lastLine: string): void;
};

/** Exit codes of the script of a case. */
const heldCode = 0;
const brokenCode = 1;

/** Runs the cases one after the other. */
export async function runCases(options: CaseOptions): Promise<readonly CaseResult[]> {
	const load = Array.from({length: options.busy}, () => spawn(process.execPath, ['--eval', 'for (;;) {}'], {stdio: 'ignore'}));
	try {
		const results: CaseResult[] = [];
		for (const name of findCases(options)) {
			results.push(await runCase(name, options));
		}

		return results;
	} finally {
		await Promise.all(load.map(async child => end(child)));
	}
}

function findCases({folder, names}: CaseOptions): readonly string[] {
	const all = fs.readdirSync(folder).filter(name => fs.existsSync(path.join(folder, name, 'run.sh')));
	return names.length === 0 ? all : all.filter(name => names.includes(name));
}

async function runCase(name: string, {folder, runs, onRun}: CaseOptions): Promise<CaseResult> {
	const codes: Array<number | undefined> = [];
	const restoreRecord = keepFile(path.join(folder, name, 'record.txt'));
	try {
		for (let i = 0; i < runs; i++) {
			const {code, lastLine} = await runScript(path.join(folder, name, 'run.sh'));
			codes.push(code);
			onRun(name, code, lastLine);
		}
	} finally {
		restoreRecord();
	}

	const broken = codes.filter(code => code === brokenCode).length;
	return {
		name, runs, broken, notRun: codes.filter(code => code !== heldCode).length - broken,
	};
}

/** Returns a function that makes a file what it is now. A run of a case replaces its record, which may be a committed one. */
function keepFile(file: string): () => void {
	const bytes = fs.existsSync(file) ? fs.readFileSync(file) : undefined;
	return () => {
		if (bytes === undefined) {
			fs.rmSync(file, {force: true});
		} else {
			fs.writeFileSync(file, bytes);
		}
	};
}

async function runScript(script: string): Promise<{readonly code: number | undefined; readonly lastLine: string}> {
	const child = spawn('bash', [script], {stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.on('data', chunk => {
		output += String(chunk);
	});
	await once(child, 'close');
	return {code: child.exitCode ?? undefined, lastLine: output.trim().split('\n').at(-1) ?? ''};
}

async function end(child: ChildProcess): Promise<void> {
	const closed = once(child, 'close');
	child.kill('SIGKILL');
	await closed;
}
