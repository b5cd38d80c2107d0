/**
 * Simple ways to place tasks that the product must beat, and the all-knowing queue that is the limit of
 * first come, first served.
 */
import {every, type Milliseconds} from '../../src/process/clock.js';
import {createRandom} from './random.js';
import type {
	BenchJob, Placement, PlacementFactory, PlacementHost,
} from './types.js';

/** Interval at which agents tell their load. */
const heartbeat: Milliseconds = 500;

type Task = {
	readonly job: BenchJob;
	readonly run: Milliseconds;
};

/** One upstream that runs its own queue first come, first served. */
type QueueingWorker = {
	push(task: Task): void;
	/** Takes waiting tasks of a job out. */
	cancel(job: BenchJob): void;
	/** Tasks running and waiting. */
	getLoad(): number;
};

/** One queue that knows every slot: starts the oldest task the moment that a slot is free. */
export const createCentralQueue: PlacementFactory = host => {
	const {agents, slots, latency} = host.scenario;
	const workers = Array.from({length: agents}, () => ({running: 0}));
	let queue: Task[] = [];
	let head = 0;

	return {
		submit(job) {
			host.clock.after(latency, () => {
				for (const run of job.runTimes) {
					queue.push({job, run});
				}

				dispatch();
			});
		},
		cancel(job) {
			queue = queue.slice(head).filter(task => task.job !== job);
			head = 0;
		},
		stop: () => undefined,
	};

	function dispatch(): void {
		for (let index = 0; index < agents; index++) {
			const worker = workers[index]!;
			while (worker.running < slots && head < queue.length) {
				start(worker, index, queue[head++]!);
			}
		}

		if (head > 10_000) {
			queue = queue.slice(head);
			head = 0;
		}
	}

	function start(worker: {running: number}, index: number, task: Task): void {
		worker.running++;
		host.messages.starts++;
		const {duration, isFailed} = host.scenario.behaviour(index, task.run);
		host.clock.after(duration, () => {
			worker.running--;
			dispatch();
			host.clock.after(latency, () => {
				host.onTaskEnded(task.job, isFailed ? 'failed' : 'completed');
			});
		});
	}
};

/** Each task goes to an agent drawn at random. */
export const createRandomPlacement: PlacementFactory = host => {
	const random = createRandom(host.scenario.seed + 1);
	return createPushing(host, () => random.integerBelow(host.scenario.agents));
};

/** Each entry sends its tasks to the agents in turn. */
export const createRoundRobin: PlacementFactory = host => {
	const next = Array.from({length: host.scenario.entries}, (_, index) => index);
	return createPushing(host, entry => {
		next[entry] = (next[entry]! + 1) % host.scenario.agents;
		return next[entry];
	});
};

/** Each task goes to the less loaded of two agents, by the load that their last heartbeat told. */
export const createTwoChoices: PlacementFactory = host => {
	const random = createRandom(host.scenario.seed + 1);
	const known = Array.from({length: host.scenario.agents}, () => 0);
	return createPushing(host, () => {
		const first = random.integerBelow(host.scenario.agents);
		const second = random.integerBelow(host.scenario.agents);
		return known[first]! <= known[second]! ? first : second;
	}, workers => {
		for (const [index, worker] of workers.entries()) {
			known[index] = worker.getLoad();
			host.messages.heartbeats += host.scenario.entries;
		}
	});
};

/** Two agents queue a reservation for each task; the one that has a slot first gets the task. */
export const createTwoProbes: PlacementFactory = host => {
	const {clock, messages, scenario: {agents, slots, latency, behaviour, seed}} = host;
	const random = createRandom(seed + 1);
	const workers = Array.from({length: agents}, () => ({running: 0, reservations: [] as Reservation[], head: 0}));
	type Reservation = {readonly job: BenchJob; readonly waiting: Task[]};

	return {
		submit(job) {
			const waiting = job.runTimes.map(run => ({job, run}));
			for (let count = 0; count < 2 * job.runTimes.length; count++) {
				messages.probes++;
				const agent = random.integerBelow(agents);
				clock.after(latency, () => {
					workers[agent]!.reservations.push({job, waiting});
					serve(agent);
				});
			}
		},
		cancel: () => undefined,
		stop: () => undefined,
	};

	function serve(agent: number): void {
		const worker = workers[agent]!;
		while (worker.running < slots && worker.head < worker.reservations.length) {
			const reservation = worker.reservations[worker.head++]!;
			worker.running++;
			messages.probes++;
			clock.after(latency, () => {
				answer(agent, reservation);
			});
		}
	}

	function answer(agent: number, {job, waiting}: Reservation): void {
		const task = waiting.shift();
		if (task === undefined) {
			messages.probes++;
			clock.after(latency, () => {
				free(agent);
			});
			return;
		}

		messages.starts++;
		clock.after(latency, () => {
			const {duration, isFailed} = behaviour(agent, task.run);
			clock.after(duration, () => {
				free(agent);
				clock.after(latency, () => {
					host.onTaskEnded(job, isFailed ? 'failed' : 'completed');
				});
			});
		});
	}

	function free(agent: number): void {
		workers[agent]!.running--;
		serve(agent);
	}
};

/** Sends each task at once to the agent that `choose` names. */
function createPushing(host: PlacementHost, choose: (entry: number) => number, hear?: (workers: readonly QueueingWorker[]) => void): Placement {
	const {clock, messages, scenario} = host;
	const workers = Array.from({length: scenario.agents}, (_, index) => createQueueingWorker(host, index));
	const timer = hear === undefined
		? undefined
		: every(clock, heartbeat, () => {
			hear(workers);
		});

	return {
		submit(job) {
			for (const run of job.runTimes) {
				messages.starts++;
				const worker = workers[choose(job.entry)]!;
				clock.after(scenario.latency, () => {
					worker.push({job, run});
				});
			}
		},
		cancel(job) {
			for (const worker of workers) {
				worker.cancel(job);
			}
		},
		stop() {
			timer?.cancel();
		},
	};
}

function createQueueingWorker(host: PlacementHost, index: number): QueueingWorker {
	const {clock, scenario: {slots, latency, behaviour}} = host;
	let queue: Task[] = [];
	let running = 0;

	return {
		push(task) {
			queue.push(task);
			serve();
		},
		cancel(job) {
			queue = queue.filter(task => task.job !== job);
		},
		getLoad: () => running + queue.length,
	};

	function serve(): void {
		while (running < slots && queue.length > 0) {
			start(queue.shift()!);
		}
	}

	function start({job, run}: Task): void {
		const {duration, isFailed} = behaviour(index, run);
		running++;
		clock.after(duration, () => {
			running--;
			serve();
			clock.after(latency, () => {
				host.onTaskEnded(job, isFailed ? 'failed' : 'completed');
			});
		});
	}
}
