/**
 * A simulated entry as on the users' platform, which may forward jobs to the other entries.
 */
import type {AgentSessions} from '../../../src/connection/agent-sessions.js';
import {unboundedQuota} from '../../../src/connection/unbounded-quota.js';
import {createLinkHub, type LinkHub} from '../../../src/connection/link-server.js';
import type {LinkTiming} from '../../../src/connection/link-timing.js';
import {createPeerHub, type PeerHub} from '../../../src/connection/peer-hub.js';
import type {EntryAddress, Evacuations, LossReport} from '../../../src/generated/kingcuplane.js';
import {createDesiredStateCodec} from '../../../src/platform/desired-state.js';
import {createJobDesk, type JobDesk} from '../../../src/platform/job-desk.js';
import {createJobIntake, type JobIntake} from '../../../src/platform/job-intake.js';
import {startupGraceMs} from '../../../src/platform/timing.js';
import {createCancelledNames} from '../../../src/process/cancelled-names.js';
import {every} from '../../../src/process/clock.js';
import {createJobForwarding} from '../../../src/process/job-forwarding.js';
import {createLoadMonitor, type LoadMonitor} from '../../../src/process/load-monitor.js';
import {noMetrics} from '../../../src/process/metrics.js';
import {createPauseCheckedClock, createPauseDetector, type PauseDetector} from '../../../src/process/pause-detector.js';
import {createHoldSwitches, holdStartsAfterPauses} from '../../../src/process/start-hold.js';
import type {MemoryPlatform} from '../../../src/process/platform/memory.js';
import {createCoordinator} from '../../../src/request/coordinator.js';
import type {Coordinator} from '../../../src/request/coordinator-types.js';
import {createResourceScheduler} from '../../../src/request/resource-scheduler.js';
import {createTicketIssuer, type TicketIssuer} from '../../../src/request/ticket.js';
import {createEvacuationHolder, type EvacuationList} from '../../../src/version/evacuations.js';
import type {Snapshot} from '../../../src/version/types.js';
import {silentLog} from '../../silent-log.js';
import type {Network} from '../network.js';
import type {RandomSource, SimulatedProcess} from '../simulation.js';
import {createSubmissionRecords} from '../submission-records.js';

/** Dependencies of a simulated entry. */
export type LeasedEntryHost = {
	readonly process: SimulatedProcess;
	/** Name of the entry, which is also its address. */
	readonly name: string;
	readonly entryNames: readonly string[];
	readonly network: Network;
	readonly random: RandomSource;
	readonly objects: MemoryPlatform['objects'];
	readonly timing: LinkTiming;
	readonly snapshot: Snapshot;
	/** Whether each hello is taken for one that answers the newest welcome. */
	readonly areHellosTrusted: boolean;
	/** Whether reports of lost upstreams are ignored. */
	readonly areLossesIgnored: boolean;
	/** Whether forwarded jobs are served although their stream was lost. */
	readonly areForwardedJobsKept: boolean;
	/** How the entries share their load; if undefined, each serves its own clients and there are no streams between them. */
	readonly loadSharing: LoadSharingOptions | undefined;
	/** Reads the evacuated data centres from the store; undefined if it does not respond to this entry. */
	tryReadEvacuations(): EvacuationList | undefined;
	/** Sends a report of a lost upstream to the other entries where there are no streams between them. */
	sendLoss(report: LossReport): void;
};

/** How the entries of a simulated cluster share their load. */
export type LoadSharingOptions = {
	/** Processor time for coordinating a job, besides that of its messages. */
	readonly coordinationCostMs: number;
	/** Replaces the measured load of the entry of this name. */
	getLoad?(random: RandomSource, entry: string): ReturnType<LoadMonitor['getLoad']>;
};

/** Entries that seem to be busy half of the time, so that they forward, serve and decline jobs of each other at random. */
export const randomForwarding: LoadSharingOptions = {
	coordinationCostMs: 0,
	getLoad: random => ({utilization: random.chance(0.5) ? 0.95 : 0.1, delay: 0}),
};

/** Entries of which e1 forwards all its jobs to the others. */
export const forwardingFromOne: LoadSharingOptions = {
	coordinationCostMs: 0,
	getLoad: (_random, entry) => ({utilization: entry === 'e1' ? 1 : 0.1, delay: 0}),
};

/** One incarnation of an entry. */
export type LeasedEntry = {
	readonly process: SimulatedProcess;
	readonly coordinator: Coordinator;
	readonly issuer: TicketIssuer;
	readonly pauseDetector: PauseDetector;
	readonly desk: JobDesk;
	/** Undefined if the entries share no load. */
	readonly intake: JobIntake | undefined;
};

/** Where clients send the jobs of the only route. */
export const jobTarget = {host: 'jobs.example', pathPrefix: '/jobs/'};
/** Number of failed runs of a task after which its job fails. */
export const failedRunLimit = 2;

/** The configuration in which clients reach the service by its route. */
export const routeSnapshot: Snapshot = createDesiredStateCodec().decode(new TextEncoder().encode(JSON.stringify({
	version: 1,
	routes: [{
		name: 'check', host: jobTarget.host, 'path-prefix': jobTarget.pathPrefix, upstream: 'meals', 'timeout-ms': 5000, 'slo-ms': 60, stretch: 1.6, attempts: failedRunLimit,
	}],
	upstreams: [{name: 'meals'}],
})), 'the test')._unsafeUnwrap();

/** Starts an entry, which listens at its address. */
export function startLeasedEntry(host: LeasedEntryHost): LeasedEntry {
	const {
		process, name, network, timing, snapshot, loadSharing, random,
	} = host;
	const pauseDetector = createPauseDetector(process.clock);
	const clock = createPauseCheckedClock(process.clock, pauseDetector);
	const incarnation = process.name;
	const self: EntryAddress = {name, incarnation, links: name};
	const defer = (action: () => void) => {
		clock.after(0, action);
	};

	const evacuations = createEvacuationHolder();
	const issuer = createTicketIssuer({
		clock, incarnation, key: new Uint8Array(32), blockMs: 2000, lifetimeMs: 20_000,
	});
	const coordinator = createCoordinator({
		clock,
		entry: name,
		issuer,
		recorder: createSubmissionRecords(clock, incarnation, host.objects).recorder,
		quota: unboundedQuota,
		agentGraceMs: timing.closedGraceMs!,
		silentGraceMs: timing.silentGraceMs,
		startValidityMs: timing.startValidityMs,
		endsEarlierIncarnations: true,
		answerKeepMs: 10_000,
		maxTasks: 100,
		tryGetSnapshot: () => snapshot,
		isDraining: () => false,
		createScheduler: schedulerHost => createResourceScheduler({...schedulerHost, random: random.fraction, startupGraceMs}),
		sendStart(agent, command) {
			links.sendStart(agent, command);
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
		onLossSuspected: sendLoss,
	});
	const links: LinkHub = createLinkHub({
		entry: name,
		incarnation,
		sessions: host.areHellosTrusted ? trustHellos(coordinator.sessions) : coordinator.sessions,
		scheduler: coordinator.scheduler,
		tryGetConfig: () => undefined,
		tryGetEvacuations: evacuations.tryGet,
		getEntries: () => host.entryNames.map((entry): EntryAddress => ({name: entry, incarnation: entry, links: entry})),
		getFencedIncarnations: () => [],
		isDraining: () => false,
		onConfigVersion: () => undefined,
		onHeldReply: () => undefined,
		onLossReport(report) {
			if (!host.areLossesIgnored && coordinator.receiveLossReport(report)) {
				sendLoss(report);
			}
		},
		defer,
		clock,
		timing,
		onBatchReceived: pauseDetector.check,
		tryGetSenderSilence: ticket => desk.tryGetSenderSilence(ticket),
	});
	const desk = createJobDesk({
		entry: {coordinator: createCostlyCoordinator(), issueTicket: owner => issuer.issue(owner, 1)[0]!, getRemainingDrainTime: () => Infinity},
		log: silentLog,
		clock,
		cancelledNames: createCancelledNames(clock),
		tryGetSnapshot: () => snapshot,
		checkPause: pauseDetector.check,
	});
	const {areStartsHeld, getInputDelay} = holdStartsAfterPauses({
		clock, setHeld: createHoldSwitches(coordinator.scheduler)(), pauseDetector, log: silentLog,
		// A simulated process that resumes has performed everything that waited before it performs this.
		afterInputRead: defer,
	});
	const sharing = loadSharing && startSharing(loadSharing);

	evacuations.onChange(({dataCentres}) => {
		coordinator.scheduler.setEvacuatedDataCentres(dataCentres);
		links.scheduleConfig();
		sharing?.peers.broadcastState([]);
	});
	every(clock, storeReadIntervalMs, () => {
		const list = host.tryReadEvacuations();
		if (list !== undefined) {
			evacuations.offer(list);
		}
	});
	coordinator.applySnapshot(snapshot);
	every(clock, timing.heartbeatMs, links.sendHeartbeats);
	network.listen({
		address: name, process, links, peers: sharing?.peers,
	});
	return {
		process, coordinator, issuer, pauseDetector, desk, intake: sharing?.intake,
	};

	function sendLoss(report: LossReport): void {
		if (sharing === undefined) {
			host.sendLoss(report);
		} else {
			sharing.peers.broadcastLoss(report);
		}
	}

	function createCostlyCoordinator(): Coordinator {
		return {
			...coordinator,
			submit(caller, req) {
				process.spend(loadSharing?.coordinationCostMs ?? 0);
				return coordinator.submit(caller, req);
			},
		};
	}

	function startSharing(options: LoadSharingOptions): {readonly peers: PeerHub; readonly intake: JobIntake} {
		const monitor = createLoadMonitor({clock, readActiveTime: process.getActiveTime});
		const forwarding = createJobForwarding({
			log: silentLog,
			metrics: noMetrics,
			clock,
			random: random.fraction,
			loadMonitor: {...monitor, getLoad: () => options.getLoad?.(random, name) ?? monitor.getLoad()},
			serveForwardedJob: async (job, cancellation) => desk.submitForwarded(job, host.areForwardedJobsKept ? {onCancelled: () => undefined} : cancellation),
			peers: {tryStartRequest: (peer, req) => peers.tryStartRequest(peer, req), getLoadReports: () => peers.getLoadReports()},
			isServing: () => links.getLinkCount() > 0,
			areStartsHeld,
		});
		const peers = createPeerHub({
			clock,
			self,
			timing,
			defer,
			onUnexpectedError(err) {
				throw err;
			},
			serveRequest: forwarding.serve,
			getState: entries => ({
				configVersion: 1, draining: false, entries: [...entries], evacuations: toMessage(evacuations.tryGet()),
			}),
			tryGetLoad: forwarding.tryGetLoad,
			getInputDelay,
			onBatchReceived: pauseDetector.check,
			tryAnswerUnsent: forwarding.tryAnswerUnsent,
			receiveState(_peer, state) {
				if (state.evacuations !== undefined) {
					evacuations.offer(state.evacuations);
				}
			},
			receiveShares: () => undefined,
			getLosses: () => coordinator.lossLog.getReportsSince(0).reports,
			receiveLoss: coordinator.receiveLossReport,
			onPeerConnected: () => undefined,
			onLinksChanged: () => undefined,
			connect: address => network.connectPeer(process, address),
		});
		pauseDetector.onPause((pause, uncounted) => {
			peers.recordPause(uncounted);
			if (pause > timing.harmlessPauseMs!) {
				peers.abandonServedRequests();
			}
		});
		peers.setAddresses(host.entryNames);
		every(clock, timing.heartbeatMs, peers.sendHeartbeats);
		every(clock, stateIntervalMs, () => {
			peers.broadcastState([]);
		});
		return {
			peers, intake: createJobIntake({
				clock,
				entry: {
					decideByLoad: forwarding.decide, tryForwardJob: forwarding.tryForward, cancelJob: async () => 'not-found', isIntroduced: () => true, whenIntroduced: async () => undefined,
				}, desk,
			}),
		};
	}
}

/** Makes sessions take each hello for one that answers a welcome that was sent just before. */
function trustHellos(sessions: AgentSessions): AgentSessions {
	return {...sessions, open: hello => sessions.open(hello, sessions.recordWelcome())};
}

/** Interval at which an entry reads the evacuations. */
const storeReadIntervalMs = 200;
/** Interval at which entries report their state to each other. */
const stateIntervalMs = 1000;

function toMessage(list: EvacuationList | undefined): Evacuations | undefined {
	return list && {...list, dataCentres: [...list.dataCentres]};
}
