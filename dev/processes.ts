/**
 * Starts and steers programs of this project from tests and demonstrations.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import readline from 'node:readline';
import {fileURLToPath} from 'node:url';

/** How a program ended: its exit code, or the signal that ended it. */
export type ExitStatus = {
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
};

/** A program that was started. */
export type Program = {
	readonly name: string;
	readonly pid: number;
	/** Lines written to standard output and standard error so far. */
	readonly lines: readonly string[];
	/** Gives the first line, past or to come, that matches; fails if the program ends without it. */
	waitForLine(pattern: RegExp): Promise<RegExpExecArray>;
	/** Pauses the program with SIGSTOP. */
	pause(): void;
	/** Lets a frozen program go on. */
	resume(): void;
	/** Asks the program to shut down with SIGTERM and waits for its end. */
	stop(): Promise<ExitStatus>;
	/** Ends the program at once with SIGKILL and waits for its end. */
	kill(): Promise<ExitStatus>;
	/** Waits for the program's end. */
	waitForExit(): Promise<ExitStatus>;
};

type LineWaiter = {
	readonly pattern: RegExp;
	readonly resolve: (match: RegExpExecArray) => void;
	readonly reject: (reason: Error) => void;
};

/** Root of the compiled project. */
const compiledRoot = new URL('..', import.meta.url);

/** Programs to kill when this process ends. */
const running = new Set<ChildProcess>();

process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/** Lines of output that the error for an unexpected end shows. */
const shownLines = 20;

/**
 * Starts a compiled program of this project, for instance `dev/platform-standin.js`. It is killed when this
 * process ends.
 */
export function startProgram(script: string, args: readonly string[] = [], env: Readonly<Record<string, string>> = {}): Program {
	const child = spawn(process.execPath, [fileURLToPath(new URL(script, compiledRoot)), ...args], {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...env}});
	const {pid} = child;
	if (pid === undefined) {
		throw new Error(`${script} could not be started`);
	}

	const lines: string[] = [];
	let waiters: LineWaiter[] = [];
	let status: ExitStatus | undefined;

	running.add(child);
	// 'close' comes after the last line of output, 'exit' may come before.
	const closed = once(child, 'close').then(([code, signal]: Array<number | NodeJS.Signals | undefined>) => {
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
		async stop() {
			child.kill('SIGTERM');
			return closed;
		},
		async kill() {
			child.kill('SIGKILL');
			return closed;
		},
		waitForExit: async () => closed,
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
		return new Error(`${script} ended without a line that matches ${String(pattern)}. Its last lines:\n${lines.slice(-shownLines).join('\n')}`);
	}
}

/** Starts programs that belong together; kills those that are running if one of them cannot be started. */
export async function startProgramGroup<T>(start: (programs: Program[]) => Promise<T>): Promise<T> {
	const programs: Program[] = [];
	try {
		return await start(programs);
	} catch (err) {
		await Promise.all(programs.map(async program => program.kill()));
		throw err;
	}
}

/** Waits for the line that development programs print when ready, and gives the address in it. */
export async function waitForUrl(program: Program): Promise<string> {
	const match = await program.waitForLine(/ listening on (?<url>http:\S+)/v);
	return match.groups?.url ?? '';
}
