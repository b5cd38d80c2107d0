/**
 * Combinations of up to three faults, on a grid of times around the timeouts, that hit the chain of one forwarded job: e1 forwards it
 * to e2, which has started its task at one agent. The client is lost at time 0 and repeats its job 1.3 s later, when all runs of
 * the first attempt must have ended.
 */
import type {Milliseconds} from '../../../src/process/clock.js';
import type {CallKind, FakeExecutor} from '../../process/fake-executor.js';
import {findLeasedViolations, overlapRule} from './checker.js';
import {createClients, type Clients} from './clients.js';
import {
	agentNames, createLeasedCluster, type InjectedDefects, type LeasedCluster,
} from './cluster.js';

/** A cluster whose entry e2 serves a job that e1 has forwarded, and the agent that runs its task. */
type Chain = {
	readonly cluster: LeasedCluster;
	readonly clients: Clients;
	readonly agent: string;
};

/** How the client is lost. */
export type ClientLoss = keyof typeof clientLosses;
/** A fault of the alphabet. */
export type FaultName = keyof typeof alphabet;
/** A fault and its time after the loss of the client, negative if it comes first. */
export type TimedFault = {readonly name: FaultName; readonly at: Milliseconds};
/** Entry to which the client repeats its job. */
export type RepeatEntry = 'e1' | 'e3';

/** One combination of faults. */
export type Combination = {
	readonly clientLoss: ClientLoss;
	readonly repeatEntry: RepeatEntry;
	/** Time between the start of the job and the loss of its client, beside a constant, as heartbeats are sent at intervals. */
	readonly phase: Milliseconds;
	/** In the order in which they are injected. */
	readonly faults: readonly TimedFault[];
};

/** What one combination of faults has led to. */
export type CombinationResult = {
	/** Violations of the rule on runs at the same time. */
	readonly overlaps: readonly string[];
	/** Longest time for which two runs of the task went on at the same time. */
	readonly overlapMs: Milliseconds;
	/** Time from the repetition of the job to the end of the last run of the first attempt; negative if it ended before. */
	readonly excessMs: Milliseconds;
};

const unnoticedMs: Milliseconds = 60_000;
const longRunMs: Milliseconds = 4000;
/** Time after which the client repeats its job. */
const repeatMs: Milliseconds = 1300;
/** Time from the loss of the client until the repeated job certainly runs. */
const observedMs: Milliseconds = 2600;
/** Time in which the entries learn the load of each other, and then that from the start of the job to the first possible fault. */
const loadReportMs: Milliseconds = 1500;
const startedMs: Milliseconds = 400;
/** Time before the loss of the client from which faults may begin. */
const earliestFaultMs: Milliseconds = 450;
/** Processor time of each message and timer, without which an event loop cannot be late. */
const messageCostMs: Milliseconds = 0.02;
const shortStallMs: Milliseconds = 200;
/** Just below the pause that counts as harmless, with the cost of what has waited. */
const longStallMs: Milliseconds = 450;
const shortRestartMs: Milliseconds = 100;
const longRestartMs: Milliseconds = 700;
const clockStepMs: Milliseconds = 1000;
/** Delay of all batches on a slow network, and how long they are delayed. */
const slowRangeMs = [400, 400] as const;
const slowMs: Milliseconds = 1000;
/** Delay with which calls that get no response are carried out. */
const lateCallMs: Milliseconds = 400;
const promptCallMs: Milliseconds = 1;

/** The losses of the client, and of e1 or its stream to e2 at the same time. */
const clientLosses = {
	'kill-e1'({cluster}: Chain) {
		cluster.kill('e1', unnoticedMs, unnoticedMs);
	},
	'reset'({cluster, clients}: Chain) {
		clients.resetConnections(cluster.getEntry('e1'));
	},
	'silence+reset'({cluster, clients}: Chain) {
		cluster.network.silence('e1', 'e2', 'server');
		clients.resetConnections(cluster.getEntry('e1'));
	},
	'cut+reset'({cluster, clients}: Chain) {
		cluster.network.cut('e1', 'e2', [0, unnoticedMs], unnoticedMs);
		clients.resetConnections(cluster.getEntry('e1'));
	},
} as const;

/** The other faults. A name says what is lost between whom and, after a colon, who notices it. */
const alphabet = {
	'kill-e1'({cluster}: Chain) {
		cluster.kill('e1', unnoticedMs, unnoticedMs);
	},
	'kill-e2'({cluster}: Chain) {
		cluster.kill('e2', unnoticedMs, unnoticedMs);
	},
	'silence-e1-e2'({cluster}: Chain) {
		cluster.network.silence('e1', 'e2', 'server');
	},
	'silence-e2-e1'({cluster}: Chain) {
		cluster.network.silence('e1', 'e2', 'client');
	},
	'cut-e1-e2:none'({cluster}: Chain) {
		cluster.network.cut('e1', 'e2', [unnoticedMs, unnoticedMs], unnoticedMs);
	},
	'cut-e1-e2:e2'({cluster}: Chain) {
		cluster.network.cut('e1', 'e2', [unnoticedMs, 0], unnoticedMs);
	},
	'silence-e2-agent'({cluster, agent}: Chain) {
		cluster.network.silence(agent, 'e2', 'client');
	},
	'silence-agent-e2'({cluster, agent}: Chain) {
		cluster.network.silence(agent, 'e2', 'server');
	},
	'cut-e2-agent:none'({cluster, agent}: Chain) {
		cluster.network.cut(agent, 'e2', [unnoticedMs, unnoticedMs], unnoticedMs);
	},
	'cut-e2-agent:e2'({cluster, agent}: Chain) {
		cluster.network.cut(agent, 'e2', [unnoticedMs, 0], unnoticedMs);
	},
	'cut-e2-agent:agent'({cluster, agent}: Chain) {
		cluster.network.cut(agent, 'e2', [0, unnoticedMs], unnoticedMs);
	},
	'stall-e1-200'({cluster}: Chain) {
		cluster.stall('e1', shortStallMs);
	},
	'stall-e1-450'({cluster}: Chain) {
		cluster.stall('e1', longStallMs);
	},
	'stall-e2-200'({cluster}: Chain) {
		cluster.stall('e2', shortStallMs);
	},
	'stall-e2-450'({cluster}: Chain) {
		cluster.stall('e2', longStallMs);
	},
	'stall-agent-200'({cluster, agent}: Chain) {
		cluster.stall(agent, shortStallMs);
	},
	'stall-agent-450'({cluster, agent}: Chain) {
		cluster.stall(agent, longStallMs);
	},
	'restart-agent-100'({cluster, agent}: Chain) {
		cluster.kill(agent, shortRestartMs, 0);
	},
	'restart-agent-700'({cluster, agent}: Chain) {
		cluster.kill(agent, longRestartMs, unnoticedMs);
	},
	'slow-e1-e2'({cluster}: Chain) {
		cluster.network.slow('e1', 'e2', slowRangeMs, slowMs);
	},
	'slow-e2-agent'({cluster, agent}: Chain) {
		cluster.network.slow('e2', agent, slowRangeMs, slowMs);
	},
	'clock-agent-back'({cluster, agent}: Chain) {
		cluster.stepWallClock(agent, -clockStepMs);
	},
	'clock-agent-forward'({cluster, agent}: Chain) {
		cluster.stepWallClock(agent, clockStepMs);
	},
	'clock-e2-back'({cluster}: Chain) {
		cluster.stepWallClock('e2', -clockStepMs);
	},
	'clock-e2-forward'({cluster}: Chain) {
		cluster.stepWallClock('e2', clockStepMs);
	},
	'lose-stops'({cluster, agent}: Chain) {
		cluster.executors.get(agent)!.isUnanswered = kind => kind === 'stop';
	},
	'lose-calls'({cluster, agent}: Chain) {
		cluster.executors.get(agent)!.isUnreachable = true;
	},
	'lose-answers'({cluster, agent}: Chain) {
		const executor = cluster.executors.get(agent)!;
		executor.unansweredCalls.delay = promptCallMs;
		executor.isUnanswered = () => true;
	},
	'late-calls'({cluster, agent}: Chain) {
		delayCalls(cluster.executors.get(agent)!, ['hold', 'stop'], false);
	},
	'late-grants'({cluster, agent}: Chain) {
		delayCalls(cluster.executors.get(agent)!, ['hold'], true);
	},
	/** Late stops do not fence off late grants. */
	'late-grants+stops'({cluster, agent}: Chain) {
		delayCalls(cluster.executors.get(agent)!, ['hold', 'stop'], true);
	},
} as const;

/** A fault that breaks the rule alone, so that its combinations say nothing more. */
const aloneOnly: FaultName = 'late-grants+stops';
/** Times of faults that end something, around the heartbeats, the silence timeouts and the waits after them. */
const lossTimesMs: readonly Milliseconds[] = [0, 110, 220, 250, 400, 600, 690, 700, 820, 950, 1090];
/** Those of the second of two such faults, if both come after the loss of the client. */
const secondLossTimesMs: readonly Milliseconds[] = [250, 690, 820, 1090];
/** Late event loops and slow networks also matter if they begin before the loss of the client, whose last messages then wait. */
const stallTimesMs: readonly Milliseconds[] = [-400, -200, -100, 0, 400, 690, 950];
/** Faults that last change little if they begin somewhat later. */
const lastingTimesMs: readonly Milliseconds[] = [-250, 690];
const heartbeatMs: Milliseconds = 220;
/** Distributes the phases of successive combinations evenly. */
const phaseStepMs: Milliseconds = 67;

/**
 * Returns all combinations: each loss of the client alone, with each fault at each time, and with each two faults of which the second
 * has a coarser grid. The client comes back to e1 only if that lives on.
 */
export function enumerateCombinations(): readonly Combination[] {
	const losses = keysOf(clientLosses);
	const names = keysOf(alphabet);
	const groups: ReadonlyArray<readonly TimedFault[]> = [
		[],
		...names.flatMap(name => getTimes(name).map(at => [{name, at}])),
		...names.flatMap((first, index) => names.slice(index + 1).flatMap(second => first === aloneOnly || second === aloneOnly ? [] : combineTwo(first, second))),
	];
	return losses.flatMap(clientLoss => groups
		.filter(faults => canCombine(clientLoss, faults))
		.flatMap((faults, index) => getRepeatEntries(clientLoss, faults, index).map((repeatEntry): Combination => ({
			clientLoss, repeatEntry, phase: (index * phaseStepMs) % heartbeatMs, faults,
		}))));
}

function combineTwo(first: FaultName, second: FaultName): ReadonlyArray<readonly TimedFault[]> {
	const secondTimes = isLoss(first) && isLoss(second) ? secondLossTimesMs : getTimes(second);
	return getTimes(first).flatMap(at => secondTimes.map((secondAt): readonly TimedFault[] => [{name: first, at}, {name: second, at: secondAt}].toSorted((a, b) => a.at - b.at)));
}

/** Leaves out faults that change nothing after the loss of the client or after an earlier fault, and two faults of one kind. */
function canCombine(clientLoss: ClientLoss, faults: readonly TimedFault[]): boolean {
	const isSenderLost = clientLoss !== 'reset';
	const killed = new Set(clientLoss === 'kill-e1' ? ['e1'] : []);
	const kinds = new Set<string>();
	for (const {name, at} of faults) {
		const [kind, ...ends] = name.split(/-|:/v);
		const kindAndEnds = `${kind!} ${ends.slice(0, 2).toSorted().join(' ')}`;
		if (ends.some(end => killed.has(end) && at >= 0) || kinds.has(kindAndEnds) || (isSenderLost && at >= 0 && /e1.*e2|e2.*e1/v.test(name))) {
			return false;
		}

		kinds.add(kindAndEnds);
		if (kind === 'kill') {
			killed.add(ends[0]!);
		}
	}

	return true;
}

function getRepeatEntries(clientLoss: ClientLoss, faults: readonly TimedFault[], index: number): readonly RepeatEntry[] {
	const livesOn = clientLoss !== 'kill-e1' && faults.every(({name}) => name !== 'kill-e1');
	return livesOn && index % 2 === 1 ? ['e1'] : ['e3'];
}

function isLoss(name: FaultName): boolean {
	return /^(?:kill|silence|cut|restart)/v.test(name);
}

function getTimes(name: FaultName): readonly Milliseconds[] {
	if (isLoss(name)) {
		return lossTimesMs;
	}

	return /^(?:stall|slow)/v.test(name) ? stallTimesMs : lastingTimesMs;
}

/** What disturbs the end of a run beside losses; the first of these that a combination contains. */
export const disturbances = ['late grants', 'late calls', 'lost calls', 'slow networks', 'late event loops', 'restarted agents', 'clock steps', 'nothing else'] as const;
export type Disturbance = typeof disturbances[number];

/** Returns which disturbance a combination is listed under. */
export function getDisturbance({faults}: Combination): Disturbance {
	return disturbances.find(disturbance => faults.some(({name}) => disturbancePatterns[disturbance].test(name))) ?? 'nothing else';
}

const disturbancePatterns: Readonly<Record<Disturbance, RegExp>> = {
	'late grants': /^late-grants/v,
	'late calls': /^late-calls/v,
	'lost calls': /^lose/v,
	'slow networks': /^slow/v,
	'late event loops': /^stall/v,
	'restarted agents': /^restart/v,
	'clock steps': /^clock/v,
	'nothing else': /^$/v,
};

/** Formats a combination so that `parseCombination` can read it. */
export function formatCombination({
	clientLoss, repeatEntry, phase, faults,
}: Combination): string {
	return [clientLoss, repeatEntry, phase, ...faults.map(({name, at}) => `${name}@${at}`)].join(',');
}

export function parseCombination(text: string): Combination {
	const [clientLoss, repeatEntry, phase, ...faults] = text.split(',');
	return {
		clientLoss: findName(clientLosses, clientLoss),
		repeatEntry: repeatEntry === 'e1' ? 'e1' : 'e3',
		phase: Number(phase),
		faults: faults.map(fault => {
			const [name, at] = fault.split('@');
			return {name: findName(alphabet, name), at: Number(at)};
		}),
	};
}

/** Plays one combination of faults in a cluster of this seed. */
export async function playCombination(seed: number, combination: Combination, defects?: InjectedDefects): Promise<CombinationResult> {
	const {
		clientLoss, repeatEntry, phase, faults,
	} = combination;
	const chain = await forwardJob(seed, repeatEntry, defects);
	const {cluster, clients} = chain;
	const {clock} = cluster.sim;
	const lostAt = clock.now() + phase + earliestFaultMs;
	const schedule = (at: Milliseconds, action: (chain: Chain) => void) => {
		clock.after(lostAt + at - clock.now(), () => {
			action(chain);
		});
	};

	for (const {name, at} of faults.filter(fault => fault.at < 0)) {
		schedule(at, alphabet[name]);
	}

	schedule(0, clientLosses[clientLoss]);
	for (const {name, at} of faults.filter(fault => fault.at >= 0)) {
		schedule(at, alphabet[name]);
	}

	await cluster.advance(lostAt + observedMs - clock.now());
	if (clients.jobs[0]!.replies.length === 0) {
		throw new Error(`the client has not repeated its job: ${formatCombination(combination)}`);
	}

	const now = clock.now();
	const firstRuns = [...cluster.executors.values()].flatMap(({runs}) => runs.filter(({startedAt}) => startedAt < lostAt + repeatMs));
	return {
		overlaps: findLeasedViolations(cluster, clients.jobs, [], false).filter(({rule}) => rule === overlapRule).map(({subject, detail}) => `${subject}: ${detail}`),
		overlapMs: Math.max(0, ...cluster.overlaps.map(({at, otherRun}) => (otherRun.endedAt ?? now) - at)),
		excessMs: Math.max(...firstRuns.map(({endedAt}) => (endedAt ?? now) - lostAt - repeatMs)),
	};
}

/** Lets calls at an executor take effect late and without a response; leases in them count from then if `areLeasesExtended`. */
function delayCalls(executor: FakeExecutor, calls: readonly CallKind[], areLeasesExtended: boolean): void {
	executor.areLateLeasesExtended = areLeasesExtended;
	executor.unansweredCalls.delay = lateCallMs;
	executor.isUnanswered = kind => calls.includes(kind);
}

/** Starts a cluster in which e2 serves a job that e1 has forwarded. */
async function forwardJob(seed: number, repeatEntry: RepeatEntry, defects?: InjectedDefects): Promise<Chain> {
	const utilization: Record<string, number> = {e1: 1, e2: 0, e3: 1};
	const clients: Clients = createClients(() => cluster);
	const cluster = await createLeasedCluster(seed, clients.breakConnections, {
		defects,
		loadSharing: {coordinationCostMs: 0, getLoad: (_random, entry) => ({utilization: utilization[entry]!, delay: 0})},
		entryActionCostMs: messageCostMs,
		agentActionCostMs: messageCostMs,
	});
	for (const executor of cluster.executors.values()) {
		executor.sampleRun = () => ({length: longRunMs, fails: false});
	}

	await cluster.advance(loadReportMs);
	clients.submit(1, {entry: 'e1', repeatEntry, expectedRun: longRunMs});
	await cluster.advance(startedMs);
	const agent = agentNames.find(name => cluster.executors.get(name)!.getRunning().length > 0);
	if (cluster.getEntry('e2').coordinator.getOpenJobs() !== 1 || agent === undefined) {
		throw new Error('e1 has not forwarded the job to e2');
	}

	utilization[repeatEntry] = 0.1;
	return {cluster, clients, agent};
}

function keysOf<T extends Readonly<Record<string, unknown>>>(record: T): ReadonlyArray<keyof T & string> {
	return Object.keys(record);
}

function findName<T extends Readonly<Record<string, unknown>>>(record: T, text: string | undefined): keyof T & string {
	const name = keysOf(record).find(key => key === text);
	if (name === undefined) {
		throw new Error(`unknown fault: ${text}`);
	}

	return name;
}
