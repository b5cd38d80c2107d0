/**
 * One random failure run: load with injected faults, a recovery time, and the checks at the end.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {createCallers, type SubmissionPlan} from './callers.js';
import {findViolations, type Violation} from './checker.js';
import {
	createObjects, deadlineMs, slotsPerUpstream, upstreamNames,
} from './config.js';
import {
	applyFault, sampleFaults, faultWindowMs, maxFaultMs, type PlannedFault,
} from './faults.js';
import type {RecordedEvent} from './journal.js';
import {createRandomSource, type RandomSource} from './simulation.js';
import {createSimulatedCluster, entryNames, type SimulatedCluster} from './cluster.js';

/** Result of a run. */
export type RunReport = {
	readonly violations: readonly Violation[];
	readonly events: readonly RecordedEvent[];
};

const faultCount = 12;
const arrivalMs: Milliseconds = 150;
const batchRepeatChance = 0.02;
const recoverMs: Milliseconds = maxFaultMs + deadlineMs + 10_000;
const warmUpJobs = 3;
const warmUpMs: Milliseconds = 2000;
const probeTimeMs: Milliseconds = 8000;

/** Returns the faults of a seed. */
export function getFaultsOfSeed(seed: number): PlannedFault[] {
	return sampleFaults(seed, faultCount);
}

/** Runs the load of a seed with these faults. */
export async function runRandomFailures(seed: number, faults: readonly PlannedFault[]): Promise<RunReport> {
	const cluster = await createSimulatedCluster(seed);
	const callers = createCallers(cluster);
	const randomSource = createRandomSource(seed);
	const {clock} = cluster.sim;
	const submit = (count: number) => {
		for (let i = 0; i < count; i++) {
			callers.submit(samplePlan(randomSource));
		}
	};

	cluster.network.faults.repeatChance = batchRepeatChance;
	for (let at = 0; at < faultWindowMs; at += randomSource.integer(1, 2 * arrivalMs)) {
		clock.after(at, () => {
			submit(1);
		});
	}

	for (const fault of faults) {
		clock.after(fault.at, () => {
			applyFault(cluster, callers, fault, submit);
		});
	}

	await cluster.advance(faultWindowMs + recoverMs);
	callers.recordUnanswered();
	await restoreConfiguration(cluster);
	await probeSlots(cluster, callers.submit);
	recordFinalState(cluster);
	return {violations: findViolations(cluster.journal.events), events: cluster.journal.events};
}

function samplePlan(randomSource: RandomSource): SubmissionPlan {
	return {
		taskCount: randomSource.pick([1, 1, 2, 5]),
		isIdempotent: randomSource.chance(0.5),
		issuer: randomSource.pick(entryNames),
		isDuplicated: randomSource.chance(0.2),
		cancelAfter: randomSource.chance(0.1) ? randomSource.integer(0, 800) : undefined,
		resubmitAfter: randomSource.chance(0.5) ? randomSource.integer(100, 15_000) : undefined,
	};
}

/**
 * Restores the initial configuration. Drained upstreams, and idle credits that entries keep to save messages, would
 * otherwise count as unused slots.
 */
async function restoreConfiguration(cluster: SimulatedCluster): Promise<void> {
	cluster.operator.publish(createObjects());
	await cluster.advance(4000);
}

/** Records the slots that cannot be used any more after all faults. */
async function probeSlots(cluster: SimulatedCluster, submit: (plan: SubmissionPlan) => void): Promise<void> {
	const probe: SubmissionPlan = {
		taskCount: slotsPerUpstream * upstreamNames.length * 4, isIdempotent: false, issuer: 'e1', via: 'e1', isDuplicated: false,
	};
	// An upstream that was ejected regains its full share only under load, by about seven successful tasks, one each 200 ms.
	// A job may fail early and end the load, so several are submitted.
	for (let i = 0; i < warmUpJobs; i++) {
		submit(probe);
		await cluster.advance(warmUpMs);
	}

	submit(probe);
	const maxRunning = new Map<string, number>();
	for (let elapsed = 0; elapsed < 1000; elapsed += 5) {
		await cluster.advance(5);
		for (const {name, getRunning} of cluster.upstreams.values()) {
			maxRunning.set(name, Math.max(maxRunning.get(name) ?? 0, getRunning()));
		}
	}

	for (const [process, count] of maxRunning) {
		cluster.journal.record({
			kind: 'left-over', process, what: 'slots out of use', count: Math.max(0, slotsPerUpstream - count),
		});
	}

	await cluster.advance(probeTimeMs);
}

function recordFinalState(cluster: SimulatedCluster): void {
	const {journal} = cluster;
	const published = cluster.operator.getPublished();
	for (const name of entryNames) {
		const entry = cluster.getEntry(name);
		const process = entry.process.name;
		journal.record({
			kind: 'version-check', process, version: entry.getVersion(), published,
		});
		journal.record({
			kind: 'left-over', process, what: 'open jobs', count: entry.coordinator.getOpenJobs(),
		});
		journal.record({
			kind: 'left-over', process, what: 'starts without an end', count: entry.coordinator.sessions.getOutstandingStarts(),
		});
		journal.record({
			kind: 'left-over', process, what: 'quota in use', count: entry.getUsedQuota(),
		});
	}

	for (const name of upstreamNames) {
		const agent = cluster.getAgent(name);
		journal.record({
			kind: 'version-check', process: agent.process.name, version: agent.getVersion(), published,
		});
	}
}
