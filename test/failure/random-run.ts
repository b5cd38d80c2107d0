/**
 * One random failure run: load, faults, a time to recover, and the checks at the end.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {createCallers, type SubmissionPlan} from './callers.js';
import {findViolations, type Violation} from './checker.js';
import {
	createObjects, deadlineMs, slotsPerUpstream, upstreamNames,
} from './config.js';
import {
	applyFault, drawFaults, faultWindowMs, maxFaultMs, type PlannedFault,
} from './faults.js';
import type {RecordedEvent} from './journal.js';
import {createRandomSource, type RandomSource} from './simulation.js';
import {createSimulatedCluster, entryNames, type SimulatedCluster} from './cluster.js';

/** What a run showed. */
export type RunReport = {
	readonly violations: readonly Violation[];
	readonly events: readonly RecordedEvent[];
};

const faultCount = 12;
const arrivalMs: Milliseconds = 150;
const repeatChance = 0.02;
const recoverMs: Milliseconds = maxFaultMs + deadlineMs + 10_000;
const warmUpMs: Milliseconds = 2000;
const probeMs: Milliseconds = 8000;

/** The faults of a seed. */
export function getFaultsOfSeed(seed: number): PlannedFault[] {
	return drawFaults(seed, faultCount);
}

/** Runs the load of a seed under these faults. */
export async function runRandomFailures(seed: number, faults: readonly PlannedFault[]): Promise<RunReport> {
	const world = await createSimulatedCluster(seed);
	const callers = createCallers(world);
	const dice = createRandomSource(seed);
	const {clock} = world.sim;
	const submit = (count: number) => {
		for (let i = 0; i < count; i++) {
			callers.submit(drawPlan(dice));
		}
	};

	world.network.faults.repeatChance = repeatChance;
	for (let at = 0; at < faultWindowMs; at += dice.integer(1, 2 * arrivalMs)) {
		clock.after(at, () => {
			submit(1);
		});
	}

	for (const fault of faults) {
		clock.after(fault.at, () => {
			applyFault(world, callers, fault, submit);
		});
	}

	await world.advance(faultWindowMs + recoverMs);
	callers.recordUnanswered();
	await restoreConfiguration(world);
	await probeSlots(world, callers.submit);
	noteEnd(world);
	return {violations: findViolations(world.journal.events), events: world.journal.events};
}

function drawPlan(dice: RandomSource): SubmissionPlan {
	return {
		taskCount: dice.pick([1, 1, 2, 5]),
		isIdempotent: dice.chance(0.5),
		issuer: dice.pick(entryNames),
		isDuplicated: dice.chance(0.2),
		cancelAfter: dice.chance(0.1) ? dice.integer(0, 800) : undefined,
		resubmitAfter: dice.chance(0.5) ? dice.integer(100, 15_000) : undefined,
	};
}

/** Drained upstreams, and idle credits that entries keep to save messages, would count as slots out of use. */
async function restoreConfiguration(world: SimulatedCluster): Promise<void> {
	world.operator.publish(createObjects());
	await world.advance(4000);
}

/** After all faults every slot can be used again. */
async function probeSlots(world: SimulatedCluster, submit: (plan: SubmissionPlan) => void): Promise<void> {
	const probe: SubmissionPlan = {
		taskCount: slotsPerUpstream * upstreamNames.length * 4, isIdempotent: false, issuer: 'e1', via: 'e1', isDuplicated: false,
	};
	submit(probe);
	// An upstream that had been ejected gets its full share back only with some load.
	await world.advance(warmUpMs);
	submit(probe);
	const most = new Map<string, number>();
	for (let elapsed = 0; elapsed < 1000; elapsed += 5) {
		await world.advance(5);
		for (const {name, getRunning} of world.upstreams.values()) {
			most.set(name, Math.max(most.get(name) ?? 0, getRunning()));
		}
	}

	for (const [process, count] of most) {
		world.journal.record({
			kind: 'left-over', process, what: 'slots out of use', count: Math.max(0, slotsPerUpstream - count),
		});
	}

	await world.advance(probeMs);
}

function noteEnd(world: SimulatedCluster): void {
	const {journal} = world;
	const published = world.operator.getPublished();
	for (const name of entryNames) {
		const entry = world.getEntry(name);
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
		const agent = world.getAgent(name);
		journal.record({
			kind: 'version-check', process: agent.process.name, version: agent.getVersion(), published,
		});
	}
}
