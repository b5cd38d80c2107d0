/**
 * The agent: the process beside one upstream instance. It announces the upstream to every entry, is the only process
 * that starts work on it, and drains on shutdown.
 */
import {createCreditGranter} from '../connection/credit-granter.js';
import {createExpectedReleases} from '../connection/expected-releases.js';
import {createEntryLinks} from '../connection/entry-links.js';
import {createEntrySessions, type RunResult} from '../connection/entry-sessions.js';
import {relaxedTiming} from '../connection/link-timing.js';
import {createResourceLimiter} from '../connection/resource-limiter.js';
import {noResources} from '../connection/resources.js';
import type {AgentInfo, CreditGranter} from '../connection/types.js';
import {
	RefusalReason, Soundness as HealthState, TaskOutcome, type AgentState, type ConfigUpdate, type TaskStart,
} from '../generated/kingcuplane.js';
import {createEvacuationHolder} from '../version/evacuations.js';
import {formatAddress} from './address.js';
import {
	every, sleep, type Milliseconds, type Timer,
} from './clock.js';
import {createEvacuationWatch} from './evacuation-watch.js';
import {createRunTimeRatio} from './run-time-ratio.js';
import {createUpstreamHealth} from './upstream-health.js';
import type {AgentHost, Agent, DrainReport} from './agent-types.js';

/** Weight of the newest run in the moving averages of run time and failed share. */
const newestRunWeight = 0.1;
const resultRetentionMs: Milliseconds = 60_000;
const probeIntervalMs: Milliseconds = 200;
const drainCheckIntervalMs: Milliseconds = 10;
const gaugeIntervalMs: Milliseconds = 1000;
/** Time after a start that was refused for lack of resources for which no more than was used then is used. */
const shortageMs: Milliseconds = 2000;

/** Factor by which the run time ratio must differ from the last one that was logged. */
const minLoggedChange = 1.15;

/** Starts an agent. It offers the slots of the upstream once the upstream is reachable. */
export function createAgent(host: AgentHost): Agent {
	const {settings, clock} = host;
	const agentInfo = toAgentInfo(host);
	const {timing = relaxedTiming, evacuations = createEvacuationHolder()} = host;
	let slots = 0;
	let configuredSlots = agentInfo.slots;
	let configVersion = 0;
	let isDraining = false;
	let isDrainedByConfig = false;
	let isUpstreamLeaving = false;
	let isStopping = false;
	let isProbing = false;
	let meanRun = 0;
	let failedShare = 0;
	let reportedHealth: HealthState = HealthState.SOUNDNESS_SOUND;
	const runTimeRatio = createRunTimeRatio();
	let loggedRatio = 0;
	const health = createUpstreamHealth(clock, runTimeRatio.tryGet);
	const expectedReleases = createExpectedReleases<TaskStart>(clock);
	let announcedCapacity = host.capacity;
	let shortageTimer: Timer | undefined;
	let tasksStarted = 0;

	const resourceLimiter = host.capacity === undefined
		? undefined
		: createResourceLimiter({
			clock, notifyEntry(entry) {
				links.reportStateTo(entry);
			},
		}, host.capacity);
	const granter: CreditGranter = resourceLimiter ?? createCreditGranter({
		clock,
		onGrantChanged(entry) {
			links.scheduleFlush(entry);
		},
	}, slots);
	const sessions = createEntrySessions({
		clock,
		agent: agentInfo,
		retentionMs: resultRetentionMs,
		maxRetainedBytes: settings.agent.resultMemoryBytes,
		run,
		stop(start, cause, since) {
			host.upstream.stop?.(start, cause, since);
		},
		orphanGraceMs: timing.orphanGraceMs,
		maxSilentRunMs: timing.maxSilentRunMs,
		maxSenderSilenceMs: timing.maxSenderSilenceMs,
		afterInputRead: host.afterInputRead,
		onOutputPending(entry) {
			links.scheduleFlush(entry);
		},
	}, granter);

	const evacuation = createEvacuationWatch({
		evacuations,
		dataCentre: settings.dataCentre,
		log: host.log,
		metrics: host.metrics,
		getRunningTasks: sessions.getRunningTasks,
		onChanged: updateDraining,
	});
	const links = createEntryLinks({
		clock,
		sessions,
		agent: settings.name,
		seeds: settings.agent.seeds.map(seed => formatAddress(seed)),
		maxLinks: timing.maxLinksPerAgent ?? Infinity,
		discoverMs: settings.agent.discoverMs,
		timing,
		lossLog: host.lossLog,
		getState,
		receiveConfig,
		receiveEvacuations: evacuations.offer,
		readEntryDirectory: host.readEntryDirectory,
		random: host.random,
		defer: host.defer,
		connect: host.connect,
		onBatchReceived: host.pauseDetector?.check,
		onUnexpectedError(err, address) {
			host.log.error({err, address}, 'input of an entry could not be processed');
		},
		onLinkChanged({kind, ...fields}) {
			host.log.info({incarnation: agentInfo.incarnation, ...fields}, `link ${kind}`);
		},
	});
	const heartbeatTimer = every(clock, timing.heartbeatMs, () => {
		links.sendHeartbeats();
	});
	const gaugeTimer = every(clock, gaugeIntervalMs, updateGauges);
	const unsubscribeFromPauses = host.pauseDetector?.onPause(handlePause);
	updateDraining();
	void probe();

	return {
		drain,
		setUpstreamLeaving(isLeaving) {
			isUpstreamLeaving = isLeaving;
			updateDraining();
		},
		recordProjectedSlowdowns(projections) {
			health.recordProjectedSlowdowns(projections);
			reportHealthChange();
		},
		setCapacity(newCapacity) {
			announcedCapacity = newCapacity;
			restoreCapacity();
		},
		recordProgress: expectedReleases.recordProgress,
		recordShortage,
		reportLosses: broadcastState,
		probeUpstream() {
			void probe();
		},
		getSilentRunLimit: sessions.getSilentRunLimit,
		tryGetPermission: sessions.tryGetPermission,
		getCounts: () => ({...links.getBatchCounts(), tasksStarted}),
		stop() {
			shortageTimer?.cancel();
			unsubscribeFromPauses?.();
			heartbeatTimer.cancel();
			gaugeTimer.cancel();
			evacuation.stop();
			links.stop();
		},
	};

	// During the pause entries may have abandoned starts that are still in the sockets. On a new link the agent reports to
	// each entry which starts it has received.
	function handlePause(pause: Milliseconds, uncounted: Milliseconds): void {
		sessions.recordPause(pause, uncounted);
		if (pause <= (timing.harmlessPauseMs ?? 0)) {
			return;
		}

		host.log.warn({pause}, 'this process may have stood still; reopening all links');
		links.reset();
	}

	function run(start: TaskStart, done: (result: RunResult) => void): void {
		tasksStarted++;
		expectedReleases.recordStart(start, start.need ?? noResources, start.expectedRunMs);
		host.upstream.run(start, result => {
			expectedReleases.recordEnd(start);
			recordRunResult(start, result);
			logRunResult(start, result);
			done(result);
			evacuation.recordRunEnd();
		});
	}

	function logRunResult(start: TaskStart, result: RunResult): void {
		host.metrics.time('task.run', result.duration, {outcome: outcomeNames[result.outcome]});
		if (result.outcome !== TaskOutcome.TASK_OUTCOME_COMPLETED) {
			host.log.info({
				ticket: start.task!.ticket,
				request: start.reference,
				index: start.task!.index,
				attempt: start.attempt,
				outcome: outcomeNames[result.outcome],
				reason: result.reason,
				run: Math.round(result.duration),
				detail: result.detail,
			}, 'task did not complete');
		}
	}

	function recordRunResult({task, expectedRunMs}: TaskStart, result: RunResult): void {
		if (result.reason === RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE) {
			void probe();
		}

		if (result.outcome === TaskOutcome.TASK_OUTCOME_REFUSED) {
			return;
		}

		const isFailed = result.outcome !== TaskOutcome.TASK_OUTCOME_COMPLETED;
		if (result.outcome !== TaskOutcome.TASK_OUTCOME_ABORTED) {
			health.recordRunEnd(isFailed);
			reportHealthChange();
		}

		failedShare += newestRunWeight * ((isFailed ? 1 : 0) - failedShare);
		if (!isFailed) {
			meanRun = meanRun === 0 ? result.duration : meanRun + (newestRunWeight * (result.duration - meanRun));
			runTimeRatio.record(task!.ticket, result.duration, expectedRunMs);
			logRunTimeRatio();
		}
	}

	function restoreCapacity(): void {
		shortageTimer?.cancel();
		shortageTimer = undefined;
		if (announcedCapacity !== undefined && resourceLimiter?.setCapacity(announcedCapacity)) {
			broadcastState();
		}
	}

	// The next announcement says how much the upstream has. Without one, the start is tried again after a while.
	function recordShortage(): void {
		resourceLimiter?.recordShortage();
		host.log.info({announced: announcedCapacity, free: resourceLimiter?.getFreeResources()}, 'the upstream has less capacity than announced');
		shortageTimer?.cancel();
		shortageTimer = clock.after(shortageMs, restoreCapacity);
		broadcastState();
	}

	function reportHealthChange(): void {
		const state = health.getState();
		if (state !== reportedHealth) {
			reportedHealth = state;
			host.log.warn({soundness: healthNames[state], failedShare, meanRun}, 'judgement of the upstream changed');
			broadcastState();
		}
	}

	// Offers no slots while the upstream is unreachable, so that entries send no starts that would be refused.
	async function probe(): Promise<void> {
		if (isProbing) {
			return;
		}

		isProbing = true;
		setSlots(0);
		while (!await host.upstream.isReachable()) {
			await sleep(clock, probeIntervalMs);
		}

		isProbing = false;
		setSlots(configuredSlots);
	}

	function setSlots(count: number): void {
		if (slots !== count) {
			slots = count;
			granter.setSlots(count);
			broadcastState();
		}
	}

	function broadcastState(): void {
		links.broadcastState();
	}

	function updateGauges(): void {
		host.metrics.gauge('tasks.running', sessions.getRunningTasks());
		host.metrics.gauge('slots', slots);
		host.metrics.gauge('run.time.ratio', getRunTimeRatioPerMille() / 1000);
		host.metrics.gauge('config.version', configVersion);
		evacuation.updateGauge();
	}

	function logRunTimeRatio(): void {
		const ratio = runTimeRatio.tryGet();
		if (ratio !== undefined && (ratio > loggedRatio * minLoggedChange || ratio * minLoggedChange < loggedRatio)) {
			host.log.info({before: loggedRatio, ratio}, 'run time ratio of the upstream changed');
			loggedRatio = ratio;
		}
	}

	function getRunTimeRatioPerMille(): number {
		return Math.round((runTimeRatio.tryGet() ?? 0) * 1000);
	}

	function getState(entry: string | undefined): AgentState {
		return {
			draining: isDraining,
			running: sessions.getRunningTasks(),
			slots,
			meanRunMs: Math.round(meanRun),
			failedPerMille: Math.round(failedShare * 1000),
			configVersion,
			free: granter.getFreeSlots(),
			freeRoom: sessions.isIsolating() ? noResources : resourceLimiter?.getFreeResources(entry),
			receivedStarts: 0,
			soundness: health.getState(),
			clockMs: clock.now(),
			capacity: resourceLimiter?.getCapacity(),
			runTimeRatioPerMille: getRunTimeRatioPerMille(),
			releases: entry !== undefined && resourceLimiter?.hasWaitingTasks(entry) ? expectedReleases.getReleases() : [],
		};
	}

	function receiveConfig(config: ConfigUpdate): void {
		if (config.version <= configVersion) {
			return;
		}

		configVersion = config.version;
		configuredSlots = config.slots === 0 ? agentInfo.slots : Math.min(config.slots, agentInfo.slots);
		isDrainedByConfig = config.drain;
		updateDraining();
		if (!isProbing) {
			setSlots(configuredSlots);
		}

		broadcastState();
		host.log.info({configVersion, slots: configuredSlots, drain: config.drain}, 'configuration in force');
	}

	function updateDraining(): void {
		const draining = isStopping || isDrainedByConfig || isUpstreamLeaving || evacuation.isEvacuated();
		if (isDraining === draining) {
			return;
		}

		isDraining = draining;
		sessions.setDraining(draining);
		broadcastState();
	}

	// Entries return their credits once the agent has reported that it drains. When no credit is outstanding, no start can
	// be in flight. When every result is acknowledged, no answer depends on this process.
	async function drain(): Promise<DrainReport> {
		isStopping = true;
		links.stopDiscovery();
		updateDraining();
		const end = clock.now() + settings.agent.drainMs;
		while (!isDrained() && clock.now() < end) {
			await sleep(clock, drainCheckIntervalMs);
		}

		return getDrainReport();
	}

	function isDrained(): boolean {
		const report = getDrainReport();
		return report.running === 0 && report.unacknowledged === 0 && report.outstanding === 0;
	}

	function getDrainReport(): DrainReport {
		return {
			running: sessions.getRunningTasks(),
			unacknowledged: sessions.getUnacknowledgedResults(),
			outstanding: granter.getOutstandingCredits(),
		};
	}
}

function toAgentInfo({
	settings, incarnation, capacity, labels, upstreamIncarnation,
}: AgentHost): AgentInfo {
	return {
		incarnation,
		name: settings.name,
		upstream: settings.upstream,
		service: settings.service,
		dataCentre: settings.dataCentre,
		rack: settings.rack,
		slots: settings.upstreamServer.slots,
		capacity,
		labels,
		upstreamIncarnation,
	};
}

const healthNames: Readonly<Record<HealthState, string>> = {
	[HealthState.SOUNDNESS_SOUND]: 'sound',
	[HealthState.SOUNDNESS_SUSPECT]: 'suspect',
	[HealthState.SOUNDNESS_PROBED]: 'probed',
	[HealthState.UNRECOGNIZED]: 'unknown',
};

const outcomeNames: Readonly<Record<TaskOutcome, string>> = {
	[TaskOutcome.TASK_OUTCOME_UNSPECIFIED]: 'unknown',
	[TaskOutcome.TASK_OUTCOME_COMPLETED]: 'completed',
	[TaskOutcome.TASK_OUTCOME_FAILED]: 'failed',
	[TaskOutcome.TASK_OUTCOME_UNKNOWN]: 'unknown',
	[TaskOutcome.TASK_OUTCOME_REFUSED]: 'refused',
	[TaskOutcome.TASK_OUTCOME_ABORTED]: 'aborted',
	[TaskOutcome.UNRECOGNIZED]: 'unknown',
};
