/**
 * The behaviour of a stand-in upstream without HTTP: runs tasks for a random time, echoes them, counts every start,
 * and injects faults on demand.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {Clock, Milliseconds} from '../src/process/clock.js';
import {assertNever} from '../src/process/debug.js';
import {createRandom, drawExponential, type Random} from './random.js';

/** Distribution of the run times of tasks that don't specify their own; means and bounds in milliseconds. */
export type RunTimeDistribution =
	| {readonly kind: 'fixed'; readonly ms: Milliseconds}
	| {readonly kind: 'uniform'; readonly min: Milliseconds; readonly max: Milliseconds}
	| {readonly kind: 'exponential'; readonly mean: Milliseconds};

/** Active faults. */
export type UpstreamFaults = {
	/** Every task fails at once. */
	readonly failFast: boolean;
	/** Share of tasks, 0 to 1, that take `straggleFactor` times as long. */
	readonly straggleShare: number;
	readonly straggleFactor: number;
	/** Delay before each start and again before each answer. */
	readonly latencyMs: Milliseconds;
};

/** One attempt at a task. */
export type UpstreamRequest = {
	/** `<ticket>/<index>`. */
	readonly task: string;
	readonly attempt: string;
	readonly payload: Uint8Array;
};

/** How an attempt ended. */
export type UpstreamReply = {
	readonly kind: 'completed' | 'failed';
	readonly body: TaskEcho;
};

/** Names the task that was run, so that a caller detects the answer of another task. */
export type TaskEcho = {
	readonly task: string;
	/** The task's payload in base64. */
	readonly payload: string;
	/** Run time without the delays of faults. */
	readonly runMs: Milliseconds;
};

/** Number of starts of one task. */
export type TaskStarts = {
	readonly starts: number;
	/** Starts by attempt. */
	readonly attempts: Readonly<Record<string, number>>;
};

/** Counts since the upstream was created. */
export type UpstreamCounts = {
	/** Starts of all tasks. */
	readonly total: number;
	/** Number of distinct tasks started. */
	readonly distinct: number;
	/** Maximum number of starts of one task. */
	readonly greatest: number;
	/** Maximum number of starts of one attempt at one task. */
	readonly greatestOfAttempt: number;
	readonly running: number;
	readonly mostRunning: number;
	/** Starts while all slots were in use. */
	readonly violations: number;
};

/** What an upstream needs. */
export type UpstreamHost = {
	readonly clock: Clock;
	readonly seed: number;
	/** Tasks that may run at the same time. */
	readonly slots: number;
	readonly runTimes: RunTimeDistribution;
};

/** A stand-in upstream. */
export type Upstream = {
	/** Starts a task and calls `reply` when it ends. */
	run(request: UpstreamRequest, reply: (reply: UpstreamReply) => void): void;
	getCounts(): UpstreamCounts;
	getStarts(): ReadonlyMap<string, TaskStarts>;
	/** Changes the given faults; the others stay active. */
	setFaults(faults: Partial<UpstreamFaults>): void;
	getFaults(): UpstreamFaults;
	/** Freezes the upstream for `duration`: no run ends and no answer is sent. */
	freeze(duration: Milliseconds): void;
};

/** The initial faults of an upstream: none. */
export const noUpstreamFaults: UpstreamFaults = {
	failFast: false,
	straggleShare: 0,
	straggleFactor: 20,
	latencyMs: 0,
};

/** Run time of a task under the fault `failFast`. */
const failFastMs: Milliseconds = 1;

/** Creates an upstream without faults. */
export function createUpstream({clock, seed, slots, runTimes}: UpstreamHost): Upstream {
	const random = createRandom(seed);
	const counter = createStartCounter(slots);
	let faults = noUpstreamFaults;
	let frozenUntil = Number.NEGATIVE_INFINITY;

	return {
		run,
		getCounts: counter.getCounts,
		getStarts: counter.getStarts,
		setFaults(changes) {
			faults = {...faults, ...changes};
		},
		getFaults: () => faults,
		freeze(duration) {
			frozenUntil = Math.max(frozenUntil, clock.now() + duration);
		},
	};

	function run(request: UpstreamRequest, reply: (reply: UpstreamReply) => void): void {
		const {latencyMs, failFast} = faults;
		wait(latencyMs, () => {
			counter.countStart(request);
			const runMs = failFast ? failFastMs : drawRunTime(request);
			waitUnfrozen(runMs, () => {
				counter.countEnd();
				wait(latencyMs, () => {
					reply({
						kind: failFast ? 'failed' : 'completed',
						body: {task: request.task, payload: Buffer.from(request.payload).toString('base64'), runMs},
					});
				});
			});
		});
	}

	function drawRunTime({payload}: UpstreamRequest): Milliseconds {
		const base = tryReadRunTime(payload) ?? drawFromDistribution(runTimes, random);
		return random() < faults.straggleShare ? base * faults.straggleFactor : base;
	}

	/** Waits for `duration` and then until the upstream is not frozen. */
	function waitUnfrozen(duration: Milliseconds, action: () => void): void {
		wait(duration, () => {
			const remaining = frozenUntil - clock.now();
			if (remaining > 0) {
				waitUnfrozen(remaining, action);
			} else {
				action();
			}
		});
	}

	function wait(duration: Milliseconds, action: () => void): void {
		if (duration > 0) {
			clock.after(duration, action);
		} else {
			action();
		}
	}
}

/** Parses `fixed:100`, `uniform:50:1000` or `exponential:200`. */
export function tryParseRunTimeDistribution(text: string): RunTimeDistribution | undefined {
	const [kind, ...numbers] = text.split(':');
	const [first, second] = numbers.map(Number);
	if (first === undefined || !(first >= 0)) {
		return undefined;
	}

	switch (kind) {
		case 'fixed': {
			return {kind, ms: first};
		}

		case 'uniform': {
			return second !== undefined && second >= first ? {kind, min: first, max: second} : undefined;
		}

		case 'exponential': {
			return {kind, mean: first};
		}

		default: {
			return undefined;
		}
	}
}

function drawFromDistribution(runTimes: RunTimeDistribution, random: Random): Milliseconds {
	switch (runTimes.kind) {
		case 'fixed': {
			return runTimes.ms;
		}

		case 'uniform': {
			return runTimes.min + (random() * (runTimes.max - runTimes.min));
		}

		case 'exponential': {
			return drawExponential(random, runTimes.mean);
		}

		default: {
			return assertNever(runTimes);
		}
	}
}

const timedPayloadSchema = z.object({runMs: z.number().min(0)});

/** Returns `runMs` of a payload that is a JSON object with that field; undefined otherwise. */
function tryReadRunTime(payload: Uint8Array): Milliseconds | undefined {
	const openingBrace = 0x7B;
	if (payload[0] !== openingBrace) {
		return undefined;
	}

	try {
		return timedPayloadSchema.safeParse(JSON.parse(Buffer.from(payload).toString())).data?.runMs;
	} catch {
		return undefined;
	}
}

type StartCounter = {
	countStart(request: UpstreamRequest): void;
	countEnd(): void;
	getCounts(): UpstreamCounts;
	getStarts(): ReadonlyMap<string, TaskStarts>;
};

function createStartCounter(slots: number): StartCounter {
	const tasks = new Map<string, {starts: number; readonly attempts: Record<string, number>}>();
	let total = 0;
	let greatest = 0;
	let greatestOfAttempt = 0;
	let running = 0;
	let mostRunning = 0;
	let violations = 0;

	return {
		countStart({task, attempt}) {
			const counts = tasks.get(task) ?? {starts: 0, attempts: {}};
			tasks.set(task, counts);
			counts.starts++;
			const ofAttempt = (counts.attempts[attempt] ?? 0) + 1;
			counts.attempts[attempt] = ofAttempt;
			total++;
			greatest = Math.max(greatest, counts.starts);
			greatestOfAttempt = Math.max(greatestOfAttempt, ofAttempt);
			running++;
			mostRunning = Math.max(mostRunning, running);
			if (running > slots) {
				violations++;
			}
		},
		countEnd() {
			running--;
		},
		getCounts: () => ({
			total, distinct: tasks.size, greatest, greatestOfAttempt, running, mostRunning, violations,
		}),
		getStarts: () => tasks,
	};
}
