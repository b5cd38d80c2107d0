/**
 * A simulated deployment as on the users' platform: entries that place tasks by room, and agents that order executors
 * under leases.
 */
import {unboundedQuota} from '../../../src/connection/unbounded-quota.js';
import {createLinkHub, type LinkHub} from '../../../src/connection/link-server.js';
import type {EntryAddress} from '../../../src/generated/kingcuplane.js';
import {platformTiming, startupGraceMs} from '../../../src/platform/timing.js';
import {createAgent} from '../../../src/process/agent.js';
import type {Agent} from '../../../src/process/agent-types.js';
import {every, type Milliseconds} from '../../../src/process/clock.js';
import {createLeasedUpstream} from '../../../src/process/leased-upstream.js';
import type {Executor} from '../../../src/process/executor-types.js';
import {noMetrics} from '../../../src/process/metrics.js';
import {createPauseAccumulator, createPauseDetector, type PauseDetector} from '../../../src/process/pause-detector.js';
import {holdStartsAfterPauses} from '../../../src/process/start-hold.js';
import {createMemoryPlatform} from '../../../src/process/platform/memory.js';
import {createCoordinator} from '../../../src/request/coordinator.js';
import type {Coordinator} from '../../../src/request/coordinator-types.js';
import {createResourceScheduler} from '../../../src/request/resource-scheduler.js';
import {createTicketIssuer, type TicketIssuer} from '../../../src/request/ticket.js';
import {createSnapshot} from '../../../src/version/snapshot.js';
import {silentLog} from '../../silent-log.js';
import {createFakeExecutor, type FakeExecutor} from '../../process/fake-executor.js';
import {createObjects} from '../config.js';
import {createSubmissionRecords} from '../submission-records.js';
import {createNetwork, type Network} from '../network.js';
import {
	createProcess, createSimulation, advanceSimulation, type SimulatedProcess, type Simulation,
} from '../simulation.js';

/** Names of the entries and of the agents, which outlive restarts. */
export const entryNames = ['e1', 'e2', 'e3'] as const;
export const agentNames = ['a1', 'a2', 'a3'] as const;

/** Processors of each executor; a task needs one. */
export const executorCpu = 4000;
export const taskCpu = 1000;

/** One life of an entry. */
export type LeasedEntry = {
	readonly process: SimulatedProcess;
	readonly coordinator: Coordinator;
	readonly issuer: TicketIssuer;
	readonly pauses: PauseDetector;
};

/** Parts that a planted fault may replace. */
export type InjectedDefects = {
	readonly timing?: typeof platformTiming;
	/** Agents hear nothing of executors that leave. */
	readonly isLeavingIgnored?: boolean;
	/** Processors that agents announce in place of the executor's own. */
	readonly announcedCpu?: number;
	/** Changes what an agent orders. */
	changeExecutor?(executor: Executor): Executor;
};

/** A deployment under test. */
export type LeasedCluster = {
	readonly sim: Simulation;
	readonly network: Network;
	readonly executors: ReadonlyMap<string, FakeExecutor>;
	/** Since when an executor has been leaving. */
	readonly leavingSince: Map<string, Milliseconds>;
	getEntry(name: string): LeasedEntry;
	/** Kills an entry or an agent; it comes back as another incarnation. */
	kill(name: string, backAfter: Milliseconds): void;
	freeze(name: string, duration: Milliseconds): void;
	setLeaving(agent: string, isLeaving: boolean): void;
	advance(duration: Milliseconds): Promise<void>;
};

/** Called when an entry has died, so that its clients see broken connections. */
export type OnEntryDeath = (entry: LeasedEntry) => void;

const snapshot = createSnapshot(1, createObjects());

/** Starts a deployment and runs it until all links are up. */
export async function createLeasedCluster(seed: number, died: OnEntryDeath, plants: InjectedDefects = {}): Promise<LeasedCluster> {
	const {timing = platformTiming} = plants;
	const sim = createSimulation(seed);
	const {clock, random: dice} = sim;
	const network = createNetwork(sim);
	const objects = createMemoryPlatform({clock, timeout: 1000});
	const executors = new Map(agentNames.map(name => [name as string, createFakeExecutor(clock, 0)]));
	const entries = new Map<string, LeasedEntry>();
	const agents = new Map<string, {readonly process: SimulatedProcess; agent?: Agent}>();
	const lives = new Map<string, number>();
	const leaving = new Map<string, Milliseconds>();
	for (const executor of executors.values()) {
		executor.isLongPolling = true;
		executor.sampleRun = () => ({length: dice.chance(0.2) ? dice.integer(500, 3000) : dice.integer(20, 300), fails: dice.chance(0.03)});
	}

	for (const name of [...entryNames, ...agentNames]) {
		start(name);
	}

	const world: LeasedCluster = {
		sim,
		network,
		executors,
		leavingSince: leaving,
		getEntry: name => entries.get(name)!,
		kill,
		freeze(name, duration) {
			network.freeze(getProcess(name), duration);
		},
		setLeaving(name, isLeaving) {
			if (isLeaving) {
				leaving.set(name, clock.now());
			} else {
				leaving.delete(name);
			}

			const {process, agent} = agents.get(name)!;
			process.perform(() => {
				agent?.setUpstreamLeaving(isLeaving && !plants.isLeavingIgnored);
			});
		},
		advance: async duration => advanceSimulation(sim, duration),
	};
	await world.advance(1000);
	return world;

	function start(name: string): void {
		lives.set(name, (lives.get(name) ?? 0) + 1);
		const process = createProcess(sim, `${name}-${lives.get(name)}`, {skewMs: 2000, isClockFrozen: true});
		if (executors.has(name)) {
			startAgent(name, process);
		} else {
			startEntry(name, process);
		}
	}

	function getProcess(name: string): SimulatedProcess {
		return (entries.get(name) ?? agents.get(name)!).process;
	}

	function kill(name: string, backAfter: Milliseconds): void {
		const process = getProcess(name);
		if (!process.isAlive()) {
			return;
		}

		network.kill(process, dice.pick([0, 3, 60_000]));
		const entry = entries.get(name);
		if (entry !== undefined) {
			died(entry);
		}

		clock.after(backAfter, () => {
			start(name);
		});
	}

	function startEntry(name: string, process: SimulatedProcess): void {
		const incarnation = process.name;
		const pauses = createPauseDetector(process.clock);
		const issuer = createTicketIssuer({
			clock: process.clock, incarnation, key: new Uint8Array(32), blockMs: 2000, lifetimeMs: 20_000,
		});
		const home = createCoordinator({
			clock: process.clock,
			entry: name,
			issuer,
			recorder: createSubmissionRecords(process.clock, incarnation, objects.objects).recorder,
			quota: unboundedQuota,
			agentGraceMs: timing.closedGraceMs!,
			silentGraceMs: timing.silentGraceMs,
			endsEarlierIncarnations: true,
			answerKeepMs: 10_000,
			maxTasks: 100,
			tryGetSnapshot: () => snapshot,
			isDraining: () => false,
			createScheduler: host => createResourceScheduler({...host, random: dice.fraction, startupGraceMs}),
			sendStart(agent, order) {
				links.sendStart(agent, order);
			},
			sendStop(agent, stop) {
				links.sendStop(agent, stop);
			},
			onDemandChanged(agent) {
				links.scheduleReport(agent);
			},
			acknowledge(agent) {
				links.scheduleAck(agent);
			},
			onAnswered: () => undefined,
		});
		const links: LinkHub = createLinkHub({
			entry: name,
			incarnation,
			sessions: home.sessions,
			scheduler: home.scheduler,
			tryGetConfig: () => undefined,
			getEntries: () => entryNames.map((entry): EntryAddress => ({name: entry, incarnation: entry, links: entry})),
			getFencedIncarnations: () => [],
			isDraining: () => false,
			onConfigVersion: () => undefined,
			onHeldReply: () => undefined,
			defer(action) {
				process.clock.after(0, action);
			},
			after: process.clock.after,
			now: process.clock.now,
			heartbeatMs: timing.heartbeatMs,
			silenceTimeoutMs: timing.silenceTimeoutMs,
			onBatchReceived: pauses.check,
		});
		holdStartsAfterPauses({
			clock: process.clock, scheduler: home.scheduler, pauseDetector: pauses, log: silentLog,
		});

		home.applySnapshot(snapshot);
		every(process.clock, timing.heartbeatMs, links.sendHeartbeats);
		entries.set(name, {
			process, coordinator: home, issuer, pauses,
		});
		network.listen({address: name, process, links});
	}

	function startAgent(name: string, process: SimulatedProcess): void {
		const pauses = createPauseDetector(process.clock);
		const life: {readonly process: SimulatedProcess; agent?: Agent} = {process};
		agents.set(name, life);
		const executor = carry(process, executors.get(name)!);
		const upstream = createLeasedUpstream({
			clock: process.clock,
			executor: plants.changeExecutor?.(executor) ?? executor,
			executorStartedAt: 1,
			firstFencingToken: Math.floor(process.clock.wall()),
			maxLeaseMs: 1000,
			log: silentLog,
			onIncarnationChanged: () => undefined,
			onProjectedSlowdowns(projections) {
				life.agent?.recordProjectedSlowdowns(projections);
			},
			onUnreachable() {
				life.agent?.probeUpstream();
			},
			takePauseTime: createPauseAccumulator(pauses),
		});
		void upstream.takeOver().then(() => {
			life.agent = createAgent({
				clock: process.clock,
				settings: {
					name,
					upstream: name,
					service: 'meals',
					dataCentre: '',
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
				incarnation: process.name,
				upstream,
				log: silentLog,
				metrics: noMetrics,
				timing,
				pauseDetector: pauses,
				capacity: {cpu: plants.announcedCpu ?? executorCpu, memory: 1000, accelerators: 0},
				random: dice.fraction,
				readEntryDirectory: async () => entryNames,
				defer(action) {
					process.clock.after(0, action);
				},
				connect: address => network.connect(process, address),
			});
			life.agent.setUpstreamLeaving(leaving.has(name) && !plants.isLeavingIgnored);
		});
	}
}

/** The executor as one agent process reaches it: answers that come while it is frozen wait. */
function carry(process: SimulatedProcess, executor: FakeExecutor): Executor {
	return {
		start: async order => process.deliver(executor.start(order)),
		stop: async (name, token) => process.deliver(executor.stop(name, token)),
		poll: async req => process.deliver(executor.poll(req)),
		close: async () => undefined,
	};
}

