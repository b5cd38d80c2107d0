/**
 * Writes how busy this process is, and how much it has done, to the log and the metrics at regular intervals.
 */
import {
	every, type Clock, type Milliseconds, type Timer,
} from './clock.js';
import type {LinkBudget} from './link-budget.js';
import type {LoadMonitor} from './load-monitor.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** Dependencies of the load telemetry. */
export type LoadTelemetryHost = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly monitor: Pick<LoadMonitor, 'getLoad' | 'takeMaxDelay'>;
	readonly linkBudget?: Pick<LinkBudget, 'getLoad'>;
	/** Returns counts since the start of the process, for instance of messages. The log has their increases. */
	getCounts(): Readonly<Record<string, number>>;
	/** Returns further values that are logged as they are; none if undefined. */
	describeState?(): Readonly<Record<string, number | undefined>>;
};

const reportIntervalMs: Milliseconds = 1000;

/** Starts to report until the returned timer is cancelled. */
export function startLoadTelemetry({
	clock, log, metrics, monitor, linkBudget, getCounts, describeState,
}: LoadTelemetryHost): Timer {
	let lastCounts = getCounts();

	return every(clock, reportIntervalMs, () => {
		const {utilization} = monitor.getLoad();
		const maxDelay = monitor.takeMaxDelay();
		const counts = getCounts();
		const increases = Object.entries(counts).map(([name, count]) => [name, getIncrease(lastCounts[name] ?? 0, count)] as const);
		lastCounts = counts;
		metrics.gauge('process.utilization', utilization);
		metrics.gauge('process.max.delay', maxDelay);
		log.info({
			utilization: round(utilization), maxDelay: Math.round(maxDelay), ...describeLink(linkBudget), ...describeState?.(), ...Object.fromEntries(increases),
		}, 'load');
	});
}

/** Counts start anew with each incarnation of an upstream. */
function getIncrease(last: number, count: number): number {
	return count < last ? count : count - last;
}

function describeLink(linkBudget: LoadTelemetryHost['linkBudget']): Readonly<Record<string, number>> {
	if (linkBudget === undefined) {
		return {};
	}

	const {utilization, backlog} = linkBudget.getLoad();
	return {linkUtilization: round(utilization), linkBacklog: Math.round(backlog)};
}

function round(share: number): number {
	return Math.round(share * 100) / 100;
}
