/**
 * Faults that a run brings about, and their seeded schedules.
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
	| {readonly kind: 'cut'; readonly agent: string; readonly entry: string; readonly notices: readonly [Milliseconds, Milliseconds]; readonly blockedMs: Milliseconds}
	/** Two processes, or one and the platform, cannot reach each other. */
	| {readonly kind: 'block'; readonly a: string; readonly b: string; readonly duration: Milliseconds}
	| {readonly kind: 'platform'; readonly faults: Partial<PlatformFaults>; readonly duration: Milliseconds}
	| {readonly kind: 'upstream'; readonly name: string; readonly mode: UpstreamMode; readonly duration: Milliseconds}
	| {readonly kind: 'drain'; readonly name: string; readonly duration: Milliseconds}
	| {readonly kind: 'cancel-wave'}
	| {readonly kind: 'burst'; readonly submissions: number};

/** A fault and its time in the run. */
export type PlannedFault = Fault & {readonly at: Milliseconds};

/** Last time at which a fault starts, and longest time that one lasts. */
export const faultWindowMs: Milliseconds = 20_000;
export const maxFaultMs: Milliseconds = 9000;

/** Draws a schedule. */
export function drawFaults(seed: number, count: number): PlannedFault[] {
	const dice = createRandomSource(seed);
	return Array.from({length: count}, () => ({...drawFault(dice), at: dice.integer(0, faultWindowMs)})).toSorted((a, b) => a.at - b.at);
}

function drawFault(dice: RandomSource): Fault {
	const entry = dice.pick(entryNames);
	const agent = dice.pick(upstreamNames);
	const either = dice.pick([entry, agent]);
	const duration = dice.pick([dice.integer(50, 1000), dice.integer(1000, 4000), dice.integer(4000, maxFaultMs)]);
	const kinds: Fault[] = [
		{kind: 'kill', name: either, backAfter: duration},
		{kind: 'kill', name: entry, backAfter: duration},
		{kind: 'shut-down', name: either, backAfter: duration},
		{kind: 'freeze', name: either, duration},
		{kind: 'freeze', name: entry, duration},
		{
			kind: 'cut', agent, entry, notices: [dice.pick([0, 100, 4000]), dice.pick([0, 100, 4000])], blockedMs: dice.pick([0, duration]),
		},
		{
			kind: 'cut', agent, entry, notices: [0, dice.integer(0, 4000)], blockedMs: 0,
		},
		{
			kind: 'block', a: entry, b: dice.pick(['platform', 'caller', ...entryNames]), duration,
		},
		{kind: 'platform', faults: {down: true}, duration},
		{kind: 'platform', faults: {slowMs: dice.integer(50, 3000)}, duration},
		{kind: 'platform', faults: {oldReadsMs: dice.integer(100, 5000)}, duration},
		{kind: 'platform', faults: {repliesToLose: dice.integer(1, 5)}, duration},
		{
			kind: 'upstream', name: agent, mode: dice.pick(['failing', 'breaking', 'refusing'] as const), duration,
		},
		{kind: 'drain', name: agent, duration},
		{kind: 'cancel-wave'},
		{kind: 'burst', submissions: dice.integer(5, 20)},
	];
	return dice.pick(kinds);
}

/** Brings a fault about now. */
export function applyFault(world: SimulatedCluster, callers: Callers, fault: Fault, burst: (submissions: number) => void): void {
	const {clock} = world.sim;
	world.journal.record({kind: 'fault', text: JSON.stringify(fault)});
	switch (fault.kind) {
		case 'kill': {
			world.kill(fault.name, fault.backAfter);
			break;
		}

		case 'shut-down': {
			world.shutDown(fault.name, fault.backAfter);
			break;
		}

		case 'freeze': {
			world.freeze(fault.name, fault.duration);
			break;
		}

		case 'cut': {
			world.network.cut(fault.agent, fault.entry, fault.notices, fault.blockedMs);
			break;
		}

		case 'block': {
			world.network.block(fault.a, fault.b, fault.duration);
			break;
		}

		case 'platform': {
			world.platform.setFaults(fault.faults);
			clock.after(fault.duration, () => {
				world.platform.setFaults({
					down: false, slowMs: 0, oldReadsMs: 0, repliesToLose: 0,
				});
			});
			break;
		}

		case 'upstream': {
			const upstream = world.upstreams.get(fault.name)!;
			upstream.mode = fault.mode;
			clock.after(fault.duration, () => {
				upstream.mode = 'serving';
			});
			break;
		}

		case 'drain': {
			// A second operator changes something else at the same time.
			world.operator.publish([createUpstreamObject(fault.name, true)]);
			world.operator.publish([createPolicy('messages')]);
			clock.after(fault.duration, () => {
				world.operator.publish([createUpstreamObject(fault.name, false)]);
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
