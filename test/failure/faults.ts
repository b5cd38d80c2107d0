/**
 * Faults that are injected into a run, and their seeded schedules.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import type {PlatformFaults} from '../../src/process/platform/memory.js';
import type {Callers} from './callers.js';
import {createPolicy, createUpstreamObject, upstreamNames} from './config.js';
import {createRandomSource, type RandomSource} from './simulation.js';
import type {UpstreamMode} from './upstream.js';
import {entryNames, type SimulatedCluster} from './cluster.js';

/** One fault. */
export type Fault =
	| {readonly kind: 'kill' | 'shut-down'; readonly name: string; readonly backAfter: Milliseconds}
	| {readonly kind: 'freeze'; readonly name: string; readonly duration: Milliseconds}
	/** The streams between an agent and an entry are cut; each end notices after its own delay. */
	| {readonly kind: 'cut'; readonly agent: string; readonly entry: string; readonly notices: readonly [Milliseconds, Milliseconds]; readonly blockedMs: Milliseconds}
	/** Two processes, or one and the platform, cannot reach each other. */
	| {readonly kind: 'block'; readonly a: string; readonly b: string; readonly duration: Milliseconds}
	| {readonly kind: 'platform'; readonly faults: Partial<PlatformFaults>; readonly duration: Milliseconds}
	| {readonly kind: 'upstream'; readonly name: string; readonly mode: UpstreamMode; readonly duration: Milliseconds}
	| {readonly kind: 'drain'; readonly name: string; readonly duration: Milliseconds}
	/** Callers cancel half of the submissions that have no final answer. */
	| {readonly kind: 'cancel-wave'}
	/** Several submissions arrive at once. */
	| {readonly kind: 'burst'; readonly submissions: number};

/** A fault and the time in the run at which it starts. */
export type PlannedFault = Fault & {readonly at: Milliseconds};

/** Length of the window in which faults start, and maximum duration of a fault. */
export const faultWindowMs: Milliseconds = 20_000;
export const maxFaultMs: Milliseconds = 9000;

/** Creates the schedule of `count` random faults for a seed. */
export function sampleFaults(seed: number, count: number): PlannedFault[] {
	const randomSource = createRandomSource(seed);
	return Array.from({length: count}, () => ({...sampleFault(randomSource), at: randomSource.integer(0, faultWindowMs)})).toSorted((a, b) => a.at - b.at);
}

function sampleFault(randomSource: RandomSource): Fault {
	const entry = randomSource.pick(entryNames);
	const agent = randomSource.pick(upstreamNames);
	const entryOrAgent = randomSource.pick([entry, agent]);
	const duration = randomSource.pick([randomSource.integer(50, 1000), randomSource.integer(1000, 4000), randomSource.integer(4000, maxFaultMs)]);
	const kinds: Fault[] = [
		{kind: 'kill', name: entryOrAgent, backAfter: duration},
		{kind: 'kill', name: entry, backAfter: duration},
		{kind: 'shut-down', name: entryOrAgent, backAfter: duration},
		{kind: 'freeze', name: entryOrAgent, duration},
		{kind: 'freeze', name: entry, duration},
		{
			kind: 'cut', agent, entry, notices: [randomSource.pick([0, 100, 4000]), randomSource.pick([0, 100, 4000])], blockedMs: randomSource.pick([0, duration]),
		},
		{
			kind: 'cut', agent, entry, notices: [0, randomSource.integer(0, 4000)], blockedMs: 0,
		},
		{
			kind: 'block', a: entry, b: randomSource.pick(['platform', 'caller', ...entryNames]), duration,
		},
		{kind: 'platform', faults: {down: true}, duration},
		{kind: 'platform', faults: {slowMs: randomSource.integer(50, 3000)}, duration},
		{kind: 'platform', faults: {oldReadsMs: randomSource.integer(100, 5000)}, duration},
		{kind: 'platform', faults: {repliesToLose: randomSource.integer(1, 5)}, duration},
		{
			kind: 'upstream', name: agent, mode: randomSource.pick(['failing', 'breaking', 'refusing'] as const), duration,
		},
		{kind: 'drain', name: agent, duration},
		{kind: 'cancel-wave'},
		{kind: 'burst', submissions: randomSource.integer(5, 20)},
	];
	return randomSource.pick(kinds);
}

/** Injects a fault now. */
export function applyFault(cluster: SimulatedCluster, callers: Callers, fault: Fault, burst: (submissions: number) => void): void {
	const {clock} = cluster.sim;
	cluster.journal.record({kind: 'fault', text: JSON.stringify(fault)});
	switch (fault.kind) {
		case 'kill': {
			cluster.kill(fault.name, fault.backAfter);
			break;
		}

		case 'shut-down': {
			cluster.shutDown(fault.name, fault.backAfter);
			break;
		}

		case 'freeze': {
			cluster.freeze(fault.name, fault.duration);
			break;
		}

		case 'cut': {
			cluster.network.cut(fault.agent, fault.entry, fault.notices, fault.blockedMs);
			break;
		}

		case 'block': {
			cluster.network.block(fault.a, fault.b, fault.duration);
			break;
		}

		case 'platform': {
			cluster.platform.setFaults(fault.faults);
			clock.after(fault.duration, () => {
				cluster.platform.setFaults({
					down: false, slowMs: 0, oldReadsMs: 0, repliesToLose: 0,
				});
			});
			break;
		}

		case 'upstream': {
			const upstream = cluster.upstreams.get(fault.name)!;
			upstream.mode = fault.mode;
			clock.after(fault.duration, () => {
				upstream.mode = 'serving';
			});
			break;
		}

		case 'drain': {
			// A second change is published concurrently, as by another operator.
			cluster.operator.publish([createUpstreamObject(fault.name, true)]);
			cluster.operator.publish([createPolicy('messages')]);
			clock.after(fault.duration, () => {
				cluster.operator.publish([createUpstreamObject(fault.name, false)]);
			});
			break;
		}

		case 'cancel-wave': {
			callers.cancelRandomShare(0.5);
			break;
		}

		case 'burst': {
			burst(fault.submissions);
			break;
		}
	}
}
