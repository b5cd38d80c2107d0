/**
 * One random failure run as on the users' platform: load, faults, a time to recover, and the checks at the end.
 */
import type {Milliseconds} from '../../../src/process/clock.js';
import type {Violation} from '../checker.js';
import {createRandomSource, type RandomSource} from '../simulation.js';
import {findLeasedViolations, type LeavingPeriod} from './checker.js';
import {createClients, type Clients} from './clients.js';
import {
	agentNames, createLeasedCluster, entryNames, type LeasedCluster, type InjectedDefects,
} from './cluster.js';

/** What a run showed. */
export type LeasedReport = {
	readonly violations: readonly Violation[];
	readonly jobs: number;
	readonly completed: number;
	/** Faults and their times, for people who read about a failed seed. */
	readonly faults: readonly string[];
};

const faultsMs: Milliseconds = 10_000;
const longestFaultMs: Milliseconds = 4000;
const faultCount = 8;
/** Time that slow orders wait on their way; their time-out is 150 ms. */
const slowOrderMs: Milliseconds = 100;
const arrivalMs: Milliseconds = 100;
const probeMs: Milliseconds = 8000;
/** Time limit of the last job, the longest late order, and some. */
const recoverMs: Milliseconds = 14_000;

/** Runs the load and, unless `isCalm`, the faults of a seed. */
export async function runLeasedFailures(seed: number, isCalm = false, plants: InjectedDefects = {}): Promise<LeasedReport> {
	const clients: Clients = createClients(() => world);
	const world = await createLeasedCluster(seed, clients.breakConnections, plants);
	const dice = createRandomSource(seed);
	const {clock} = world.sim;
	const departures: LeavingPeriod[] = [];
	const faults: string[] = [];
	for (let at = 0; at < faultsMs; at += dice.integer(1, 2 * arrivalMs)) {
		const tasks = dice.pick([1, 1, 2, 4, 8]);
		const hangUpAfter = dice.chance(0.1) ? dice.integer(1, 600) : undefined;
		clock.after(at, () => {
			clients.submit(tasks, hangUpAfter);
		});
	}

	for (let i = 0; i < (isCalm ? 0 : faultCount); i++) {
		const fault = drawFault(dice);
		clock.after(dice.integer(0, faultsMs), () => {
			faults.push(`${Math.round(clock.now())} ${JSON.stringify(fault)}`);
			apply(world, fault, departures);
		});
	}

	await world.advance(faultsMs + recoverMs);
	for (const executor of world.executors.values()) {
		executor.sampleRun = () => ({length: 100, fails: false});
	}

	const probes = Array.from({length: 3}, () => clients.submit(agentNames.length));
	await world.advance(probeMs);
	const violations = [...findLeasedViolations(world, clients.jobs, departures, isCalm), ...checkRest(world)];
	for (const probe of probes) {
		if (probe.replies.at(-1)?.state !== 'complete') {
			violations.push({rule: 'all work is served again after the faults', subject: probe.name, detail: probe.replies.map(reply => reply?.state ?? 'silent').join(', ')});
		}
	}

	return {
		violations,
		jobs: clients.jobs.length,
		completed: clients.jobs.filter(({replies}) => replies.at(-1)?.state === 'complete').length,
		faults,
	};
}

function checkRest(world: LeasedCluster): Violation[] {
	const violations: Violation[] = [];
	for (const [name, executor] of world.executors) {
		if (executor.getRunning().length > 0) {
			violations.push({rule: 'nothing leaks', subject: name, detail: `${executor.getRunning().length} runs`});
		}
	}

	for (const name of entryNames) {
		const {coordinator: home} = world.getEntry(name);
		if (home.getOpenJobs() > 0 || home.sessions.getOutstandingStarts() > 0) {
			violations.push({rule: 'nothing leaks', subject: name, detail: `${home.getOpenJobs()} jobs, ${home.sessions.getOutstandingStarts()} starts`});
		}
	}

	return violations;
}

type Fault =
	| {readonly kind: 'kill'; readonly name: string; readonly backAfter: Milliseconds}
	| {readonly kind: 'freeze'; readonly name: string; readonly duration: Milliseconds}
	| {readonly kind: 'cut'; readonly agent: string; readonly entry: string; readonly notices: readonly [Milliseconds, Milliseconds]; readonly duration: Milliseconds}
	| {readonly kind: 'silence'; readonly agent: string; readonly entry: string; readonly at: ReadonlyArray<'agent' | 'entry'>}
	| {readonly kind: 'dark'; readonly agent: string; readonly duration: Milliseconds}
	| {readonly kind: 'late'; readonly agent: string; readonly orders: 'start' | 'stop' | 'hold'; readonly count: number; readonly delay: Milliseconds | undefined}
	| {readonly kind: 'slow-orders'; readonly agent: string; readonly duration: Milliseconds}
	| {readonly kind: 'standing-still'; readonly agent: string; readonly duration: Milliseconds}
	| {readonly kind: 'leaving'; readonly agent: string; readonly duration: Milliseconds};

function drawFault(dice: RandomSource): Fault {
	const entry = dice.pick(entryNames);
	const agent = dice.pick(agentNames);
	const either = dice.pick([entry, agent]);
	const duration = dice.pick([dice.integer(50, 500), dice.integer(500, 1500), dice.integer(1500, longestFaultMs)]);
	return dice.pick<Fault>([
		{kind: 'kill', name: either, backAfter: duration},
		{kind: 'kill', name: agent, backAfter: dice.integer(100, 700)},
		{kind: 'freeze', name: either, duration},
		{kind: 'freeze', name: entry, duration},
		{
			kind: 'cut', agent, entry, notices: [dice.pick([0, 3, 60_000]), dice.pick([0, 3, 60_000])], duration: dice.pick([0, duration]),
		},
		{
			kind: 'silence', agent, entry, at: dice.pick([['agent'], ['entry'], ['agent', 'entry']] as const),
		},
		{kind: 'dark', agent, duration},
		{
			kind: 'late', agent, orders: 'start', count: dice.integer(1, 6), delay: dice.integer(160, 450),
		},
		{
			kind: 'late', agent, orders: dice.pick(['start', 'stop', 'hold'] as const), count: dice.integer(1, 6), delay: dice.pick([undefined, dice.integer(160, 450), dice.integer(200, 12_000)]),
		},
		{kind: 'slow-orders', agent, duration},
		{kind: 'standing-still', agent, duration},
		{kind: 'leaving', agent, duration: duration + 2500},
	]);
}

function apply(world: LeasedCluster, fault: Fault, departures: LeavingPeriod[]): void {
	const {sim: {clock}, network} = world;
	switch (fault.kind) {
		case 'kill': {
			world.kill(fault.name, fault.backAfter);
			break;
		}

		case 'freeze': {
			world.freeze(fault.name, fault.duration);
			break;
		}

		case 'cut': {
			network.cut(fault.agent, fault.entry, fault.notices, fault.duration);
			break;
		}

		case 'silence': {
			for (const end of fault.at) {
				network.silence(fault.agent, fault.entry, end);
			}

			break;
		}

		case 'dark': {
			switchFor(fault.duration, isOn => {
				world.executors.get(fault.agent)!.isUnreachable = isOn;
			});
			break;
		}

		case 'late': {
			const {unansweredCalls: late} = world.executors.get(fault.agent)!;
			late[fault.orders] += fault.count;
			late.delay = fault.delay;
			break;
		}

		case 'slow-orders': {
			switchFor(fault.duration, isOn => {
				world.executors.get(fault.agent)!.startCallDelay = isOn ? slowOrderMs : 0;
			});
			break;
		}

		case 'standing-still': {
			switchFor(fault.duration, isOn => {
				world.executors.get(fault.agent)!.isStalled = isOn;
			});
			break;
		}

		case 'leaving': {
			if (!world.leavingSince.has(fault.agent)) {
				const from = clock.now();
				world.setLeaving(fault.agent, true);
				clock.after(fault.duration, () => {
					departures.push({executor: fault.agent, from, to: clock.now()});
					world.setLeaving(fault.agent, false);
				});
			}

			break;
		}
	}

	function switchFor(duration: Milliseconds, set: (isOn: boolean) => void): void {
		set(true);
		clock.after(duration, () => {
			set(false);
		});
	}
}
