/**
 * Faults in groups that hit one chain of a job: its client's connection, the entry that accepted the job, the one that serves it,
 * the links to an agent, and the stop calls at the executors. Each fault of a group begins while the system still reacts to the one
 * before.
 */
import type {Milliseconds} from '../../../src/process/clock.js';
import type {RandomSource} from '../simulation.js';
import type {StreamEnd} from '../stream.js';
import type {Clients} from './clients.js';
import {agentNames, entryNames, type LeasedCluster} from './cluster.js';

/** Kinds of groups. */
export const chainKinds = ['stops', 'sender', 'reset', 'stall'] as const;

/**
 * `stops`: an entry is lost while stop calls are not answered. `sender`: an entry is lost, then the links of one that serves its
 * jobs. `reset`: an entry loses its clients' connections and links of its own. `stall`: an entry is lost while event loops are late.
 */
export type ChainKind = typeof chainKinds[number];

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
	| {readonly kind: 'stall'; readonly name: string; readonly duration: Milliseconds};

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
				{after: gap, fault: randomSource.pick<Fault>([sampleLinkLoss(server, agent, randomSource), createKill(server, unnoticedMs, randomSource)])},
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
	}
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
	}
}
