/**
 * Runs one scenario with one way to place tasks, on a fake clock, and works out the figures.
 */
import {createFakeClock} from '../../src/process/fake-clock.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {
	createCentralQueue, createRandomPlacement, createRoundRobin, createTwoChoices, createTwoProbes,
} from './baselines.js';
import {createCreditPlacement} from './credit-placement.js';
import type {
	BenchJob, BenchResult, MessageCounts, PlacementFactory, PlacementName, Quantiles, Scenario, TaskEnd,
} from './types.js';

const factories: Readonly<Record<PlacementName, PlacementFactory>> = {
	'all-knowing': createCentralQueue,
	response: createCreditPlacement('response'),
	messages: createCreditPlacement('messages'),
	'two-choices': createTwoChoices,
	'two-probes': createTwoProbes,
	'round-robin': createRoundRobin,
	random: createRandomPlacement,
};

/** Part of the jobs, at the start of a run, that the figures leave out. */
const warmUpPart = 0.1;
/** Time after the last arrival at which a run ends although jobs are open. */
const longestDrain: Milliseconds = 3_600_000;
/** Part of the jobs that count as the largest. */
const largestPart = 0.1;

type JobRecord = {
	readonly job: BenchJob;
	left: number;
	state: 'waiting' | 'completed' | 'failed' | 'refused' | 'cancelled';
	response: Milliseconds;
};

/** Runs a scenario to its end. */
export function runScenario(scenario: Scenario, placement: PlacementName): BenchResult {
	const clock = createFakeClock();
	const messages: MessageCounts = {
		starts: 0, results: 0, loneReports: 0, loneGrants: 0, refusals: 0, probes: 0, heartbeats: 0,
	};
	const records = new Map<BenchJob, JobRecord>();
	let open = 0;
	let placedTasks = 0;
	let arrived = 0;
	const system = factories[placement]({
		clock, scenario, messages, onTaskEnded: ended, onJobRefused: refused,
	});
	submitNext();
	const end = (scenario.jobs.at(-1)?.arrivedAt ?? 0) + longestDrain;
	while (hasWork() && clock.now() < end && clock.step()) {
		// Each step fires one timer.
	}

	system.stop();
	return summarize();

	function hasWork(): boolean {
		return arrived < scenario.jobs.length || open > 0;
	}

	function submitNext(): void {
		const job = scenario.jobs[arrived];
		if (job === undefined) {
			return;
		}

		clock.after(job.arrivedAt - clock.now(), () => {
			arrived++;
			submit(job);
			submitNext();
		});
	}

	function submit(job: BenchJob): void {
		const record: JobRecord = {
			job, left: job.runTimes.length, state: 'waiting', response: 0,
		};
		records.set(job, record);
		open++;
		system.submit(job);
		if (job.cancelAfter !== undefined) {
			clock.after(job.cancelAfter, () => {
				if (record.state === 'waiting') {
					system.cancel(job);
					close(record, 'cancelled');
				}
			});
		}
	}

	function ended(job: BenchJob, end: TaskEnd): void {
		const record = records.get(job)!;
		if (end !== 'lost') {
			placedTasks++;
		}

		if (record.state !== 'waiting') {
			return;
		}

		record.left--;
		if (end !== 'completed') {
			system.cancel(job);
			close(record, 'failed');
		} else if (record.left === 0) {
			close(record, 'completed');
		}
	}

	function refused(job: BenchJob): void {
		close(records.get(job)!, 'refused');
	}

	function close(record: JobRecord, state: JobRecord['state']): void {
		record.state = state;
		record.response = clock.now() - record.job.arrivedAt;
		open--;
	}

	function summarize(): BenchResult {
		const measured = [...records.values()].slice(Math.floor(scenario.jobs.length * warmUpPart));
		const slowdowns = getSlowdowns(measured, scenario);
		const largest = getLargest(measured);
		const count = (state: JobRecord['state']) => measured.filter(record => record.state === state).length;
		const placing = messages.starts + messages.loneReports + messages.loneGrants + messages.refusals + messages.probes;
		return {
			scenario: scenario.name,
			placement,
			slowdown: getQuantiles(slowdowns),
			largestSlowdown: getQuantiles(getSlowdowns(largest, scenario)),
			messagesPerTask: placing / placedTasks,
			wastedPerTask: (placing - messages.starts + messages.refusals) / placedTasks,
			messages,
			completed: count('completed'),
			failed: count('failed'),
			refused: count('refused'),
			cancelled: count('cancelled'),
			unanswered: count('waiting'),
		};
	}
}

function getLargest(records: readonly JobRecord[]): readonly JobRecord[] {
	const sorted = records.toSorted((a, b) => getWork(b.job) - getWork(a.job));
	return sorted.slice(0, Math.ceil(records.length * largestPart));
}

function getWork(job: BenchJob): Milliseconds {
	return job.runTimes.reduce((sum, run) => sum + run, 0);
}

function getSlowdowns(records: readonly JobRecord[], scenario: Scenario): Float64Array {
	const completed = records.filter(record => record.state === 'completed');
	return Float64Array.from(completed, record => record.response / getIdealResponse(record.job.runTimes, scenario.agents * scenario.slots)).toSorted();
}

/** Time that the work alone takes with all slots free for it: each task in turn on the slot that is free first. */
export function getIdealResponse(runs: readonly Milliseconds[], slots: number): Milliseconds {
	if (runs.length <= slots) {
		return Math.max(...runs);
	}

	const free = new Float64Array(slots);
	for (const run of runs) {
		let first = 0;
		for (let slot = 1; slot < slots; slot++) {
			if (free[slot]! < free[first]!) {
				first = slot;
			}
		}

		free[first]! += run;
	}

	return Math.max(...free);
}

function getQuantiles(sorted: Float64Array): Quantiles {
	const at = (part: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? Number.NaN;
	return {
		p50: at(0.5), p99: at(0.99), p999: at(0.999), mean: sorted.reduce((sum, value) => sum + value, 0) / sorted.length,
	};
}
