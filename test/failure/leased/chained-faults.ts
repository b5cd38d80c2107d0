/**
 * Faults in groups that hit one chain of a job: its client's connection, the entry that accepted the job, the one that serves it,
 * the links to an agent, and the stop calls at the executors. Each fault of a group begins while the system still reacts to the one
 * before.
 */
import type {Clock, Milliseconds} from '../../../src/process/clock.js';
import type {CallKind, FakeExecutor} from '../../process/fake-executor.js';
import type {DelayRange} from '../network.js';
import type {RandomSource} from '../simulation.js';
import type {StreamEnd} from '../stream.js';
import type {Clients} from './clients.js';
import {agentNames, entryNames, type LeasedCluster} from './cluster.js';

/** Kinds of groups that `all` names. Seeds of runs that failed keep their meaning only if these remain the same. */
export const chainKinds = ['stops', 'sender', 'reset', 'stall'] as const;
/** Kinds of groups that were added later. */
export const furtherChainKinds = ['slow-network', 'agent-restart', 'clock-step', 'two-chains', 'one-way', 'late-grants'] as const;

/**
 * `stops`: an entry is lost while stop calls are not answered. `sender`: an entry is lost, then the links of one that serves its
 * jobs. `reset`: an entry loses its clients' connections and links of its own. `stall`: an entry is lost while event loops are late.
 *
 * `slow-network`: an entry and then the links of one that serves its jobs are lost while batches are late. `agent-restart`: between
 * these two, an agent is killed and restarted. `clock-step`: the time of day of a process is stepped between them. `two-chains`: two
 * entries that use the same agent are lost one after the other, while stop calls are not answered. `one-way`: an entry is lost while
 * the calls at an executor are carried out, but not answered, or the other way round. `late-grants`: an entry is lost while calls at
 * an executor are carried out late, with leases that count from then.
 */
export type ChainKind = typeof chainKinds[number] | typeof furtherChainKinds[number];

type Fault =
	| {readonly kind: 'kill'; readonly name: string; readonly noticeMs: Milliseconds; readonly backAfter: Milliseconds}
	/** All client connections of an entry break; it sees that the clients hang up. */
	| {readonly kind: 'reset'; readonly entry: string}
	/** Stop calls at all executors get no response with this probability, and have no effect. */
	| {readonly kind: 'unanswered-stops'; readonly probability: number; readonly duration: Milliseconds}
	/** The streams that `client` has opened to `server` are cut, or stop delivering to some ends without an error. */
	| {readonly kind: 'cut'; readonly client: string; readonly server: string; readonly notices: readonly [Milliseconds, Milliseconds]; readonly duration: Milliseconds}
	| {readonly kind: 'silence'; readonly client: string; readonly server: string; readonly ends: readonly StreamEnd[]}
	/** The event loop of a process is busy. */
	| {readonly kind: 'stall'; readonly name: string; readonly duration: Milliseconds}
	/** What `from` sends to `to` arrives late. */
	| {readonly kind: 'slow'; readonly from: string; readonly to: string; readonly range: DelayRange; readonly duration: Milliseconds}
	/** The time of day of a process is stepped. */
	| {readonly kind: 'step'; readonly name: string; readonly by: Milliseconds}
	/**
	 * Calls of these kinds at one executor get no response. They take effect after `delay`, with leases that count from their
	 * arrival, or never if it is undefined.
	 */
	| {readonly kind: 'unanswered-calls'; readonly agent: string; readonly calls: readonly CallKind[]; readonly delay: Milliseconds | undefined; readonly duration: Milliseconds};

/** A fault and its time after the begin of its group. */
type ChainedFault = {readonly after: Milliseconds; readonly fault: Fault};

/** Where faults of a group are injected. */
export type ChainedFaultTarget = {
	readonly cluster: LeasedCluster;
	readonly clients: Pick<Clients, 'resetConnections'>;
	readonly randomSource: RandomSource;
	/** Receives a description of each fault. */
	readonly faults: string[];
};

const groupCount = 5;
/** Longest time between two losses of a group; a client repeats its job 1.3 s after the first. */
const maxGapMs: Milliseconds = 900;
/** Half of the gaps end shortly before the entry that serves the job notices that its sender is silent. */
const minLateGapMs: Milliseconds = 450;
const maxLateGapMs: Milliseconds = 700;
/** Delay after which an end notices a cut only by its own timeouts. */
const unnoticedMs: Milliseconds = 60_000;
const maxFaultMs: Milliseconds = 4000;
/** Longest time for which an event loop is busy without that counting as a pause in which entries may give up runs. */
const maxStallMs: Milliseconds = 480;
/** Longest delay of a batch on a slow network; longer ones are silences. */
const maxSlowMs: Milliseconds = 600;
const maxStepMs: Milliseconds = 5000;
/** Time after which an agent that was killed is back while the rest of its chain is lost. */
const minRestartMs: Milliseconds = 20;
const maxRestartMs: Milliseconds = 1000;
/** Longest delay of calls that are carried out late. */
const maxLateCallMs: Milliseconds = 3000;
const minLongRunMs: Milliseconds = 1000;
const maxLongRunMs: Milliseconds = 4000;
const longRunChance = 0.5;

/** Schedules the groups within a time. */
export function scheduleChainedFaults(target: ChainedFaultTarget, kinds: readonly ChainKind[], within: Milliseconds): void {
	const {cluster: {sim: {clock}}, randomSource, faults} = target;
	for (let i = 0; i < groupCount; i++) {
		const begin = randomSource.integer(0, within);
		const kind = randomSource.pick(kinds);
		for (const {after, fault} of sampleGroup(kind, randomSource)) {
			clock.after(begin + after, () => {
				faults.push(`${Math.round(clock.now())} ${kind} ${JSON.stringify(fault)}`);
				applyFault(target, fault);
			});
		}
	}
}

/** Makes many runs so long that they still go on when a client repeats its job. */
export function lengthenRuns({executors, sim: {random}}: LeasedCluster): void {
	for (const executor of executors.values()) {
		const {sampleRun} = executor;
		executor.sampleRun = task => {
			const sample = sampleRun!(task);
			const isLong = !sample.crashes && random.chance(longRunChance);
			return isLong ? {...sample, length: random.integer(minLongRunMs, maxLongRunMs)} : sample;
		};
	}
}

function sampleGroup(kind: ChainKind, randomSource: RandomSource): readonly ChainedFault[] {
	// Most groups hit the entry that forwards jobs if only one does.
	const entry = randomSource.pick([...entryNames, 'e1', 'e1', 'e1']);
	const server = randomSource.pick(entryNames.filter(name => name !== entry));
	const agent = randomSource.pick(agentNames);
	const gap = randomSource.pick([randomSource.integer(0, maxGapMs), randomSource.integer(minLateGapMs, maxLateGapMs)]);
	switch (kind) {
		case 'stops': {
			return [
				{after: 0, fault: {kind: 'unanswered-stops', probability: randomSource.pick([0.5, 0.8, 1]), duration: randomSource.integer(1000, maxFaultMs)}},
				{after: randomSource.integer(0, 500), fault: sampleEntryLoss(entry, randomSource)},
			];
		}

		case 'sender': {
			return [
				...sampleSenderLoss(entry, server, randomSource),
				{after: gap, fault: sampleServerLoss(server, agent, randomSource)},
			];
		}

		case 'reset': {
			return [
				{after: 200, fault: {kind: 'reset', entry}},
				{after: randomSource.integer(0, 200 + maxGapMs), fault: sampleLinkLoss(entry, agent, randomSource)},
				{after: randomSource.integer(0, 200 + maxGapMs), fault: sampleLinkLoss(server, randomSource.pick(agentNames), randomSource)},
			];
		}

		case 'stall': {
			return [
				{after: randomSource.integer(0, 300), fault: {kind: 'stall', name: entry, duration: randomSource.integer(100, maxStallMs)}},
				{after: 200, fault: sampleEntryLoss(entry, randomSource)},
				{after: 200 + gap, fault: {kind: 'stall', name: server, duration: randomSource.integer(100, maxStallMs)}},
				{after: 200 + gap, fault: {kind: 'stall', name: agent, duration: randomSource.integer(100, maxStallMs)}},
			];
		}

		case 'slow-network': {
			const slowness = sampleSlowness(server, agent, randomSource);
			const slowFrom = randomSource.integer(-maxSlowMs, gap);
			// The stops of the server are on their way when it is lost.
			const serverLostAfter = randomSource.integer(minLateGapMs, maxLateGapMs + maxSlowMs);
			return delayGroup(maxSlowMs, [
				...sampleSenderLoss(entry, server, randomSource),
				{after: randomSource.integer(-maxSlowMs, 0), fault: sampleSlowness(entry, server, randomSource)},
				...agentNames.map((to): ChainedFault => ({after: slowFrom, fault: {...slowness, to}})),
				{after: serverLostAfter, fault: sampleServerLoss(server, agent, randomSource)},
			]);
		}

		case 'agent-restart': {
			const restart: Fault = {
				kind: 'kill', name: agent, noticeMs: randomSource.pick([0, 3, unnoticedMs]), backAfter: randomSource.integer(minRestartMs, maxRestartMs),
			};
			return [
				...sampleSenderLoss(entry, server, randomSource),
				{after: randomSource.integer(0, maxGapMs), fault: restart},
				...randomSource.chance(0.5) ? [{after: gap, fault: sampleServerLoss(server, agent, randomSource)}] : [],
			];
		}

		case 'clock-step': {
			const steps = Array.from({length: 2}, (): ChainedFault => ({
				after: randomSource.integer(0, 2 * maxGapMs),
				fault: {kind: 'step', name: randomSource.pick([agent, agent, server, entry]), by: randomSource.integer(-maxStepMs, maxStepMs)},
			}));
			return [
				...steps,
				...delayGroup(maxStallMs, sampleSenderLoss(entry, server, randomSource)),
				{after: randomSource.integer(0, maxGapMs), fault: {kind: 'stall', name: randomSource.pick([agent, server]), duration: randomSource.integer(100, maxStallMs)}},
				{after: maxStallMs + gap, fault: sampleServerLoss(server, agent, randomSource)},
			];
		}

		case 'two-chains': {
			return [
				{after: 0, fault: {kind: 'unanswered-stops', probability: randomSource.pick([0.5, 0.8, 1]), duration: randomSource.integer(1000, maxFaultMs)}},
				...sampleEndedChain(entry, agent, randomSource),
				...delayGroup(gap, sampleEndedChain(server, agent, randomSource)),
			];
		}

		case 'one-way': {
			const calls = randomSource.pick<readonly CallKind[]>([['hold'], ['stop', 'hold'], ['start', 'stop', 'hold']]);
			return [
				{after: randomSource.integer(0, maxGapMs), fault: sampleUnansweredCalls(agent, calls, randomSource.pick([undefined, 1]), randomSource)},
				...delayGroup(randomSource.integer(0, 500), [
					...sampleSenderLoss(entry, server, randomSource),
					...randomSource.chance(0.5) ? [{after: gap, fault: sampleServerLoss(server, agent, randomSource)}] : [],
				]),
			];
		}

		case 'late-grants': {
			// Nobody can prevent that a start begins a run late if its lease, too, counts from its arrival.
			const calls = randomSource.pick<readonly CallKind[]>([['hold'], ['hold'], ['stop', 'hold']]);
			return [
				{after: randomSource.integer(0, maxGapMs), fault: sampleUnansweredCalls(agent, calls, randomSource.integer(100, maxLateCallMs), randomSource)},
				...delayGroup(randomSource.integer(0, 500), [
					...sampleSenderLoss(entry, server, randomSource),
					...randomSource.chance(0.5) ? [{after: gap, fault: sampleServerLoss(server, agent, randomSource)}] : [],
				]),
			];
		}
	}
}

/** Samples a loss of what a server hears from the entry that forwards jobs to it, with the connections of that entry's clients. */
function sampleSenderLoss(entry: string, server: string, randomSource: RandomSource): readonly ChainedFault[] {
	const senderLoss: Fault = randomSource.pick<Fault>([
		{
			kind: 'kill', name: entry, noticeMs: unnoticedMs, backAfter: sampleDuration(randomSource),
		},
		{
			kind: 'cut', client: entry, server, notices: [0, unnoticedMs], duration: sampleDuration(randomSource),
		},
		{
			kind: 'cut', client: entry, server, notices: [unnoticedMs, unnoticedMs], duration: sampleDuration(randomSource),
		},
		{
			kind: 'silence', client: entry, server, ends: ['server'],
		},
	]);
	return [
		{after: 0, fault: senderLoss},
		...senderLoss.kind === 'kill' ? [] : [{after: randomSource.integer(0, 20), fault: {kind: 'reset', entry} as const}],
	];
}

function sampleServerLoss(server: string, agent: string, randomSource: RandomSource): Fault {
	return randomSource.pick<Fault>([sampleLinkLoss(server, agent, randomSource), createKill(server, unnoticedMs, randomSource)]);
}

/** Samples the loss of an agent's link to an entry whose clients are lost at about the same time. */
function sampleEndedChain(entry: string, agent: string, randomSource: RandomSource): readonly ChainedFault[] {
	return [
		{after: randomSource.integer(0, 500), fault: {kind: 'reset', entry}},
		{after: randomSource.integer(0, 500), fault: sampleLinkLoss(entry, agent, randomSource)},
	];
}

function sampleSlowness(from: string, to: string, randomSource: RandomSource): Extract<Fault, {readonly kind: 'slow'}> {
	const longest = randomSource.integer(100, maxSlowMs);
	return {
		kind: 'slow', from, to, range: [randomSource.pick([0, longest]), longest], duration: sampleDuration(randomSource),
	};
}

function sampleUnansweredCalls(agent: string, calls: readonly CallKind[], delay: Milliseconds | undefined, randomSource: RandomSource): Fault {
	return {
		kind: 'unanswered-calls', agent, calls, delay, duration: sampleDuration(randomSource),
	};
}

function delayGroup(by: Milliseconds, group: readonly ChainedFault[]): readonly ChainedFault[] {
	return group.map(({after, fault}) => ({after: after + by, fault}));
}

function sampleEntryLoss(entry: string, randomSource: RandomSource): Fault {
	return randomSource.pick<Fault>([
		createKill(entry, randomSource.pick([0, 3, unnoticedMs]), randomSource),
		{kind: 'reset', entry},
	]);
}

/** Samples a loss of what an agent hears from an entry. */
function sampleLinkLoss(entry: string, agent: string, randomSource: RandomSource): Fault {
	return randomSource.pick<Fault>([
		{
			kind: 'cut', client: agent, server: entry, notices: [unnoticedMs, randomSource.pick([0, unnoticedMs])], duration: sampleDuration(randomSource),
		},
		{
			kind: 'silence', client: agent, server: entry, ends: randomSource.pick<readonly StreamEnd[]>([['client'], ['client', 'server']]),
		},
		createKill(entry, unnoticedMs, randomSource),
	]);
}

function createKill(name: string, noticeMs: Milliseconds, randomSource: RandomSource): Fault {
	return {
		kind: 'kill', name, noticeMs, backAfter: sampleDuration(randomSource),
	};
}

function sampleDuration(randomSource: RandomSource): Milliseconds {
	return randomSource.integer(300, maxFaultMs);
}

function applyFault({
	cluster, clients, randomSource,
}: ChainedFaultTarget, fault: Fault): void {
	const {sim: {clock}, network, executors} = cluster;
	switch (fault.kind) {
		case 'kill': {
			cluster.kill(fault.name, fault.backAfter, fault.noticeMs);
			break;
		}

		case 'reset': {
			clients.resetConnections(cluster.getEntry(fault.entry));
			break;
		}

		case 'unanswered-stops': {
			for (const executor of executors.values()) {
				const isUnanswered = (kind: string) => kind === 'stop' && randomSource.chance(fault.probability);
				executor.isUnanswered = isUnanswered;
				executor.unansweredCalls.delay = undefined;
				clock.after(fault.duration, () => {
					if (executor.isUnanswered === isUnanswered) {
						executor.isUnanswered = undefined;
					}
				});
			}

			break;
		}

		case 'cut': {
			network.cut(fault.client, fault.server, fault.notices, fault.duration);
			break;
		}

		case 'silence': {
			for (const end of fault.ends) {
				network.silence(fault.client, fault.server, end);
			}

			break;
		}

		case 'stall': {
			cluster.stall(fault.name, fault.duration);
			break;
		}

		case 'slow': {
			network.slow(fault.from, fault.to, fault.range, fault.duration);
			break;
		}

		case 'step': {
			cluster.stepWallClock(fault.name, fault.by);
			break;
		}

		case 'unanswered-calls': {
			loseAnswers(executors.get(fault.agent)!, fault, clock);
			break;
		}
	}
}

function loseAnswers(executor: FakeExecutor, {calls, delay, duration}: Extract<Fault, {readonly kind: 'unanswered-calls'}>, clock: Clock): void {
	const isUnanswered = (kind: CallKind) => calls.includes(kind);
	executor.isUnanswered = isUnanswered;
	executor.unansweredCalls.delay = delay;
	executor.areLateLeasesExtended = delay !== undefined;
	clock.after(duration, () => {
		if (executor.isUnanswered === isUnanswered) {
			executor.isUnanswered = undefined;
		}
	});
}
