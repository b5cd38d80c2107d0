/**
 * A simulated cluster as on the users' platform: entries that place tasks by free resources, and agents that control
 * executors under leases.
 */
import {createLossLog} from '../../../src/connection/loss-log.js';
import type {LossReport} from '../../../src/generated/kingcuplane.js';
import {platformTiming} from '../../../src/platform/timing.js';
import {createAgent} from '../../../src/process/agent.js';
import {sleep, type Milliseconds} from '../../../src/process/clock.js';
import {createLeasedUpstream, type LeasedUpstream} from '../../../src/process/leased-upstream.js';
import type {ExecutorAnnouncement} from '../../../src/process/announced-state.js';
import {createExecutorManager, type ExecutorManager} from '../../../src/process/executor-manager.js';
import type {
	CommandOutcome, Executor, ExecutorInfo, WithExecutorTime,
} from '../../../src/process/executor-types.js';
import {noMetrics} from '../../../src/process/metrics.js';
import {createPauseAccumulator, createPauseDetector} from '../../../src/process/pause-detector.js';
import {createMemoryPlatform} from '../../../src/process/platform/memory.js';
import {createEvacuationHolder, type EvacuationList} from '../../../src/version/evacuations.js';
import {createSnapshot} from '../../../src/version/snapshot.js';
import {silentLog} from '../../silent-log.js';
import {createFakeExecutor, type FakeExecutor, type RecordedRun} from '../../process/fake-executor.js';
import {createObjects} from '../config.js';
import {createNetwork, type Network} from '../network.js';
import {
	createProcess, createSimulation, advanceSimulation, type SimulatedProcess, type Simulation,
} from '../simulation.js';
import {isCrashingTask} from './clients.js';
import {
	routeSnapshot, startLeasedEntry, type LeasedEntry, type LoadSharingOptions,
} from './entry.js';

/** Names of the entries and of the agents, which stay the same after a restart. */
export const entryNames = ['e1', 'e2', 'e3'] as const;
export const agentNames = ['a1', 'a2', 'a3'] as const;

/** Processors of each executor and of each task, in thousandths of a processor. */
export const executorCpu = 4000;
export const taskCpu = 1000;

/** The processors of an executor from a moment on. */
export type RoomChange = {
	readonly at: Milliseconds;
	readonly cpu: number;
};

/** A start of a task while another run of it goes on. */
export type Overlap = {
	readonly task: string;
	readonly at: Milliseconds;
	/** Executor of the start, and that of the run that goes on. */
	readonly executor: string;
	readonly otherExecutor: string;
	readonly otherRun: RecordedRun;
};

/** Defects that may be injected to test the checks. */
export type InjectedDefects = {
	/** Link timing that replaces the one of the platform. */
	readonly timing?: typeof platformTiming;
	/** Whether agents are not notified that their executor is leaving. */
	readonly isLeavingIgnored?: boolean;
	/** Whether an announcement is dropped if one with a higher number has arrived before, whoever sent that. */
	readonly areNumbersTrusted?: boolean;
	/** Processors that agents announce instead of those of their executor, in thousandths of a processor. */
	readonly announcedCpu?: number;
	/** Whether executors refuse starts that exceed their processors. */
	readonly isGuarding?: boolean;
	/** Whether agents keep using the processors that their executor announced first. */
	readonly areRoomChangesIgnored?: boolean;
	/** Whether entries do not read which data centres are evacuated. */
	readonly areEvacuationsIgnored?: boolean;
	/** Whether entries take each hello for the newest one of its agent. */
	readonly areHellosTrusted?: boolean;
	/** Whether entries ignore the losses that agents report. */
	readonly areLossesIgnored?: boolean;
	/** Whether entries keep serving forwarded jobs after their stream was lost or cancelled them. */
	readonly areForwardedJobsKept?: boolean;
	/** Whether agents take a deregistration of their executor for the end of its runs. */
	readonly areDeparturesTrusted?: boolean;
	/** Whether agents take a restart of their executor for the end of all runs. */
	readonly areRestartsTrusted?: boolean;
	/** Longest lease that executors grant. */
	readonly maxLeaseMs?: Milliseconds;
	/** Wraps the executor to change the commands of its agent. */
	changeExecutor?(executor: Executor): Executor;
};

/** How a cluster differs from the usual one. */
export type ClusterOptions = {
	readonly defects?: InjectedDefects;
	/** How entries share their load; if undefined, each serves its own clients. */
	readonly loadSharing?: LoadSharingOptions;
	/** Longest time in which an agent reads the directory of entries; at once if undefined. */
	readonly maxDirectoryReadMs?: Milliseconds;
	/** Processor time of each message and timer of an entry or an agent; none if undefined. */
	readonly entryActionCostMs?: Milliseconds;
	readonly agentActionCostMs?: Milliseconds;
};

/** A cluster under test. */
export type LeasedCluster = {
	readonly sim: Simulation;
	readonly network: Network;
	readonly executors: ReadonlyMap<string, FakeExecutor>;
	/**
	 * The ended periods in which an executor was leaving. One that restarts while it leaves is known to leave again only with its next
	 * announcement, so its period ends and another one begins then.
	 */
	readonly leavingPeriods: LeavingPeriod[];
	/** Starts of tasks of which another run had not ended at that instant, seen in the order of events. */
	readonly overlaps: readonly Overlap[];
	/** The processors of each executor since the start, oldest first. */
	readonly rooms: ReadonlyMap<string, readonly RoomChange[]>;
	getEntry(name: string): LeasedEntry;
	isLeaving(agent: string): boolean;
	/**
	 * Kills an entry or an agent, which restarts as another incarnation after `backAfter`. Its peers notice after `noticeMs`;
	 * after a random delay, or not at all, if it is undefined.
	 */
	kill(name: string, backAfter: Milliseconds, noticeMs?: Milliseconds): void;
	/** Keeps the event loop of an entry or an agent busy. Needs action costs. */
	stall(name: string, duration: Milliseconds): void;
	freeze(name: string, duration: Milliseconds): void;
	/** Steps the time of day of an entry or an agent, forward or, if negative, backward. */
	stepWallClock(name: string, by: Milliseconds): void;
	setLeaving(agent: string, isLeaving: boolean): void;
	/** Evacuates the data centre of an agent, or takes that back. Each agent has a data centre of its own. */
	setEvacuated(agent: string, isEvacuated: boolean): void;
	/** Keeps an entry from reading evacuations for a time. */
	cutStore(entry: string, duration: Milliseconds): void;
	/** Delivers to an agent an announcement of another writer, which names something else than its executor. */
	announceForeign(agent: string, named: ForeignName): void;
	/** Delivers to an agent an announcement of another writer under its executor's identity, with a number far beyond the executor's. */
	announceUnderIdentity(agent: string, isLeaving: boolean): void;
	/**
	 * Delivers to an agent that its executor shuts down. Calls `onAnswer` when that is acknowledged; if the agent dies before, it is not
	 * called.
	 */
	deregister(agent: string, onAnswer: () => void): void;
	/** Delivers what an executor says of itself to its agent. */
	announce(agent: string): void;
	/** Crashes an executor, which starts again after `downTime` and announces itself for the first time `announcementDelay` later. */
	restartExecutor(agent: string, downTime: Milliseconds, announcementDelay: Milliseconds): void;
	/** Changes the processors of an executor, in thousandths of a processor. Its next heartbeat announces them. */
	setRoom(agent: string, cpu: number): void;
	advance(duration: Milliseconds): Promise<void>;
};

/** A period in which an executor was leaving or its data centre was evacuated. */
export type LeavingPeriod = {
	readonly kind: 'leaving' | 'evacuated';
	readonly executor: string;
	readonly from: Milliseconds;
	readonly to: Milliseconds;
};

/** What an announcement of another writer names. */
export type ForeignName = 'other-executor' | 'other-address' | 'later-start' | 'earlier-start' | 'far-future';

/** Called when an entry has died, so that its clients see broken connections. */
export type OnEntryDeath = (entry: LeasedEntry) => void;

/** Interval between the heartbeats of an executor. */
export const heartbeatIntervalMs: Milliseconds = 1500;
/** Number of heartbeats in a row after which an executor is known to be ready again. */
const steadyHeartbeats = 3;
/** Exceeds each number of an executor's own announcements. */
const foreignSequence = 1_000_000;
/** Longest time from the start of an executor to its first announcement. */
const maxAnnouncementDelayMs: Milliseconds = 300;
const snapshot = createSnapshot(1, createObjects());

/** Starts a cluster and runs it until all links are open. */
export async function createLeasedCluster(seed: number, onEntryDeath: OnEntryDeath, {
	defects = {}, loadSharing, maxDirectoryReadMs, entryActionCostMs, agentActionCostMs,
}: ClusterOptions = {}): Promise<LeasedCluster> {
	const {timing = platformTiming} = defects;
	const sim = createSimulation(seed);
	const {clock, random} = sim;
	const network = createNetwork(sim);
	const objects = createMemoryPlatform({clock, timeout: 1000});
	const executors = new Map(agentNames.map(name => [name as string, createFakeExecutor(clock, 0)]));
	const entries = new Map<string, LeasedEntry>();
	const agents = new Map<string, {readonly process: SimulatedProcess; readonly manager: ExecutorManager}>();
	const incarnationCounts = new Map<string, number>();
	/** Time from which each entry that was cut off from the store can read it again. */
	const storeReachableFrom = new Map<string, Milliseconds>();
	let evacuations: EvacuationList = {revision: 1, dataCentres: []};
	const leavingExecutors = new Set<string>();
	/** When each leaving executor has announced first that it leaves. */
	const leavingStartedAt = new Map<string, Milliseconds>();
	const leavingPeriods: LeavingPeriod[] = [];
	const highestSequences = new Map<string, number>();
	let announcementCount = 0;
	/** Time from the next start of an executor to its first announcement, where it is given. */
	const announcementDelays = new Map<string, Milliseconds>();
	const rooms = new Map(agentNames.map(name => [name as string, [{at: 0, cpu: executorCpu}]]));
	for (const executor of executors.values()) {
		executor.isLongPolling = true;
		executor.maxLeaseMs = defects.maxLeaseMs ?? executor.maxLeaseMs;
		executor.sampleRun = task => isCrashingTask(task)
			? {length: random.integer(5, 100), fails: false, crashes: true}
			: {length: random.chance(0.2) ? random.integer(500, 3000) : random.integer(20, 300), fails: random.chance(0.03)};
	}

	const overlaps: Overlap[] = [];
	for (const name of agentNames) {
		executors.get(name)!.onRunStarted = run => {
			overlaps.push(...findOverlaps(executors, name, run));
		};

		executors.get(name)!.onRestarted = () => {
			const {startedAt} = executors.get(name)!;
			endLeavingPeriod(name);
			const delay = announcementDelays.get(name) ?? random.integer(1, maxAnnouncementDelayMs);
			announcementDelays.delete(name);
			// The first heartbeat of an executor follows its start.
			clock.after(delay, () => {
				if (executors.get(name)!.startedAt !== startedAt) {
					return;
				}

				if (leavingExecutors.has(name)) {
					leavingStartedAt.set(name, clock.now());
				}

				announce(name);
			});
		};
	}

	for (const name of [...entryNames, ...agentNames]) {
		start(name);
	}

	const cluster: LeasedCluster = {
		sim,
		network,
		executors,
		leavingPeriods,
		isLeaving: agent => leavingExecutors.has(agent),
		overlaps,
		rooms,
		getEntry: name => entries.get(name)!,
		kill,
		freeze(name, duration) {
			network.freeze(getProcess(name), duration);
		},
		stall(name, duration) {
			getProcess(name).spend(duration);
		},
		stepWallClock(name, by) {
			getProcess(name).stepWallClock(by);
		},
		setLeaving(name, isLeaving) {
			if (isLeaving) {
				leavingExecutors.add(name);
				leavingStartedAt.set(name, clock.now());
			} else {
				leavingExecutors.delete(name);
				endLeavingPeriod(name);
			}

			announce(name);
			// An executor goes on with its heartbeats, and is not taken for ready before.
			for (let i = 1; i < steadyHeartbeats; i++) {
				clock.after(i * heartbeatIntervalMs, () => {
					announce(name);
				});
			}
		},
		setEvacuated(name, isEvacuated) {
			const others = evacuations.dataCentres.filter(other => other !== name);
			evacuations = {revision: evacuations.revision + 1, dataCentres: isEvacuated ? [...others, name] : others};
		},
		cutStore(name, duration) {
			storeReachableFrom.set(name, Math.max(storeReachableFrom.get(name) ?? 0, clock.now() + duration));
		},
		announceForeign(name, named) {
			const {executorInfo, isLeaving} = createAnnouncement(name);
			receive(name, {executorInfo: {...executorInfo, ...foreignInfos[named]}, isLeaving});
		},
		announceUnderIdentity(name, isLeaving) {
			receive(name, {...createAnnouncement(name), isLeaving}, foreignSequence + (++announcementCount));
		},
		deregister(name, onAnswer) {
			const {process, manager} = agents.get(name)!;
			process.perform(() => {
				void manager.receiveDeparture({id: name, bornAt: undefined}).then(() => {
					if (process.isAlive()) {
						onAnswer();
					}
				});
			});
		},
		announce,
		restartExecutor(name, downTime, announcementDelay) {
			announcementDelays.set(name, announcementDelay);
			executors.get(name)!.crash(downTime);
		},
		setRoom(name, cpu) {
			rooms.get(name)!.push({at: clock.now(), cpu});
			executors.get(name)!.guardedRuns = defects.isGuarding ? Math.floor(cpu / taskCpu) : undefined;
			clock.after(random.integer(1, heartbeatIntervalMs), () => {
				announce(name);
			});
		},
		advance: async duration => advanceSimulation(sim, duration),
	};
	await cluster.advance(1000);
	return cluster;

	function start(name: string): void {
		incarnationCounts.set(name, (incarnationCounts.get(name) ?? 0) + 1);
		const process = createProcess(sim, `${name}-${incarnationCounts.get(name)}`, {
			skewMs: 2000, isClockFrozen: true, actionCostMs: executors.has(name) ? agentActionCostMs : entryActionCostMs,
		});
		if (executors.has(name)) {
			startAgent(name, process);
		} else {
			startEntry(name, process);
		}
	}

	function endLeavingPeriod(name: string): void {
		const from = leavingStartedAt.get(name);
		leavingStartedAt.delete(name);
		if (from !== undefined) {
			leavingPeriods.push({
				kind: 'leaving', executor: name, from, to: clock.now(),
			});
		}
	}

	function getProcess(name: string): SimulatedProcess {
		return (entries.get(name) ?? agents.get(name)!).process;
	}

	function kill(name: string, backAfter: Milliseconds, noticeMs?: Milliseconds): void {
		const process = getProcess(name);
		if (!process.isAlive()) {
			return;
		}

		network.kill(process, noticeMs ?? random.pick([0, 3, 60_000]));
		const entry = entries.get(name);
		if (entry !== undefined) {
			onEntryDeath(entry);
		}

		clock.after(backAfter, () => {
			start(name);
		});
	}

	function startEntry(name: string, process: SimulatedProcess): void {
		entries.set(name, startLeasedEntry({
			process,
			name,
			entryNames,
			network,
			random,
			objects: objects.objects,
			timing,
			snapshot: loadSharing === undefined ? snapshot : routeSnapshot,
			tryReadEvacuations: () => canReadEvacuations(name) ? evacuations : undefined,
			areHellosTrusted: defects.areHellosTrusted ?? false,
			areLossesIgnored: defects.areLossesIgnored ?? false,
			areForwardedJobsKept: defects.areForwardedJobsKept ?? false,
			loadSharing,
			sendLoss(report) {
				sendToPeers(process.name, report);
			},
		}));
	}

	function canReadEvacuations(entry: string): boolean {
		return !defects.areEvacuationsIgnored && clock.now() >= (storeReachableFrom.get(entry) ?? 0);
	}

	/** Sends a report of a lost upstream to the other entries. */
	function sendToPeers(sender: string, report: LossReport): void {
		for (const {process, coordinator} of entries.values()) {
			if (process.name !== sender) {
				clock.after(random.integer(1, 3), () => {
					process.perform(() => {
						coordinator.receiveLossReport(report);
					});
				});
			}
		}
	}

	/** Delivers what the executor says of itself to the agent beside it. */
	function announce(name: string): void {
		receive(name, createAnnouncement(name));
	}

	function receive(name: string, announcement: ExecutorAnnouncement, sequence = ++announcementCount): void {
		const {process, manager} = agents.get(name)!;
		const highest = highestSequences.get(name) ?? 0;
		highestSequences.set(name, Math.max(highest, sequence));
		if (defects.areNumbersTrusted && sequence < highest) {
			return;
		}

		process.perform(() => {
			manager.receive({...announcement, sequence});
		});
	}

	function createAnnouncement(name: string): ExecutorAnnouncement {
		return {
			executorInfo: {
				id: name,
				bornAt: executors.get(name)!.startedAt,
				address: name,
				service: 'meals',
				room: {cpu: defects.announcedCpu ?? rooms.get(name)!.at(defects.areRoomChangesIgnored ? 0 : -1)!.cpu, memory: 1000, accelerators: 0},
				labels: [],
			},
			isLeaving: leavingExecutors.has(name) && !defects.isLeavingIgnored,
		};
	}

	function startAgent(name: string, process: SimulatedProcess): void {
		const detector = createPauseDetector(process.clock);
		let executorCount = 0;
		const lossLog = createLossLog({clock: process.clock});
		const agentEvacuations = createEvacuationHolder();
		const manager = createExecutorManager({
			clock: process.clock,
			log: silentLog,
			metrics: noMetrics,
			lossLog,
			createUpstream(executorInfo, events, lowestFencingToken) {
				const executor = createExecutorClient(process, {id: name, executor: executors.get(name)!}, executorInfo);
				const upstream: LeasedUpstream = createLeasedUpstream({
					clock: process.clock,
					executor: defects.changeExecutor?.(executor) ?? executor,
					executorStartedAt: executorInfo.bornAt,
					firstFencingToken: Math.max(Math.floor(process.clock.wall()), lowestFencingToken),
					maxLeaseMs: 1000,
					log: silentLog,
					metrics: noMetrics,
					harmlessPauseMs: timing.harmlessPauseMs!,
					maxUnverifiedAgeMs: timing.maxUnverifiedAgeMs,
					takePauseTime: createPauseAccumulator(detector),
					onPauseWitnessed: detector.recordWitnessed,
					...events,
					onRestarted(restart) {
						events.onRestarted(defects.areRestartsTrusted ? {...restart, lost: upstream.getActiveStarts()} : restart);
					},
				});
				return defects.areDeparturesTrusted ? endRunsAtOnce(upstream) : upstream;
			},
			createAgent: (executorInfo, upstream, upstreamIncarnation) => createAgent({
				clock: process.clock,
				settings: {
					name,
					upstream: name,
					service: 'meals',
					dataCentre: name,
					rack: '',
					upstreamServer: {
						url: '', slots: 1, connections: 1, taskTimeoutMs: 0,
					},
					agent: {
						seeds: [], discoverMs: 300, drainMs: 5000, resultMemoryBytes: 1_000_000,
					},
					platform: {url: '', timeoutMs: 1000},
					log: {level: 'info'},
					metrics: {address: undefined, prefix: ''},
				},
				incarnation: `${process.name}-${++executorCount}`,
				upstream,
				log: silentLog,
				metrics: noMetrics,
				timing,
				pauseDetector: detector,
				// A simulated process that resumes has performed everything that waited before it performs this.
				afterInputRead(action) {
					process.clock.after(0, action);
				},
				capacity: executorInfo.room,
				upstreamIncarnation,
				lossLog,
				evacuations: agentEvacuations,
				random: random.fraction,
				async readEntryDirectory() {
					if (maxDirectoryReadMs !== undefined) {
						await sleep(process.clock, random.integer(1, maxDirectoryReadMs));
					}

					return entryNames;
				},
				defer(action) {
					process.clock.after(0, action);
				},
				connect: address => network.connect(process, address),
			}),
			afterFlush(action) {
				process.clock.after(0, action);
			},
			saveAnnouncement: () => undefined,
		});
		agents.set(name, {process, manager});
		manager.restore(createAnnouncement(name));
	}
}

/** Finds the runs of the same task that go on, at any executor, while a run starts. */
function findOverlaps(executors: ReadonlyMap<string, FakeExecutor>, executor: string, started: RecordedRun): readonly Overlap[] {
	return [...executors].flatMap(([otherExecutor, other]) => other.getRunning()
		.filter(run => run.task === started.task && run !== started)
		.map((otherRun): Overlap => ({
			task: started.task, at: started.startedAt, executor, otherExecutor, otherRun,
		})));
}

/**
 * Creates the client of one agent process for one executor, whose incarnations it does not tell apart. Nothing listens at any other address than the one
 * that is the executor's identifier. Responses that arrive while the process is frozen wait until it resumes.
 */
function createExecutorClient(process: SimulatedProcess, {id, executor}: {readonly id: string; readonly executor: FakeExecutor}, executorInfo: ExecutorInfo): Executor {
	return {
		start: async command => call(async () => executor.start(command)),
		stop: async (name, fencingToken) => call(async () => executor.stop(name, fencingToken)),
		poll: async req => call(async () => executor.poll(req)),
		close: async () => undefined,
	};

	async function call<T>(send: () => Promise<WithExecutorTime<T>>): Promise<WithExecutorTime<T | Refusal>> {
		return process.deliver<WithExecutorTime<T | Refusal>>(tryRefuse() ?? send());
	}

	function tryRefuse(): Promise<WithExecutorTime<Refusal>> | undefined {
		if (executorInfo.address !== id) {
			return refuseCall({kind: 'not-sent', detail: 'nothing listens there'});
		}

		// Another incarnation has the same identifier and answers.
		return executorInfo.id === id ? undefined : refuseCall({kind: 'other-incarnation'});
	}
}

/** Makes an upstream report all runs as ended where it should stop them. */
function endRunsAtOnce(upstream: LeasedUpstream): LeasedUpstream {
	return {
		...upstream,
		async stopAll() {
			upstream.abort(upstream.getActiveStarts(), 'the executor ended');
		},
	};
}

type Refusal = Extract<CommandOutcome, {readonly kind: 'not-sent' | 'other-incarnation'}>;

async function refuseCall(outcome: Refusal): Promise<WithExecutorTime<Refusal>> {
	return {outcome, executorTime: undefined};
}

const foreignInfos: Readonly<Record<ForeignName, Partial<ExecutorInfo>>> = {
	'other-executor': {id: 'x', address: 'nowhere', bornAt: 1000},
	'other-address': {address: 'nowhere'},
	'later-start': {bornAt: 1000},
	'earlier-start': {bornAt: 0.5},
	'far-future': {bornAt: 1e300},
};
