/**
 * One random failure run with leased executors, as on the users' platform: load with injected faults, a recovery time, and
 * the checks at the end.
 */
import type {Milliseconds} from '../../../src/process/clock.js';
import type {Violation} from '../checker.js';
import {createRandomSource, type RandomSource} from '../simulation.js';
import type {StreamEnd} from '../stream.js';
import {lengthenRuns, scheduleChainedFaults, type ChainKind} from './chained-faults.js';
import {findLeasedViolations} from './checker.js';
import {createClients, type Clients} from './clients.js';
import {
	agentNames, createLeasedCluster, entryNames, executorCpu, heartbeatIntervalMs, taskCpu, type ForeignName, type LeasedCluster, type InjectedDefects,
} from './cluster.js';
import type {LoadSharingOptions} from './entry.js';
import {scheduleHeldHellos} from './held-hellos.js';

/** Result of a run. */
export type LeasedReport = {
	readonly violations: readonly Violation[];
	readonly jobs: number;
	readonly completed: number;
	/** Faults and their times, for the report of a failed seed. */
	readonly faults: readonly string[];
};

const faultWindowMs: Milliseconds = 10_000;
const maxFaultMs: Milliseconds = 4000;
const faultCount = 8;
const executorFaultCount = 8;
const announcementFaultCount = 8;
const identityFaultCount = 4;
const restartCount = 30;
/** Longest time for which an executor that restarts unnoticed is down. */
const maxUnnoticedMs: Milliseconds = 120;
/** Longest time after the first run of a restarted executor until something happens to its agent. */
const maxFollowingMs: Milliseconds = 80;
/** Announcements of another writer while an executor leaves. */
const foreignAnnouncements = 2;
/** Time for which an executor goes on after a deregistration that was not acknowledged. */
const maxUnansweredMs: Milliseconds = 4000;
const peerFaultCount = 8;
const evacuationCount = 3;
/** Longer than the time after which nothing may be started in an evacuated data centre. */
const minEvacuationMs: Milliseconds = 6000;
const maxEvacuationMs: Milliseconds = 14_000;
/** Shorter than that time: an entry that is cut off from the store for longer need not know of an evacuation unless others tell it. */
const maxStoreCutMs: Milliseconds = 3000;
/** Time that clients of crashing jobs allow: enough for an executor to crash, return and crash again. */
const crashingTimeLimitMs: Milliseconds = 12_000;
/** Delay of slow start calls to an executor, whose timeout is 150 ms. */
const slowCallMs: Milliseconds = 100;
/** Longest time in which the store answers; an agent of that age may have been followed by another one. */
const maxDirectoryReadMs: Milliseconds = 800;
/** Processor time of each message and timer in runs with chained faults, without which an event loop cannot be late. */
const messageCostMs: Milliseconds = 0.02;
const usualLoad: Load = {arrivalMs: 100, taskCounts: [1, 1, 2, 4, 8], expectedRun: undefined};
/** So light that a repeated job finds a free executor at once. */
const longRunLoad: Load = {arrivalMs: 250, taskCounts: [1, 1, 2], expectedRun: 2500};
const probeTimeMs: Milliseconds = 8000;
/** Long enough for the time limit of the last job and for the longest delay of a late command, with a margin. */
const recoverMs: Milliseconds = 14_000;

/** Mean time between jobs, their numbers of tasks and their declared run time. */
type Load = {readonly arrivalMs: Milliseconds; readonly taskCounts: readonly number[]; readonly expectedRun: Milliseconds | undefined};

/** Which faults a run injects. */
export type FailureOptions = {
	/** Whether no faults are injected. */
	readonly isCalm?: boolean;
	readonly defects?: InjectedDefects;
	/** Whether executors also crash, by themselves and under tasks, and change their processors. */
	readonly hasExecutorFaults?: boolean;
	/** Whether executors restart so soon that nobody notices at first, while something else happens to their agents. */
	readonly hasRestarts?: boolean;
	/** Whether agents receive heartbeats of other writers, and deregistrations: not acknowledged, acknowledged, or of another writer. */
	readonly hasAnnouncementFaults?: boolean;
	/** Whether executors leave while another writer announces something else under their identity. */
	readonly hasIdentityFaults?: boolean;
	/** Whether hellos of agents arrive late and out of order, while their executors or processes restart. */
	readonly hasHeldHellos?: boolean;
	/** Whether data centres are evacuated and taken back, while entries are cut off from the store in turn. */
	readonly hasEvacuations?: boolean;
	/** How entries share their load; if undefined, each serves its own clients. Streams between entries then fail, too. */
	readonly loadSharing?: LoadSharingOptions;
	/**
	 * Kinds of faults in groups that hit one chain of a job, beside long runs and costs of all messages. They replace the independent
	 * faults of entries and agents, so that each violation has its cause in a group. No groups if undefined.
	 */
	readonly chains?: readonly ChainKind[];
};

/** Runs the load and injects the faults of a seed. */
export async function runLeasedFailures(seed: number, {
	isCalm = false, defects = {}, hasExecutorFaults = false, hasAnnouncementFaults = false, hasIdentityFaults = false, hasRestarts = false, hasHeldHellos = false, hasEvacuations = false, loadSharing, chains,
}: FailureOptions = {}): Promise<LeasedReport> {
	const clients: Clients = createClients(() => cluster);
	const cluster = await createLeasedCluster(seed, clients.breakConnections, {
		defects, loadSharing, ...hasHeldHellos && {maxDirectoryReadMs}, ...chains && {entryActionCostMs: messageCostMs, agentActionCostMs: messageCostMs},
	});
	const randomSource = createRandomSource(seed);
	const {clock} = cluster.sim;
	const faults: string[] = [];
	submitJobs(cluster, clients, randomSource, chains === undefined ? usualLoad : longRunLoad);
	if (!isCalm && chains === undefined) {
		scheduleFaults(cluster, randomSource, faults);
	}

	scheduleExecutorEvents(cluster, clients, {seed, hasExecutorFaults, hasAnnouncementFaults}, faults);
	scheduleAnnouncedFaults(cluster, {
		seed, hasIdentityFaults, hasRestarts, hasEvacuations,
	}, faults);

	if (hasHeldHellos) {
		scheduleHeldHellos(cluster, createRandomSource(seed), faultWindowMs, faults);
	}

	if (chains !== undefined) {
		lengthenRuns(cluster);
		scheduleChainedFaults({
			cluster, clients, randomSource: createRandomSource(seed), faults,
		}, chains, faultWindowMs);
	}

	if (loadSharing !== undefined) {
		schedulePeerFaults(cluster, createRandomSource(seed), faults);
	}

	await cluster.advance(faultWindowMs + recoverMs);
	for (const executor of cluster.executors.values()) {
		executor.sampleRun = () => ({length: 100, fails: false});
	}

	for (const name of agentNames) {
		if (cluster.rooms.get(name)!.length > 1) {
			cluster.setRoom(name, executorCpu);
		}
	}

	const probes = Array.from({length: 3}, () => clients.submit(agentNames.length));
	await cluster.advance(probeTimeMs);
	const violations = [...findLeasedViolations(cluster, clients.jobs, cluster.leavingPeriods, isCalm), ...checkLeftovers(cluster)];
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

/** Faults that concern what agents and entries are told of executors and data centres. Each kind has draws of its own. */
function scheduleAnnouncedFaults(
	cluster: LeasedCluster,
	{seed, hasIdentityFaults, hasRestarts, hasEvacuations}: {readonly seed: number; readonly hasIdentityFaults: boolean; readonly hasRestarts: boolean; readonly hasEvacuations: boolean},
	faults: string[],
): void {
	if (hasIdentityFaults) {
		scheduleIdentityFaults(cluster, createRandomSource(seed), faults);
	}

	if (hasRestarts) {
		scheduleRestarts(cluster, createRandomSource(seed), faults);
	}

	if (hasEvacuations) {
		scheduleEvacuations(cluster, createRandomSource(seed), faults);
	}
}

/** What executors do by themselves, and what is said of them. Each kind has draws of its own. */
function scheduleExecutorEvents(
	cluster: LeasedCluster,
	clients: Clients,
	{seed, hasExecutorFaults, hasAnnouncementFaults}: {readonly seed: number; readonly hasExecutorFaults: boolean; readonly hasAnnouncementFaults: boolean},
	faults: string[],
): void {
	if (hasExecutorFaults) {
		scheduleExecutorFaults(cluster, clients, createRandomSource(seed), faults);
	}

	if (hasAnnouncementFaults) {
		scheduleAnnouncementFaults(cluster, createRandomSource(seed), faults);
	}
}

/** Executors that leave and are ready again, while another writer announces something else under their identity. */
function scheduleIdentityFaults(cluster: LeasedCluster, randomSource: RandomSource, faults: string[]): void {
	const {clock} = cluster.sim;
	for (let i = 0; i < identityFaultCount; i++) {
		const fault: Fault = {kind: 'leaving', agent: randomSource.pick(agentNames), duration: randomSource.integer(heartbeatIntervalMs, maxFaultMs)};
		const at = randomSource.integer(0, faultWindowMs);
		const foreignAt = Array.from({length: foreignAnnouncements}, () => randomSource.integer(0, fault.duration));
		const isForeignLeaving = randomSource.chance(0.2);
		clock.after(at, () => {
			faults.push(`${Math.round(clock.now())} under another writer's announcements ${JSON.stringify({...fault, isForeignLeaving, foreignAt})}`);
			cluster.announceUnderIdentity(fault.agent, isForeignLeaving);
			applyFault(cluster, fault);
		});
		for (const delay of foreignAt) {
			clock.after(at + delay, () => {
				cluster.announceUnderIdentity(fault.agent, isForeignLeaving);
			});
		}
	}
}

/**
 * Executors that are back under their identifier before anybody has noticed that they were down, and that announce themselves late. When one
 * of them has begun its first run, something happens to its agent, its calls or an entry.
 */
function scheduleRestarts(cluster: LeasedCluster, randomSource: RandomSource, faults: string[]): void {
	const {clock} = cluster.sim;
	/** What follows the first run of the next incarnation of each executor. */
	const following = new Map<string, {readonly startedAt: number; apply(): void}>();
	for (const agent of agentNames) {
		const executor = cluster.executors.get(agent)!;
		const {onRunStarted} = executor;
		executor.onRunStarted = run => {
			onRunStarted?.(run);
			const next = following.get(agent);
			if (next !== undefined && next.startedAt !== executor.startedAt) {
				following.delete(agent);
				next.apply();
			}
		};
	}

	clock.after(faultWindowMs, () => {
		following.clear();
	});
	for (let i = 0; i < restartCount; i++) {
		const agent = randomSource.pick(agentNames);
		const downTime = randomSource.integer(1, maxUnnoticedMs);
		const announcementDelay = randomSource.integer(1, heartbeatIntervalMs);
		const fault = randomSource.chance(0.5) ? sampleRestartFollower(agent, randomSource) : undefined;
		const followsAfter = randomSource.integer(0, maxFollowingMs);
		clock.after(randomSource.integer(0, faultWindowMs), () => {
			faults.push(`${Math.round(clock.now())} restart ${JSON.stringify({agent, downTime, announcementDelay})}`);
			if (fault !== undefined) {
				following.set(agent, {
					startedAt: cluster.executors.get(agent)!.startedAt,
					apply() {
						clock.after(followsAfter, () => {
							faults.push(`${Math.round(clock.now())} after its first run ${JSON.stringify(fault)}`);
							applyFault(cluster, fault);
						});
					},
				});
			}

			cluster.restartExecutor(agent, downTime, announcementDelay);
		});
	}
}

function sampleRestartFollower(agent: string, randomSource: RandomSource): Fault {
	const entry = randomSource.pick(entryNames);
	const duration = randomSource.pick([randomSource.integer(50, 500), randomSource.integer(500, maxFaultMs)]);
	const orders = randomSource.pick(['start', 'stop', 'hold'] as const);
	return randomSource.pick<Fault>([
		{kind: 'kill', name: agent, backAfter: duration},
		{kind: 'kill', name: entry, backAfter: duration},
		{kind: 'freeze', name: agent, duration},
		{
			kind: 'cut', agent, entry, notices: [randomSource.pick([0, 60_000]), randomSource.pick([0, 60_000])], duration,
		},
		{kind: 'dark', agent, duration},
		{
			kind: 'late', agent, orders, count: randomSource.integer(1, 4), delay: randomSource.pick([undefined, 1, randomSource.integer(1, 1000)]),
		},
	]);
}

/** Independent faults of entries, agents and executors. */
function scheduleFaults(cluster: LeasedCluster, randomSource: RandomSource, faults: string[]): void {
	const {clock} = cluster.sim;
	for (let i = 0; i < faultCount; i++) {
		const fault = sampleFault(randomSource);
		clock.after(randomSource.integer(0, faultWindowMs), () => {
			faults.push(`${Math.round(clock.now())} ${JSON.stringify(fault)}`);
			applyFault(cluster, fault);
		});
	}
}

function submitJobs({sim: {clock}}: LeasedCluster, clients: Clients, randomSource: RandomSource, load: Load): void {
	const {arrivalMs, taskCounts, expectedRun} = load;
	for (let at = 0; at < faultWindowMs; at += randomSource.integer(1, 2 * arrivalMs)) {
		const tasks = randomSource.pick(taskCounts);
		const disconnectAfter = randomSource.chance(0.1) ? randomSource.integer(1, 600) : undefined;
		clock.after(at, () => {
			clients.submit(tasks, {disconnectAfter, expectedRun});
		});
	}
}

/** Executors that crash, by themselves or under the tasks of some jobs, and that change their processors. */
function scheduleExecutorFaults(cluster: LeasedCluster, clients: Clients, randomSource: RandomSource, faults: string[]): void {
	const {clock} = cluster.sim;
	for (let i = 0; i < executorFaultCount; i++) {
		const agent = randomSource.pick(agentNames);
		const executor = cluster.executors.get(agent)!;
		const cpu = randomSource.pick([taskCpu, 2 * taskCpu, executorCpu]);
		const downTime = randomSource.integer(200, maxFaultMs);
		const tasks = randomSource.integer(1, 8);
		const kind = randomSource.pick(['crash', 'room', 'crashing-job'] as const);
		clock.after(randomSource.integer(0, faultWindowMs), () => {
			faults.push(`${Math.round(clock.now())} ${kind} ${JSON.stringify({
				agent, cpu, downTime, tasks,
			})}`);
			switch (kind) {
				case 'crash': {
					executor.crash(downTime);
					break;
				}

				case 'room': {
					cluster.setRoom(agent, cpu);
					break;
				}

				case 'crashing-job': {
					clients.submit(tasks, {isCrashing: true, timeLimit: crashingTimeLimitMs});
					break;
				}
			}
		});
	}
}

/** Heartbeats of other writers, and deregistrations whose acknowledgement is lost, arrives, or is not asked for by the executor. */
function scheduleAnnouncementFaults(cluster: LeasedCluster, randomSource: RandomSource, faults: string[]): void {
	const {clock} = cluster.sim;
	for (let i = 0; i < announcementFaultCount; i++) {
		const agent = randomSource.pick(agentNames);
		const executor = cluster.executors.get(agent)!;
		const named = randomSource.pick<ForeignName>(['other-executor', 'other-address', 'later-start', 'earlier-start', 'far-future']);
		const endsAfter = randomSource.integer(1, maxUnansweredMs);
		const downTime = randomSource.integer(200, maxFaultMs);
		const beatAfter = randomSource.integer(1, heartbeatIntervalMs);
		const kind = randomSource.pick(['foreign-heartbeat', 'unanswered-deregistration', 'deregistration', 'foreign-deregistration'] as const);
		clock.after(randomSource.integer(0, faultWindowMs), () => {
			faults.push(`${Math.round(clock.now())} ${kind} ${JSON.stringify({
				agent, named, endsAfter, downTime, beatAfter,
			})}`);
			switch (kind) {
				case 'foreign-heartbeat': {
					cluster.announceForeign(agent, named);
					break;
				}

				case 'unanswered-deregistration': {
					cluster.deregister(agent, () => undefined);
					clock.after(endsAfter, () => {
						executor.crash(downTime);
					});
					break;
				}

				case 'deregistration': {
					cluster.deregister(agent, () => {
						executor.crash(downTime);
					});
					break;
				}

				case 'foreign-deregistration': {
					cluster.deregister(agent, () => undefined);
					break;
				}
			}

			// The executor's own heartbeats go on, unless it has ended.
			clock.after(beatAfter, () => {
				if (kind.startsWith('foreign')) {
					cluster.announce(agent);
				}
			});
		});
	}
}

/** Data centres that are evacuated and taken back, and entries that cannot read that for a while. */
function scheduleEvacuations(cluster: LeasedCluster, randomSource: RandomSource, faults: string[]): void {
	const {clock} = cluster.sim;
	const evacuated = new Set<string>();
	for (let i = 0; i < evacuationCount; i++) {
		const agent = randomSource.pick(agentNames);
		const entry = randomSource.pick(entryNames);
		const duration = randomSource.integer(minEvacuationMs, maxEvacuationMs);
		const storeCut = randomSource.integer(0, maxStoreCutMs);
		clock.after(randomSource.integer(0, faultWindowMs), () => {
			if (evacuated.has(agent)) {
				return;
			}

			faults.push(`${Math.round(clock.now())} evacuation ${JSON.stringify({
				agent, entry, duration, storeCut,
			})}`);
			const from = clock.now();
			evacuated.add(agent);
			cluster.setEvacuated(agent, true);
			cluster.cutStore(entry, storeCut);
			clock.after(duration, () => {
				cluster.leavingPeriods.push({
					kind: 'evacuated', executor: agent, from, to: clock.now(),
				});
				evacuated.delete(agent);
				cluster.setEvacuated(agent, false);
				cluster.cutStore(entry, storeCut);
			});
		});
	}
}

/** Streams between entries that are cut or become silent. */
function schedulePeerFaults({sim: {clock}, network}: LeasedCluster, randomSource: RandomSource, faults: string[]): void {
	for (let i = 0; i < peerFaultCount; i++) {
		const client = randomSource.pick(entryNames);
		const server = randomSource.pick(entryNames.filter(name => name !== client));
		const notices = [randomSource.pick([0, 3, 60_000]), randomSource.pick([0, 3, 60_000])] as const;
		const duration = randomSource.pick([0, randomSource.integer(50, maxFaultMs)]);
		const ends = randomSource.pick<readonly StreamEnd[]>([['client'], ['server'], ['client', 'server']]);
		const kind = randomSource.pick(['cut', 'silence'] as const);
		clock.after(randomSource.integer(0, faultWindowMs), () => {
			faults.push(`${Math.round(clock.now())} peers ${kind} ${JSON.stringify({
				client, server, notices, duration, ends,
			})}`);
			if (kind === 'cut') {
				network.cut(client, server, notices, duration);
				return;
			}

			for (const end of ends) {
				network.silence(client, server, end);
			}
		});
	}
}

function checkLeftovers(cluster: LeasedCluster): Violation[] {
	const violations: Violation[] = [];
	for (const [name, executor] of cluster.executors) {
		if (executor.getRunning().length > 0) {
			violations.push({rule: 'nothing leaks', subject: name, detail: `${executor.getRunning().length} runs`});
		}
	}

	for (const name of entryNames) {
		const {coordinator} = cluster.getEntry(name);
		if (coordinator.getOpenJobs() > 0 || coordinator.sessions.getOutstandingStarts() > 0) {
			violations.push({rule: 'nothing leaks', subject: name, detail: `${coordinator.getOpenJobs()} jobs, ${coordinator.sessions.getOutstandingStarts()} starts`});
		}
	}

	return violations;
}

type Fault =
	| {readonly kind: 'kill'; readonly name: string; readonly backAfter: Milliseconds}
	| {readonly kind: 'freeze'; readonly name: string; readonly duration: Milliseconds}
	| {readonly kind: 'cut'; readonly agent: string; readonly entry: string; readonly notices: readonly [Milliseconds, Milliseconds]; readonly duration: Milliseconds}
	/** The open streams between an agent and an entry stop delivering to these ends, without an error. */
	| {readonly kind: 'silence'; readonly agent: string; readonly entry: string; readonly at: readonly StreamEnd[]}
	/** All calls to an executor are lost. */
	| {readonly kind: 'dark'; readonly agent: string; readonly duration: Milliseconds}
	/** The next `count` calls of a kind get no response and take effect after `delay`, or never if it is undefined. */
	| {readonly kind: 'late'; readonly agent: string; readonly orders: 'start' | 'stop' | 'hold'; readonly count: number; readonly delay: Milliseconds | undefined}
	/** Start calls arrive late at an executor. */
	| {readonly kind: 'slow-orders'; readonly agent: string; readonly duration: Milliseconds}
	/** The runs of an executor make no progress. */
	| {readonly kind: 'standing-still'; readonly agent: string; readonly duration: Milliseconds}
	| {readonly kind: 'leaving'; readonly agent: string; readonly duration: Milliseconds};

function sampleFault(randomSource: RandomSource): Fault {
	const entry = randomSource.pick(entryNames);
	const agent = randomSource.pick(agentNames);
	const entryOrAgent = randomSource.pick([entry, agent]);
	const duration = randomSource.pick([randomSource.integer(50, 500), randomSource.integer(500, 1500), randomSource.integer(1500, maxFaultMs)]);
	return randomSource.pick<Fault>([
		{kind: 'kill', name: entryOrAgent, backAfter: duration},
		{kind: 'kill', name: agent, backAfter: randomSource.integer(100, 700)},
		{kind: 'freeze', name: entryOrAgent, duration},
		{kind: 'freeze', name: entry, duration},
		{
			kind: 'cut', agent, entry, notices: [randomSource.pick([0, 3, 60_000]), randomSource.pick([0, 3, 60_000])], duration: randomSource.pick([0, duration]),
		},
		{
			kind: 'silence', agent, entry, at: randomSource.pick<readonly StreamEnd[]>([['client'], ['server'], ['client', 'server']]),
		},
		{kind: 'dark', agent, duration},
		{
			kind: 'late', agent, orders: 'start', count: randomSource.integer(1, 6), delay: randomSource.integer(160, 450),
		},
		{
			kind: 'late',
			agent,
			orders: randomSource.pick(['start', 'stop', 'hold'] as const),
			count: randomSource.integer(1, 6),
			delay: randomSource.pick([undefined, randomSource.integer(160, 450), randomSource.integer(200, 12_000)]),
		},
		{kind: 'slow-orders', agent, duration},
		{kind: 'standing-still', agent, duration},
		{kind: 'leaving', agent, duration: duration + 2500},
	]);
}

function applyFault(cluster: LeasedCluster, fault: Fault): void {
	const {sim: {clock}, network} = cluster;
	switch (fault.kind) {
		case 'kill': {
			cluster.kill(fault.name, fault.backAfter);
			break;
		}

		case 'freeze': {
			cluster.freeze(fault.name, fault.duration);
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
				cluster.executors.get(fault.agent)!.isUnreachable = isOn;
			});
			break;
		}

		case 'late': {
			const {unansweredCalls: calls} = cluster.executors.get(fault.agent)!;
			calls[fault.orders] += fault.count;
			calls.delay = fault.delay;
			break;
		}

		case 'slow-orders': {
			switchFor(fault.duration, isOn => {
				cluster.executors.get(fault.agent)!.startCallDelay = isOn ? slowCallMs : 0;
			});
			break;
		}

		case 'standing-still': {
			switchFor(fault.duration, isOn => {
				cluster.executors.get(fault.agent)!.isStalled = isOn;
			});
			break;
		}

		case 'leaving': {
			if (!cluster.isLeaving(fault.agent)) {
				cluster.setLeaving(fault.agent, true);
				clock.after(fault.duration, () => {
					cluster.setLeaving(fault.agent, false);
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
