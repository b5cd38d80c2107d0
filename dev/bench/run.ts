/**
 * Runs one scenario with one placement on a fake clock and computes the results.
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

/** Share of the jobs, at the start of a run, that the results exclude. */
const warmUpShare = 0.1;
/** Maximum time from the last arrival to the end of a run; jobs still open then count as unanswered. */
const maxDrain: Milliseconds = 3_600_000;
/** Share of the jobs that count as the largest. */
const largestShare = 0.1;

type JobRecord = {
	readonly job: BenchJob;
	tasksLeft: number;
	state: 'waiting' | 'completed' | 'failed' | 'refused' | 'cancelled';
	response: Milliseconds;
};

/** Runs a scenario until all jobs have ended or the maximum time has passed. */
export function runScenario(scenario: Scenario, placement: PlacementName): BenchResult {
	const clock = createFakeClock();
	const messages: MessageCounts = {
		starts: 0, results: 0, loneReports: 0, loneGrants: 0, refusals: 0, probes: 0, heartbeats: 0,
	};
	const records = new Map<BenchJob, JobRecord>();
	let openJobs = 0;
	let placedTasks = 0;
	let arrivedJobs = 0;
	const system = factories[placement]({
		clock, scenario, messages, onTaskEnded, onJobRefused,
	});
	submitNext();
	const end = (scenario.jobs.at(-1)?.arrivedAt ?? 0) + maxDrain;
	while (hasWork() && clock.now() < end && clock.step()) {
		// Each step fires one timer.
	}

	system.stop();
	return summarize();

	function hasWork(): boolean {
		return arrivedJobs < scenario.jobs.length || openJobs > 0;
	}

	function submitNext(): void {
		const job = scenario.jobs[arrivedJobs];
		if (job === undefined) {
			return;
		}

		clock.after(job.arrivedAt - clock.now(), () => {
			arrivedJobs++;
			submit(job);
			submitNext();
		});
	}

	function submit(job: BenchJob): void {
		const record: JobRecord = {
			job, tasksLeft: job.runTimes.length, state: 'waiting', response: 0,
		};
		records.set(job, record);
		openJobs++;
		system.submit(job);
		if (job.cancelAfter !== undefined) {
			clock.after(job.cancelAfter, () => {
				if (record.state === 'waiting') {
					system.cancel(job);
					closeJob(record, 'cancelled');
				}
			});
		}
	}

	function onTaskEnded(job: BenchJob, end: TaskEnd): void {
		const record = records.get(job)!;
		if (end !== 'lost') {
			placedTasks++;
		}

		if (record.state !== 'waiting') {
			return;
		}

		record.tasksLeft--;
		if (end !== 'completed') {
			system.cancel(job);
			closeJob(record, 'failed');
		} else if (record.tasksLeft === 0) {
			closeJob(record, 'completed');
		}
	}

	function onJobRefused(job: BenchJob): void {
		closeJob(records.get(job)!, 'refused');
	}

	function closeJob(record: JobRecord, state: JobRecord['state']): void {
		record.state = state;
		record.response = clock.now() - record.job.arrivedAt;
		openJobs--;
	}

	function summarize(): BenchResult {
		const measured = [...records.values()].slice(Math.floor(scenario.jobs.length * warmUpShare));
		const slowdowns = getSlowdowns(measured, scenario);
		const largest = getLargest(measured);
		const count = (state: JobRecord['state']) => measured.filter(record => record.state === state).length;
		const placementMessages = messages.starts + messages.loneReports + messages.loneGrants + messages.refusals + messages.probes;
		return {
			scenario: scenario.name,
			placement,
			slowdown: getQuantiles(slowdowns),
			largestSlowdown: getQuantiles(getSlowdowns(largest, scenario)),
			messagesPerTask: placementMessages / placedTasks,
			wastedPerTask: (placementMessages - messages.starts + messages.refusals) / placedTasks,
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
	return sorted.slice(0, Math.ceil(records.length * largestShare));
}

function getWork(job: BenchJob): Milliseconds {
	return job.runTimes.reduce((sum, run) => sum + run, 0);
}

function getSlowdowns(records: readonly JobRecord[], scenario: Scenario): Float64Array {
	const completed = records.filter(record => record.state === 'completed');
	return Float64Array.from(completed, record => record.response / getIdealResponse(record.job.runTimes, scenario.agents * scenario.slots)).toSorted();
}

/** Returns the response time of a job with all slots to itself: each task in turn runs on the slot that is free first. */
export function getIdealResponse(runTimes: readonly Milliseconds[], slots: number): Milliseconds {
	if (runTimes.length <= slots) {
		return Math.max(...runTimes);
	}

	const freeAt = new Float64Array(slots);
	for (const runTime of runTimes) {
		let first = 0;
		for (let slot = 1; slot < slots; slot++) {
			if (freeAt[slot]! < freeAt[first]!) {
				first = slot;
			}
		}

		freeAt[first]! += runTime;
	}

	return Math.max(...freeAt);
}

function getQuantiles(sorted: Float64Array): Quantiles {
	const getQuantile = (fraction: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
	return {
		p50: getQuantile(0.5), p99: getQuantile(0.99), p999: getQuantile(0.999), mean: sorted.reduce((sum, value) => sum + value, 0) / sorted.length,
	};
}
