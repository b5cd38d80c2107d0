/**
 * The agent: the process beside one upstream instance. It announces the upstream to every entry, is the only
 * one that starts work on it, and drains on shutdown.
 */
import {createCreditGranter} from '../connection/credit-granter.js';
import {createEntrySessions, type RunResult} from '../connection/entry-sessions.js';
import {createAgentLink, type AgentLink} from '../connection/link-client.js';
import {relaxedTiming} from '../connection/link-timing.js';
import {createResourceLimiter} from '../connection/resource-limiter.js';
import type {AgentInfo, CreditGranter} from '../connection/types.js';
import {
	RefusalReason, Soundness as SoundnessState, TaskOutcome, type AgentState, type ConfigUpdate, type EntryAddress, type TaskStart,
} from '../generated/kingcuplane.js';
import {formatAddress} from './address.js';
import {every, sleep, type Milliseconds} from './clock.js';
import {createUpstreamHealth} from './upstream-health.js';
import type {AgentHost, Agent, DrainReport} from './agent-types.js';

/** Weight of the newest run time in the mean. */
const meanWeight = 0.1;
const keepMs: Milliseconds = 60_000;
const probeIntervalMs: Milliseconds = 200;
const drainCheckMs: Milliseconds = 10;

/** Starts an agent; the upstream is announced as soon as it can be reached. */
export function createAgent(host: AgentHost): Agent {
	const {settings, clock} = host;
	const facts = toFacts(host);
	const {timing = relaxedTiming} = host;
	const links = new Map<string, AgentLink>();
	const linkByEntry = new Map<string, AgentLink>();
	let slots = 0;
	let configuredSlots = facts.slots;
	let configVersion = 0;
	let isDraining = false;
	let isDrainedByConfig = false;
	let isUpstreamLeaving = false;
	let isStopping = false;
	let isProbing = false;
	let meanRun = 0;
	let failedShare = 0;
	let toldSoundness: SoundnessState = SoundnessState.SOUNDNESS_SOUND;
	const soundness = createUpstreamHealth(clock);

	const roomKeeper = host.capacity === undefined ? undefined : createResourceLimiter({clock, notifyEntry: tellState}, host.capacity);
	const granter: CreditGranter = roomKeeper ?? createCreditGranter({
		clock,
		onGrantChanged(entry) {
			linkByEntry.get(entry)?.scheduleFlush();
		},
	}, slots);
	const sessions = createEntrySessions({
		clock,
		agent: facts,
		retentionMs: keepMs,
		maxRetainedBytes: settings.agent.resultMemoryBytes,
		run,
		stop(start) {
			host.upstream.stop?.(start);
		},
		orphanGraceMs: timing.orphanGraceMs,
		onOutputPending(entry) {
			linkByEntry.get(entry)?.scheduleFlush();
		},
	}, granter);

	const timers = [
		every(clock, timing.heartbeatMs, sendHeartbeats),
		every(clock, settings.agent.discoverMs, () => {
			void discover();
		}),
	];
	const forgetPauses = host.pauseDetector?.onPause(resetLinks);
	void discover();
	void probe();

	return {
		drain,
		setUpstreamLeaving(isLeaving) {
			isUpstreamLeaving = isLeaving;
			updateDraining();
		},
		recordProjectedSlowdowns(projections) {
			soundness.recordProjectedSlowdowns(projections);
			noteSoundness();
		},
		probeUpstream() {
			void probe();
		},
		stop() {
			forgetPauses?.();
			for (const timer of timers) {
				timer.cancel();
			}

			for (const link of links.values()) {
				link.stop();
			}
		},
	};

	// Entries may have given up starts that wait in the sockets. New links tell them which ones have arrived.
	function resetLinks(pause: Milliseconds): void {
		host.log.warn({pause}, 'this process may have stood still; links are opened anew');
		for (const link of links.values()) {
			link.reset();
		}
	}

	function run(start: TaskStart, done: (end: RunResult) => void): void {
		host.upstream.run(start, end => {
			learn(end);
			report(start, end);
			done(end);
		});
	}

	function report(start: TaskStart, end: RunResult): void {
		host.metrics.time('task.run', end.duration, {outcome: outcomeNames[end.outcome]});
		if (end.outcome !== TaskOutcome.TASK_OUTCOME_COMPLETED) {
			host.log.info({
				ticket: start.task!.ticket,
				request: start.reference,
				index: start.task!.index,
				attempt: start.attempt,
				outcome: outcomeNames[end.outcome],
				reason: end.reason,
				run: Math.round(end.duration),
				detail: end.detail,
			}, 'task did not complete');
		}
	}

	function learn(end: RunResult): void {
		if (end.reason === RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE) {
			void probe();
		}

		if (end.outcome === TaskOutcome.TASK_OUTCOME_REFUSED) {
			return;
		}

		const isFailed = end.outcome !== TaskOutcome.TASK_OUTCOME_COMPLETED;
		if (end.outcome !== TaskOutcome.TASK_OUTCOME_ABORTED) {
			soundness.recordRunEnd(isFailed);
			noteSoundness();
		}

		failedShare += meanWeight * ((isFailed ? 1 : 0) - failedShare);
		if (!isFailed) {
			meanRun = meanRun === 0 ? end.duration : meanRun + (meanWeight * (end.duration - meanRun));
		}
	}

	function noteSoundness(): void {
		const state = soundness.getState();
		if (state !== toldSoundness) {
			toldSoundness = state;
			host.log.warn({soundness: soundnessNames[state], failedShare, meanRun}, 'judgement of the upstream changed');
			restateState();
		}
	}

	// While the upstream cannot be reached it offers no slots, so that no start is sent only to be refused.
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
			restateState();
		}
	}

	function tellState(entry: string): void {
		linkByEntry.get(entry)?.reportState();
	}

	function sendHeartbeats(): void {
		for (const link of links.values()) {
			link.sendHeartbeat();
		}

		stateGauges();
	}

	function restateState(): void {
		for (const link of links.values()) {
			link.reportState();
		}

		stateGauges();
	}

	function stateGauges(): void {
		host.metrics.gauge('tasks.running', sessions.getRunningTasks());
		host.metrics.gauge('slots', slots);
		host.metrics.gauge('config.version', configVersion);
	}

	function getState(): AgentState {
		return {
			draining: isDraining,
			running: sessions.getRunningTasks(),
			slots,
			meanRunMs: Math.round(meanRun),
			failedPerMille: Math.round(failedShare * 1000),
			configVersion,
			free: granter.getFreeSlots(),
			freeRoom: roomKeeper?.getFreeResources(),
			receivedStarts: 0,
			soundness: soundness.getState(),
		};
	}

	function receiveConfig(config: ConfigUpdate): void {
		if (config.version <= configVersion) {
			return;
		}

		configVersion = config.version;
		configuredSlots = config.slots === 0 ? facts.slots : Math.min(config.slots, facts.slots);
		isDrainedByConfig = config.drain;
		updateDraining();
		if (!isProbing) {
			setSlots(configuredSlots);
		}

		restateState();
		host.log.info({configVersion, slots: configuredSlots, drain: config.drain}, 'configuration in force');
	}

	function updateDraining(): void {
		const draining = isStopping || isDrainedByConfig || isUpstreamLeaving;
		if (isDraining === draining) {
			return;
		}

		isDraining = draining;
		sessions.setDraining(draining);
		restateState();
	}

	async function discover(): Promise<void> {
		if (isStopping || [...links.values()].some(link => link.isOpen())) {
			return;
		}

		for (const seed of settings.agent.seeds) {
			addLink(formatAddress(seed));
		}

		for (const address of await host.readEntryDirectory() ?? []) {
			addLink(address);
		}
	}

	function receiveEntries(entries: readonly EntryAddress[]): void {
		for (const entry of entries) {
			addLink(entry.links);
		}

		const known = new Set(entries.map(entry => entry.links));
		for (const [address, link] of links) {
			if (!known.has(address) && !link.isOpen()) {
				link.stop();
				links.delete(address);
			}
		}
	}

	function addLink(address: string): void {
		if (links.has(address)) {
			return;
		}

		links.set(address, createAgentLink({
			clock,
			sessions,
			getState,
			receiveConfig,
			receiveEntries,
			replaceEarlierLink: claimEntry,
			random: host.random,
			defer: host.defer,
			connect: host.connect,
			timing,
			onBatchReceived: host.pauseDetector?.check,
			onLinkChanged({kind, ...facts}) {
				host.log.info(facts, `link ${kind}`);
			},
		}, address));
	}

	// One entry may be known under two addresses; only the newest link to an incarnation is read.
	function claimEntry(incarnation: string, link: AgentLink): void {
		const earlier = linkByEntry.get(incarnation);
		if (earlier !== undefined && earlier !== link) {
			earlier.stop();
			links.delete(earlier.address);
		}

		linkByEntry.set(incarnation, link);
	}

	// Entries hand back their credits when they hear of the drain. Once none is out, no start is on its way; once
	// every result is acknowledged, no answer depends on this process.
	async function drain(): Promise<DrainReport> {
		isStopping = true;
		updateDraining();
		const end = clock.now() + settings.agent.drainMs;
		while (!isDrained() && clock.now() < end) {
			await sleep(clock, drainCheckMs);
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

function toFacts({
	settings, incarnation, capacity: room, labels,
}: AgentHost): AgentInfo {
	return {
		incarnation,
		name: settings.name,
		upstream: settings.upstream,
		service: settings.service,
		dataCentre: settings.dataCentre,
		rack: settings.rack,
		slots: settings.upstreamServer.slots,
		capacity: room,
		labels,
	};
}

const soundnessNames: Readonly<Record<SoundnessState, string>> = {
	[SoundnessState.SOUNDNESS_SOUND]: 'sound',
	[SoundnessState.SOUNDNESS_SUSPECT]: 'suspect',
	[SoundnessState.SOUNDNESS_PROBED]: 'probed',
	[SoundnessState.UNRECOGNIZED]: 'unknown',
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
