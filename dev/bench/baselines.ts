/**
 * Baseline placements that the product must outperform, and the central queue, which is the limit of first come,
 * first served.
 */
import {every, type Milliseconds} from '../../src/process/clock.js';
import {createRandom} from './random.js';
import type {
	BenchJob, Placement, PlacementFactory, PlacementHost,
} from './types.js';

/** Interval at which agents report their load. */
const heartbeatInterval: Milliseconds = 500;

type Task = {
	readonly job: BenchJob;
	readonly runTime: Milliseconds;
};

/** An upstream with its own first-come, first-served queue. */
type QueueingUpstream = {
	push(task: Task): void;
	/** Removes the waiting tasks of a job from the queue. */
	cancel(job: BenchJob): void;
	/** Returns the number of running and waiting tasks. */
	getLoad(): number;
};

/** Creates a central queue that knows the state of every slot and starts the oldest task as soon as one is free. */
export const createCentralQueue: PlacementFactory = host => {
	const {agents, slots, latency} = host.scenario;
	const upstreams = Array.from({length: agents}, () => ({running: 0}));
	let queue: Task[] = [];
	let head = 0;

	return {
		submit(job) {
			host.clock.after(latency, () => {
				for (const runTime of job.runTimes) {
					queue.push({job, runTime});
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
			const upstream = upstreams[index]!;
			while (upstream.running < slots && head < queue.length) {
				start(upstream, index, queue[head++]!);
			}
		}

		if (head > 10_000) {
			queue = queue.slice(head);
			head = 0;
		}
	}

	function start(upstream: {running: number}, index: number, task: Task): void {
		upstream.running++;
		host.messages.starts++;
		const {duration, isFailed} = host.scenario.behaviour(index, task.runTime);
		host.clock.after(duration, () => {
			upstream.running--;
			dispatch();
			host.clock.after(latency, () => {
				host.onTaskEnded(task.job, isFailed ? 'failed' : 'completed');
			});
		});
	}
};

/** Sends each task to a random agent. */
export const createRandomPlacement: PlacementFactory = host => {
	const random = createRandom(host.scenario.seed + 1);
	return createPushPlacement(host, () => random.integerBelow(host.scenario.agents));
};

/** Sends the tasks of each entry to the agents in turn. */
export const createRoundRobin: PlacementFactory = host => {
	const next = Array.from({length: host.scenario.entries}, (_, index) => index);
	return createPushPlacement(host, entry => {
		next[entry] = (next[entry]! + 1) % host.scenario.agents;
		return next[entry];
	});
};

/** Sends each task to the less loaded of two random agents, by the load that their last heartbeats reported. */
export const createTwoChoices: PlacementFactory = host => {
	const random = createRandom(host.scenario.seed + 1);
	const reportedLoads = Array.from({length: host.scenario.agents}, () => 0);
	return createPushPlacement(host, () => {
		const first = random.integerBelow(host.scenario.agents);
		const second = random.integerBelow(host.scenario.agents);
		return reportedLoads[first]! <= reportedLoads[second]! ? first : second;
	}, upstreams => {
		for (const [index, upstream] of upstreams.entries()) {
			reportedLoads[index] = upstream.getLoad();
			host.messages.heartbeats += host.scenario.entries;
		}
	});
};

/** Queues a reservation for each task at two random agents; the agent that has a free slot first runs the task. */
export const createTwoProbes: PlacementFactory = host => {
	const {clock, messages, scenario: {agents, slots, latency, behaviour, seed}} = host;
	const random = createRandom(seed + 1);
	const upstreams = Array.from({length: agents}, () => ({running: 0, reservations: [] as Reservation[], head: 0}));
	type Reservation = {readonly job: BenchJob; readonly unassignedTasks: Task[]};

	return {
		submit(job) {
			const unassignedTasks = job.runTimes.map(runTime => ({job, runTime}));
			for (let count = 0; count < 2 * job.runTimes.length; count++) {
				messages.probes++;
				const agent = random.integerBelow(agents);
				clock.after(latency, () => {
					upstreams[agent]!.reservations.push({job, unassignedTasks});
					requestTasks(agent);
				});
			}
		},
		cancel: () => undefined,
		stop: () => undefined,
	};

	function requestTasks(agent: number): void {
		const upstream = upstreams[agent]!;
		while (upstream.running < slots && upstream.head < upstream.reservations.length) {
			const reservation = upstream.reservations[upstream.head++]!;
			upstream.running++;
			messages.probes++;
			clock.after(latency, () => {
				assignTask(agent, reservation);
			});
		}
	}

	function assignTask(agent: number, {job, unassignedTasks}: Reservation): void {
		const task = unassignedTasks.shift();
		if (task === undefined) {
			messages.probes++;
			clock.after(latency, () => {
				releaseSlot(agent);
			});
			return;
		}

		messages.starts++;
		clock.after(latency, () => {
			const {duration, isFailed} = behaviour(agent, task.runTime);
			clock.after(duration, () => {
				releaseSlot(agent);
				clock.after(latency, () => {
					host.onTaskEnded(job, isFailed ? 'failed' : 'completed');
				});
			});
		});
	}

	function releaseSlot(agent: number): void {
		upstreams[agent]!.running--;
		requestTasks(agent);
	}
};

/** Sends each task immediately to the agent that `choose` returns. */
function createPushPlacement(host: PlacementHost, choose: (entry: number) => number, onHeartbeat?: (upstreams: readonly QueueingUpstream[]) => void): Placement {
	const {clock, messages, scenario} = host;
	const upstreams = Array.from({length: scenario.agents}, (_, index) => createQueueingUpstream(host, index));
	const timer = onHeartbeat === undefined
		? undefined
		: every(clock, heartbeatInterval, () => {
			onHeartbeat(upstreams);
		});

	return {
		submit(job) {
			for (const runTime of job.runTimes) {
				messages.starts++;
				const upstream = upstreams[choose(job.entry)]!;
				clock.after(scenario.latency, () => {
					upstream.push({job, runTime});
				});
			}
		},
		cancel(job) {
			for (const upstream of upstreams) {
				upstream.cancel(job);
			}
		},
		stop() {
			timer?.cancel();
		},
	};
}

function createQueueingUpstream(host: PlacementHost, index: number): QueueingUpstream {
	const {clock, scenario: {slots, latency, behaviour}} = host;
	let queue: Task[] = [];
	let running = 0;

	return {
		push(task) {
			queue.push(task);
			startQueuedTasks();
		},
		cancel(job) {
			queue = queue.filter(task => task.job !== job);
		},
		getLoad: () => running + queue.length,
	};

	function startQueuedTasks(): void {
		while (running < slots && queue.length > 0) {
			start(queue.shift()!);
		}
	}

	function start({job, runTime}: Task): void {
		const {duration, isFailed} = behaviour(index, runTime);
		running++;
		clock.after(duration, () => {
			running--;
			startQueuedTasks();
			clock.after(latency, () => {
				host.onTaskEnded(job, isFailed ? 'failed' : 'completed');
			});
		});
	}
}
