/**
 * An executor in memory, for the stand-in: runs tasks under leases and fencing tokens as the platform's pages say.
 */
import type {Clock, Milliseconds} from '../src/process/clock.js';

/** An order as it travels. */
export type WireCommand = {
	readonly task: string;
	readonly run: number;
	readonly 'expires-at-ms'?: number;
	readonly 'fence-token'?: number;
	readonly spec?: string;
};

/** What a task does, as its spec states it. */
export type TaskSpec = {
	readonly ms: Milliseconds;
	readonly fails: boolean;
};

/** One start or end, for checkers. */
export type ExecutorEvent = {
	readonly at: Milliseconds;
	readonly what: 'start' | 'done' | 'failed' | 'stopped' | 'lapsed';
	readonly task: string;
	readonly run: number;
};

type Run = {
	readonly task: string;
	readonly run: number;
	readonly startedAt: Milliseconds;
	readonly ms: Milliseconds;
	end(how: ExecutorEvent['what']): void;
};

/** The reply to an order: a status and a body. */
export type ExecutorReply = {
	readonly status: number;
	readonly body: Readonly<Record<string, unknown>>;
};

/** The state of one life of an executor. */
export type MemoryExecutor = {
	readonly events: readonly ExecutorEvent[];
	start(order: WireCommand): ExecutorReply;
	stop(order: WireCommand): ExecutorReply;
	hold(req: {readonly 'expires-at-ms'?: number; readonly 'fence-token'?: number; readonly 'seen-upto'?: number; readonly 'wait-ms'?: number}): Promise<ExecutorReply>;
	/** All runs end without a trace, as in a crash. */
	crash(): void;
};

const maxLeaseMs: Milliseconds = 1000;

/** Creates an executor that runs nothing yet. */
export function createMemoryExecutor(clock: Clock, bornAt: Milliseconds, readSpec: (spec: string) => TaskSpec): MemoryExecutor {
	const events: ExecutorEvent[] = [];
	const runs = new Map<string, Run>();
	const highest = new Map<string, number>();
	const waiters = new Set<() => void>();
	let ended: Array<readonly [number, string, number, string, string]> = [];
	let token = 0;
	let leaseUntil = 0;
	let nextNumber = 1;

	return {
		events,
		start(order) {
			return guard(order['fence-token'], () => {
				if ((order['expires-at-ms'] ?? 0) <= clock.now()) {
					return refuse('late');
				}

				renew(order['expires-at-ms']);
				if (order.run <= (highest.get(order.task) ?? 0)) {
					return refuse('old');
				}

				if (runs.get(order.task)?.run !== order.run) {
					begin(order);
				}

				return reply({});
			});
		},
		stop(order) {
			return guard(order['fence-token'], () => {
				highest.set(order.task, Math.max(order.run, highest.get(order.task) ?? 0));
				const run = runs.get(order.task);
				if (run !== undefined && run.run <= order.run) {
					run.end('stopped');
				}

				return reply({});
			});
		},
		async hold(req) {
			const refusal = guard(req['fence-token'], () => {
				renew(req['expires-at-ms']);
				ended = ended.filter(([number]) => number > (req['seen-upto'] ?? 0));
				return reply({});
			});
			if (refusal.status !== 200) {
				return refusal;
			}

			if (ended.length === 0 && (req['wait-ms'] ?? 0) > 0) {
				await waitForEnd(req['wait-ms']!);
			}

			return reply({
				born: bornAt,
				running: [...runs.values()].map(run => [run.task, run.run, '', Math.floor(100 * (clock.now() - run.startedAt) / run.ms)]),
				ended,
			});
		},
		crash() {
			for (const run of runs.values()) {
				run.end('lapsed');
			}
		},
	};

	function guard(used: number | undefined, act: () => ExecutorReply): ExecutorReply {
		if ((used ?? 0) < token) {
			return refuse('fence');
		}

		token = used ?? 0;
		return act();
	}

	function reply(body: Readonly<Record<string, unknown>>): ExecutorReply {
		return {status: 200, body: {'clock-ms': Math.floor(clock.now()), ...body}};
	}

	function refuse(reason: string): ExecutorReply {
		return {status: 409, body: {'clock-ms': Math.floor(clock.now()), reason}};
	}

	function renew(until: Milliseconds | undefined): void {
		leaseUntil = Math.max(leaseUntil, Math.min(until ?? 0, clock.now() + maxLeaseMs));
		// Timers take whole milliseconds and may fire a fraction early.
		clock.after(Math.max(0, Math.ceil(leaseUntil - clock.now())) + 1, () => {
			if (clock.now() >= leaseUntil) {
				for (const run of runs.values()) {
					run.end('lapsed');
				}
			}
		});
	}

	function begin({task, run, spec = ''}: WireCommand): void {
		const {ms, fails} = readSpec(spec);
		const begun: Run = {
			task, run, startedAt: clock.now(), ms, end,
		};
		runs.set(task, begun);
		note('start');
		clock.after(ms, () => {
			end(fails ? 'failed' : 'done');
		});

		function end(how: ExecutorEvent['what']): void {
			if (runs.get(task) !== begun) {
				return;
			}

			runs.delete(task);
			highest.set(task, Math.max(run, highest.get(task) ?? 0));
			ended.push([nextNumber++, task, run, how, '']);
			note(how);
			for (const wake of waiters) {
				wake();
			}
		}

		function note(what: ExecutorEvent['what']): void {
			events.push({
				at: clock.wall(), what, task, run,
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
