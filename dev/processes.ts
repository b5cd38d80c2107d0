/**
 * Starts and controls programs of this project for tests and demonstrations.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import readline from 'node:readline';
import {fileURLToPath} from 'node:url';

/** The exit code of a program, or the signal that ended it. */
export type ExitStatus = {
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
};

/** A child process that runs a program of this project. */
export type Program = {
	readonly name: string;
	readonly pid: number;
	/** Lines written to standard output and standard error so far. */
	readonly lines: readonly string[];
	/** Returns the first matching line, already written or still to come; rejects if the program exits without one. */
	waitForLine(pattern: RegExp): Promise<RegExpExecArray>;
	/** Pauses the program with SIGSTOP. */
	pause(): void;
	/** Resumes a paused program with SIGCONT. */
	resume(): void;
	signal(signal: NodeJS.Signals): void;
	/** Requests a shutdown with SIGTERM and waits for the exit. */
	stop(): Promise<ExitStatus>;
	/** Ends the program immediately with SIGKILL and waits for the exit. */
	kill(): Promise<ExitStatus>;
	/** Waits until the program exits. */
	waitForExit(): Promise<ExitStatus>;
};

type LineWaiter = {
	readonly pattern: RegExp;
	readonly resolve: (match: RegExpExecArray) => void;
	readonly reject: (reason: Error) => void;
};

/** Root directory of the compiled project. */
const compiledRoot = new URL('..', import.meta.url);

/** Child processes to kill when this process exits. */
const running = new Set<ChildProcess>();

process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/** Maximum number of output lines in the error for an unexpected exit. */
const maxShownLines = 20;

/**
 * Starts a compiled program of this project, for instance `dev/platform-standin.js`. The program is killed when this
 * process exits.
 */
export function startProgram(script: string, args: readonly string[] = [], env: Readonly<Record<string, string>> = {}, nodeOptions: readonly string[] = []): Program {
	const child = spawn(process.execPath, [...nodeOptions, fileURLToPath(new URL(script, compiledRoot)), ...args], {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...env}});
	const {pid} = child;
	if (pid === undefined) {
		throw new Error(`${script} could not be started`);
	}

	const lines: string[] = [];
	let waiters: LineWaiter[] = [];
	let status: ExitStatus | undefined;

	running.add(child);
	// 'close' is emitted after the last line of output; 'exit' may be emitted before it.
	const exited = once(child, 'close').then(([code, signal]: Array<number | NodeJS.Signals | undefined>) => {
		running.delete(child);
		status = {
			code: typeof code === 'number' ? code : undefined,
			signal: typeof signal === 'string' ? signal : undefined,
		};
		for (const {pattern, reject} of waiters) {
			reject(describeMissingLine(pattern));
		}

		return status;
	});
	for (const input of [child.stdout, child.stderr]) {
		readline.createInterface({input}).on('line', handleLine);
	}

	return {
		name: script,
		pid,
		lines,
		waitForLine,
		pause() {
			child.kill('SIGSTOP');
		},
		resume() {
			child.kill('SIGCONT');
		},
		signal(signal) {
			child.kill(signal);
		},
		async stop() {
			child.kill('SIGTERM');
			return exited;
		},
		async kill() {
			child.kill('SIGKILL');
			return exited;
		},
		waitForExit: async () => exited,
	};

	function handleLine(line: string): void {
		lines.push(line);
		waiters = waiters.filter(({pattern, resolve}) => {
			const match = pattern.exec(line);
			if (match !== null) {
				resolve(match);
			}

			return match === null;
		});
	}

	async function waitForLine(pattern: RegExp): Promise<RegExpExecArray> {
		for (const line of lines) {
			const match = pattern.exec(line);
			if (match !== null) {
				return match;
			}
		}

		if (status !== undefined) {
			throw describeMissingLine(pattern);
		}

		return new Promise((resolve, reject) => {
			waiters.push({pattern, resolve, reject});
		});
	}

	function describeMissingLine(pattern: RegExp): Error {
		return new Error(`${script} ended without a line that matches ${String(pattern)}. Its last lines:\n${lines.slice(-maxShownLines).join('\n')}`);
	}
}

/** Starts a group of programs; kills those already running if one of them cannot be started. */
export async function startProgramGroup<T>(start: (programs: Program[]) => Promise<T>): Promise<T> {
	const programs: Program[] = [];
	try {
		return await start(programs);
	} catch (err) {
		await Promise.all(programs.map(async program => program.kill()));
		throw err;
	}
}

/** Waits for the line that development programs print when ready, and returns the URL in it. */
export async function waitForUrl(program: Program): Promise<string> {
	const match = await program.waitForLine(/ listening on (?<url>http:\S+)/v);
	return match.groups?.url ?? '';
}
