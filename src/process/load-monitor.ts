/**
 * Measures how busy the event loop of this process is: the share of the time in which it does not wait for input, and how
 * late it is. A machine that gets only a share of a core counts as busy while it waits for its share.
 */
import process from 'node:process';
import {every, type Clock, type Milliseconds} from './clock.js';

/** Dependencies of a monitor. */
export type LoadMonitorHost = {
	readonly clock: Clock;
	/** Interval at which the load is sampled; 50 ms if undefined. */
	readonly sampleIntervalMs?: Milliseconds;
	/** Returns the total time for which the event loop has not waited for input. */
	readActiveTime(): Milliseconds;
	/** Returns the processor time that this process has used; not measured if undefined. */
	readProcessorTime?(): Milliseconds;
};

/** How busy the event loop was recently. */
export type ProcessLoad = {
	/** Share of the time in which the event loop did not wait for input, from 0 to 1. */
	readonly utilization: number;
	/** How long input waits until the event loop handles it. */
	readonly delay: Milliseconds;
};

/** Monitors the event loop of this process. */
export type LoadMonitor = {
	getLoad(): ProcessLoad;
	/**
	 * Returns the processor time that the process got lately for each unit of time in which its event loop was busy: less than 1 on a machine
	 * with a share of a processor. Undefined if it is not measured.
	 */
	tryGetProcessorShare?(): number | undefined;
	/** Returns the longest delay since the last call. */
	takeMaxDelay(): Milliseconds;
	/**
	 * Calls `action` at regular intervals, which are longer while the event loop is late. The delay is that of the last interval, but at most
	 * the average: the average alone would report a single long turn again and again, and the last interval alone any short one.
	 */
	onSample(action: (load: ProcessLoad) => void): void;
	stop(): void;
};

const defaultSampleIntervalMs: Milliseconds = 50;
const microsecondsPerMillisecond = 1000;
/** Weight of the newest sample in the moving averages; they follow a change within some samples. */
const newestSampleWeight = 0.2;
/** Factor by which a sample counts less for the processor share than the next one: those of the last seconds count. */
const shareDecay = 0.99;

/** Creates a monitor of the event loop of this process. */
export function createEventLoopMonitor(clock: Clock, sampleIntervalMs?: Milliseconds): LoadMonitor {
	return createLoadMonitor({
		clock,
		sampleIntervalMs,
		readActiveTime: () => performance.eventLoopUtilization().active,
		readProcessorTime() {
			const {user, system} = process.cpuUsage();
			return (user + system) / microsecondsPerMillisecond;
		},
	});
}

/** Creates a monitor of an event loop that was idle until now. */
export function createLoadMonitor({
	clock, sampleIntervalMs = defaultSampleIntervalMs, readActiveTime, readProcessorTime,
}: LoadMonitorHost): LoadMonitor {
	let sampledAt = clock.now();
	let activeTime = readActiveTime();
	let utilization = 0;
	let delay = 0;
	let maxDelay = 0;
	let processorTime = readProcessorTime?.() ?? 0;
	const recent = {active: 0, processor: 0};
	const listeners: Array<(load: ProcessLoad) => void> = [];
	const timer = every(clock, sampleIntervalMs, sample);

	return {
		getLoad() {
			// A turn of the event loop that takes long counts before it has ended.
			return {utilization, delay: Math.max(delay, getLateness())};
		},
		tryGetProcessorShare: () => readProcessorTime === undefined || recent.active === 0 ? undefined : recent.processor / recent.active,
		takeMaxDelay() {
			const result = Math.max(maxDelay, getLateness());
			maxDelay = 0;
			return result;
		},
		onSample(action) {
			listeners.push(action);
		},
		stop() {
			timer.cancel();
		},
	};

	function getLateness(): Milliseconds {
		return Math.max(0, clock.now() - sampledAt - sampleIntervalMs);
	}

	function sample(): void {
		const now = clock.now();
		const lateness = getLateness();
		const newActiveTime = readActiveTime();
		const activeShare = Math.min(1, (newActiveTime - activeTime) / (now - sampledAt));
		// A late sample covers several intervals, and its share counts for each of them.
		const weight = 1 - ((1 - newestSampleWeight) ** ((now - sampledAt) / sampleIntervalMs));
		utilization += weight * (activeShare - utilization);
		delay += weight * (lateness - delay);
		maxDelay = Math.max(maxDelay, lateness);
		updateProcessorShare(newActiveTime - activeTime);
		sampledAt = now;
		activeTime = newActiveTime;
		for (const listener of listeners) {
			listener({utilization, delay: Math.min(lateness, delay)});
		}
	}

	function updateProcessorShare(active: Milliseconds): void {
		const newProcessorTime = readProcessorTime?.() ?? 0;
		recent.active = (recent.active * shareDecay) + active;
		recent.processor = (recent.processor * shareDecay) + newProcessorTime - processorTime;
		processorTime = newProcessorTime;
	}
}
