/**
 * In-memory executor for the stand-in: runs tasks under leases and fencing tokens, as the platform's documentation
 * specifies.
 */
import type {Clock, Milliseconds} from '../src/process/clock.js';

/** The wire form of a start or stop call. */
export type WireCommand = {
	readonly task: string;
	readonly run: number;
	readonly 'expires-at-ms'?: number;
	readonly 'fence-token'?: number;
	readonly spec?: string;
};

/** The behaviour of a task, decoded from its spec. */
export type TaskSpec = {
	readonly ms: Milliseconds;
	readonly fails: boolean;
	/** Whether the task crashes the executor when it ends. */
	readonly crashes: boolean;
};

/** Dependencies of an executor. */
export type MemoryExecutorHost = {
	readonly clock: Clock;
	/** When this incarnation started, which identifies it. */
	readonly startedAt: Milliseconds;
	readSpec(spec: string): TaskSpec;
	/** Called when a task crashes the executor; all its runs have ended. */
	onCrash(): void;
};

/** The start or the end of one run, for checkers. */
export type ExecutorEvent = {
	readonly at: Milliseconds;
	readonly what: 'start' | 'done' | 'failed' | 'stopped' | 'lapsed';
	readonly task: string;
	readonly run: number;
	/** When the lease of a run that lapsed had expired; a late event loop ends the run later. */
	readonly expiredAt?: Milliseconds;
};

type Run = {
	readonly task: string;
	readonly run: number;
	readonly startedAt: Milliseconds;
	readonly ms: Milliseconds;
	end(outcome: ExecutorEvent['what']): void;
};

/** The HTTP status and the body of a response. */
export type ExecutorReply = {
	readonly status: number;
	readonly body: Readonly<Record<string, unknown>>;
};

/** One incarnation of an executor. */
export type MemoryExecutor = {
	readonly events: readonly ExecutorEvent[];
	/** Ends all runs and calls the host's `onCrash`. */
	crash(): void;
	start(command: WireCommand): ExecutorReply;
	stop(command: WireCommand): ExecutorReply;
	poll(req: {readonly 'expires-at-ms'?: number; readonly 'fence-token'?: number; readonly 'seen-upto'?: number; readonly 'wait-ms'?: number}): Promise<ExecutorReply>;
};

const maxLeaseMs: Milliseconds = 1000;

/** Returns the clock of an incarnation that starts now: its monotonic time starts anew. */
function restartClock(clock: Clock): Clock {
	const startedAt = clock.now();
	return {...clock, now: () => clock.now() - startedAt};
}

/** Creates an executor without runs. */
export function createMemoryExecutor({
	clock: systemClock, startedAt: executorStartedAt, readSpec, onCrash,
}: MemoryExecutorHost): MemoryExecutor {
	const clock = restartClock(systemClock);
	const events: ExecutorEvent[] = [];
	const runs = new Map<string, Run>();
	const highestEndedRuns = new Map<string, number>();
	const waiters = new Set<() => void>();
	let unacknowledgedEnds: Array<readonly [number, string, number, string, string]> = [];
	let fencingToken = 0;
	let leaseExpiresAt = 0;
	let nextSequenceNumber = 1;

	return {
		events,
		crash,
		start(command) {
			return checkFencingToken(command['fence-token'], () => {
				if ((command['expires-at-ms'] ?? 0) <= clock.now()) {
					return refuse('late');
				}

				renewLease(command['expires-at-ms']);
				if (command.run <= (highestEndedRuns.get(command.task) ?? 0)) {
					return refuse('old');
				}

				if (runs.get(command.task)?.run !== command.run) {
					startRun(command);
				}

				return reply({});
			});
		},
		stop(command) {
			return checkFencingToken(command['fence-token'], () => {
				highestEndedRuns.set(command.task, Math.max(command.run, highestEndedRuns.get(command.task) ?? 0));
				const run = runs.get(command.task);
				if (run !== undefined && run.run <= command.run) {
					run.end('stopped');
				}

				return reply({});
			});
		},
		async poll(req) {
			const refusal = checkFencingToken(req['fence-token'], () => {
				renewLease(req['expires-at-ms']);
				unacknowledgedEnds = unacknowledgedEnds.filter(([sequenceNumber]) => sequenceNumber > (req['seen-upto'] ?? 0));
				return reply({});
			});
			if (refusal.status !== 200) {
				return refusal;
			}

			if (unacknowledgedEnds.length === 0 && (req['wait-ms'] ?? 0) > 0) {
				await waitForEnd(req['wait-ms']!);
			}

			return reply({
				born: executorStartedAt,
				running: [...runs.values()].map(run => [run.task, run.run, '', Math.floor(100 * (clock.now() - run.startedAt) / run.ms)]),
				ended: unacknowledgedEnds,
			});
		},
	};

	function crash(): void {
		for (const run of runs.values()) {
			run.end('lapsed');
		}

		onCrash();
	}

	function checkFencingToken(commandToken: number | undefined, execute: () => ExecutorReply): ExecutorReply {
		if ((commandToken ?? 0) < fencingToken) {
			return refuse('fence');
		}

		fencingToken = commandToken ?? 0;
		return execute();
	}

	function reply(body: Readonly<Record<string, unknown>>): ExecutorReply {
		return {status: 200, body: {'clock-ms': Math.floor(clock.now()), ...body}};
	}

	function refuse(reason: string): ExecutorReply {
		return {status: 409, body: {'clock-ms': Math.floor(clock.now()), reason}};
	}

	function renewLease(expiresAt: Milliseconds | undefined): void {
		leaseExpiresAt = Math.max(leaseExpiresAt, Math.min(expiresAt ?? 0, clock.now() + maxLeaseMs));
		// Timers have a resolution of one millisecond and may fire a fraction of it early.
		clock.after(Math.max(0, Math.ceil(leaseExpiresAt - clock.now())) + 1, () => {
			if (clock.now() >= leaseExpiresAt) {
				for (const run of runs.values()) {
					run.end('lapsed');
				}
			}
		});
	}

	function startRun({task, run, spec = ''}: WireCommand): void {
		const {ms, fails, crashes} = readSpec(spec);
		const started: Run = {
			task, run, startedAt: clock.now(), ms, end,
		};
		runs.set(task, started);
		recordEvent('start');
		clock.after(ms, () => {
			if (crashes && runs.get(task) === started) {
				crash();
			} else {
				end(fails ? 'failed' : 'done');
			}
		});

		function end(outcome: ExecutorEvent['what']): void {
			if (runs.get(task) !== started) {
				return;
			}

			runs.delete(task);
			highestEndedRuns.set(task, Math.max(run, highestEndedRuns.get(task) ?? 0));
			unacknowledgedEnds.push([nextSequenceNumber++, task, run, outcome, '']);
			recordEvent(outcome);
			for (const wake of waiters) {
				wake();
			}
		}

		function recordEvent(what: ExecutorEvent['what']): void {
			events.push({
				at: clock.wall(), what, task, run, expiredAt: what === 'lapsed' ? clock.wall() - (clock.now() - leaseExpiresAt) : undefined,
			});
		}
	}

	async function waitForEnd(waitMs: Milliseconds): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = clock.after(waitMs, wake);
			waiters.add(wake);

			function wake(): void {
				timer.cancel();
				waiters.delete(wake);
				resolve();
			}
		});
	}
}
