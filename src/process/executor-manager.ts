/**
 * Serves the executor beside this process. Each incarnation of the executor gets an agent of its own, so that a report
 * about one incarnation never counts for a later one.
 */
import {toLostTask, type LossLog} from '../connection/loss-log.js';
import {areEqualResources} from '../connection/resources.js';
import {LossState, type TaskStart} from '../generated/kingcuplane.js';
import type {Agent} from './agent-types.js';
import {
	areSameDescriptions, createAnnouncedState, type AnnouncedState, type AnnouncementOutcome, type ExecutorAnnouncement, type ReceivedAnnouncement,
} from './announced-state.js';
import {sleep, type Clock, type Milliseconds} from './clock.js';
import {maxLoggedRuns} from './executor-poller.js';
import type {ExecutorInfo, ExecutorPresence} from './executor-types.js';
import type {LeasedUpstream, LeasedUpstreamHost, UpstreamRestart} from './leased-upstream.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** What became of an announcement; `in-force` and `considered` ones are acknowledged. */
export type AnnouncementReception =
	| AnnouncementOutcome
	/** Its executor is not in service; it is used if it answers at its address as announced. */
	| 'considered'
	/** This process is about to end and considers no other executor. */
	| 'stopping';

/** The announcement of an executor that it shuts down. */
export type ExecutorDeparture = {
	readonly id: string;
	/** When this incarnation started; undefined if that was not announced. */
	readonly bornAt: number | undefined;
};

/** The events of an upstream that the manager handles. */
export type UpstreamEvents = Pick<
	LeasedUpstreamHost,
	'onReplaced' | 'onRestarted' | 'onFormerRunsLost' | 'onProgress' | 'onProjectedSlowdowns' | 'onUnreachable' | 'onRefused' | 'onShortage' | 'onRunsLost' | 'onRecovered' | 'getSilentRunLimit' | 'tryGetPermission'
>;

/** Dependencies of the manager. */
export type ExecutorManagerHost = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Losses of all incarnations of the executor. */
	readonly lossLog: LossLog;
	/** Creates an upstream whose calls have at least this fencing token: earlier ones of this process may have shown it to the executor. */
	createUpstream(executorInfo: ExecutorInfo, events: UpstreamEvents, lowestFencingToken: number): LeasedUpstream;
	/** Creates the agent of an executor that has been taken over. */
	createAgent(executorInfo: ExecutorInfo, upstream: LeasedUpstream, upstreamIncarnation: string): Agent;
	/** Runs an action after the results of this turn of the event loop were sent. */
	afterFlush(action: () => void): void;
	/** Stores an announcement for the next process beside this executor. */
	saveAnnouncement(announcement: ExecutorAnnouncement): void;
};

/** Serves one executor at a time. */
export type ExecutorManager = {
	/** Considers the announcement that an earlier process has stored, unless an executor has announced itself since. */
	restore(announcement: ExecutorAnnouncement): void;
	/**
	 * Handles an announcement. One of the executor in service changes its state. Any other is only a reason to ask: its executor
	 * is used if it answers at its address as announced, and the one in service does not answer and runs nothing any more.
	 */
	receive(announcement: ReceivedAnnouncement): AnnouncementReception;
	/**
	 * Handles the announcement of an executor that it shuts down, which is an intention: its runs are stopped, and reported as ended as
	 * after any other stop. Resolves once they have ended, or after a limit.
	 */
	receiveDeparture(departure: ExecutorDeparture): Promise<void>;
	tryGetAgent(): Agent | undefined;
	/** Ignores announcements of other executors from now on; the current agent keeps running. */
	stopReceiving(): void;
	/** Stops the agent and closes the upstream. */
	close(): Promise<void>;
};

/** What showed that the service of an executor has ended. */
type EndEvidence =
	/** Another incarnation of it, or another executor, has answered at its address. */
	| 'incarnation-answered'
	/** It refuses connections, runs nothing, and another one has answered as announced. */
	| 'refused'
	/** The same of one that does not answer and whose lease has expired. */
	| 'lapsed'
	/** It refuses connections and runs nothing after it has deregistered itself. */
	| 'deregistered';

/** Maximum number of announced executors that are considered at a time; the oldest one gives way. */
const maxCandidates = 4;
/** Delay between two attempts to verify an announced executor. */
const candidateRetryMs: Milliseconds = 40;
/** Time after its last announcement for which an executor that does not answer is considered: a few heartbeats. */
const candidateLifetimeMs: Milliseconds = 5000;
/**
 * Longest wait for the ends of the runs of an executor that has deregistered itself. It waits a second for the answer, and its runs have
 * ended before with their lease, if not by their stops.
 */
const departureLimitMs: Milliseconds = 700;

const lossStateNames: Readonly<Record<LossState, string>> = {
	[LossState.LOSS_STATE_SUSPECTED]: 'suspected',
	[LossState.LOSS_STATE_CRASHED]: 'crashed',
	[LossState.LOSS_STATE_ALIVE]: 'alive',
	[LossState.UNRECOGNIZED]: 'unknown',
};

/** One incarnation of the executor and the agent that serves it. */
type ManagedExecutor = {
	/** What was passed on to its agent. */
	executorInfo: ExecutorInfo;
	/** Distinguishes it from other incarnations. After a restart it is that of the one that runs the remaining tasks. */
	incarnation: string;
	/** The incarnation before the last restart; undefined if there was none. Then only the runs that have begun at the next one go on. */
	formerIncarnation?: string;
	readonly announced: AnnouncedState;
	readonly upstream: LeasedUpstream;
	/** Undefined until the executor has been taken over. */
	agent?: Agent;
	/** Whether the agent is drained, to be followed by one with another description. */
	isReplacingAgent: boolean;
	isLeaving: boolean;
	/** Whether it has deregistered itself and has not announced itself as ready since. */
	hasDeregistered: boolean;
	hasEnded: boolean;
};

/** An announced executor that may replace the one in service. */
type Candidate = {
	readonly announced: AnnouncedState;
	announcedAt: Milliseconds;
	/** Whether an earlier process has stored what counts of its announcements. */
	isStored: boolean;
	/** Undefined as long as the executor in service may be there. */
	managed?: ManagedExecutor;
};

/** Creates a manager that knows no executor. */
export function createExecutorManager(host: ExecutorManagerHost): ExecutorManager {
	const {clock, log} = host;
	/** The last executor that has answered as announced; it is in service unless it has ended. */
	let current: ManagedExecutor | undefined;
	const candidates = new Set<Candidate>();
	let isStopping = false;

	return {
		// The executor may have restarted since; it is then not the one that answers.
		restore(announcement) {
			if (current === undefined && candidates.size === 0 && !isStopping) {
				addCandidate({
					announced: createAnnouncedState(clock, announcement), announcedAt: clock.now(), isStored: true,
				});
			}
		},
		receive,
		receiveDeparture,
		tryGetAgent: () => current?.agent,
		stopReceiving() {
			isStopping = true;
		},
		async close() {
			current?.agent?.stop();
			await Promise.all([current, ...[...candidates].map(({managed}) => managed)].map(async managed => managed?.upstream.close()));
			candidates.clear();
		},
	};

	function receive(announcement: ReceivedAnnouncement): AnnouncementReception {
		const reception = handleAnnouncement(announcement);
		if (reception !== 'in-force' && reception !== 'considered') {
			reportIgnored({...toLogFields(announcement.executorInfo), sequence: announcement.sequence, isLeaving: announcement.isLeaving}, reception);
		}

		return reception;
	}

	function handleAnnouncement(announcement: ReceivedAnnouncement): AnnouncementReception {
		// Also while this process stops: the next process has to know what is acknowledged.
		if (current !== undefined && !current.hasEnded && !hasRestarted(current) && isAnnouncementOf(current, announcement.executorInfo)) {
			const outcome = current.announced.receive(withConfirmedStart(current, announcement));
			updateCurrent(current, outcome);
			return outcome;
		}

		if (isStopping) {
			return 'stopping';
		}

		const known = [...candidates].find(candidate => areSameIncarnations(candidate.announced.get().executorInfo, announcement.executorInfo));
		if (known === undefined) {
			addCandidate({
				announced: createAnnouncedState(clock, announcement, announcement.sequence), announcedAt: clock.now(), isStored: false,
			});
			return 'considered';
		}

		const before = known.announced.get();
		const outcome = known.announced.receive(announcement);
		known.isStored &&= areSameAnnouncements(before, known.announced.get());
		known.announcedAt = clock.now();
		return outcome === 'in-force' ? 'considered' : outcome;
	}

	function addCandidate(candidate: Candidate): void {
		for (const oldest of [...candidates].slice(0, Math.max(0, candidates.size + 1 - maxCandidates))) {
			dropCandidate(oldest, 'others were announced since');
		}

		candidates.add(candidate);
		void considerCandidate(candidate);
	}

	function dropCandidate(candidate: Candidate, reason: string): void {
		if (candidates.delete(candidate)) {
			reportIgnored(toLogFields(candidate.announced.get().executorInfo), reason);
			void candidate.managed?.upstream.close();
		}
	}

	/** Whether a candidate is still considered. It may have been dropped, or chosen, during any wait. */
	function isConsidered(candidate: Candidate): boolean {
		return candidates.has(candidate) && !isStopping;
	}

	// Asks the executor in service first, so that an announcement of another writer has no effect on anything else.
	async function considerCandidate(candidate: Candidate): Promise<void> {
		while (isConsidered(candidate)) {
			const predecessor = current;
			const presence = await getPresence(predecessor);
			if (presence === 'answered') {
				dropCandidate(candidate, 'the executor in service answers');
				return;
			}

			if (presence !== 'in-doubt' && isConsidered(candidate)) {
				await verifyCandidate(candidate, predecessor, presence);
			} else if (predecessor !== undefined && hasChangedWithRestart(predecessor, candidate.announced.get().executorInfo)) {
				await predecessor.upstream.stopAll('executor-changed');
			}

			if (clock.now() - candidate.announcedAt > candidateLifetimeMs) {
				dropCandidate(candidate, 'it does not answer');
			}

			await sleep(clock, candidateRetryMs);
		}
	}

	async function getPresence(managed: ManagedExecutor | undefined): Promise<ExecutorPresence> {
		if (managed === undefined || managed.hasEnded) {
			return 'replaced';
		}

		const presence = hasRestarted(managed) ? 'in-doubt' : await managed.upstream.checkPresence();
		if (managed.hasEnded) {
			return 'replaced';
		}

		return hasRestarted(managed) ? 'in-doubt' : presence;
	}

	/** Replaces `predecessor`, which is gone as `presence` says, if the candidate answers as announced. */
	async function verifyCandidate(candidate: Candidate, predecessor: ManagedExecutor | undefined, presence: Exclude<ExecutorPresence, 'answered' | 'in-doubt'>): Promise<void> {
		const {executorInfo} = candidate.announced.get();
		try {
			candidate.managed ??= createManagedExecutor(executorInfo, candidate.announced);
		} catch (err) {
			// For instance an address that cannot be called.
			log.warn({err, ...toLogFields(executorInfo)}, 'announced executor cannot be called');
			dropCandidate(candidate, 'it cannot be called');
			return;
		}

		const {managed} = candidate;
		const candidatePresence = await managed.upstream.identify();
		if (managed.hasEnded || candidatePresence === 'replaced') {
			dropCandidate(candidate, 'another incarnation answers at its address');
			return;
		}

		// Meanwhile the predecessor may have answered and started runs.
		const isReplaceable = current === predecessor && (predecessor === undefined || predecessor.hasEnded || predecessor.upstream.getActiveStarts().length === 0);
		if (candidatePresence !== 'answered' || !isReplaceable || !isConsidered(candidate)) {
			return;
		}

		if (predecessor !== undefined) {
			endExecutor(predecessor, presence === 'replaced' ? 'incarnation-answered' : presence);
		}

		candidates.delete(candidate);
		const announcement = candidate.announced.get();
		managed.executorInfo = announcement.executorInfo;
		managed.isLeaving = announcement.isLeaving;
		if (!candidate.isStored) {
			host.saveAnnouncement(announcement);
		}

		current = managed;
		log.info({executor: managed.executorInfo}, 'executor announced');
		void startAgent(managed);
	}

	async function receiveDeparture({id, bornAt}: ExecutorDeparture): Promise<void> {
		for (const candidate of candidates) {
			const {executorInfo} = candidate.announced.get();
			if (executorInfo.id === id && (bornAt === undefined || executorInfo.bornAt === bornAt)) {
				dropCandidate(candidate, 'it has deregistered itself');
			}
		}

		if (current === undefined || current.hasEnded || !isAnnouncementOf(current, {...current.executorInfo, id, bornAt: bornAt ?? current.executorInfo.bornAt})) {
			reportIgnored({executor: id, bornAt}, 'deregistration of another executor');
			return;
		}

		const leaving = current;
		log.info({...toLogFields(leaving.executorInfo), runs: leaving.upstream.getActiveStarts().length}, 'executor deregisters; its runs are stopped');
		leaving.hasDeregistered = true;
		leaving.announced.recordDeparture();
		// If this process restarts before the next executor announces itself, it must start nothing on this one.
		applyAnnounced(leaving);
		await Promise.race([leaving.upstream.stopAll('executor-left'), sleep(clock, departureLimitMs)]);
		log.info({executor: id, runs: leaving.upstream.getActiveStarts().length}, 'executor left');
	}

	function updateCurrent(managed: ManagedExecutor, outcome: AnnouncementOutcome): void {
		const {executorInfo: {room}, isLeaving} = managed.announced.get();
		// An executor that has only been said to shut down is used again.
		managed.hasDeregistered &&= isLeaving;
		if (outcome === 'in-force') {
			managed.agent?.setCapacity(room);
		}

		applyAnnounced(managed);
	}

	/** Stores what has changed, and tells the agent. */
	function applyAnnounced(managed: ManagedExecutor): void {
		const announcement = managed.announced.get();
		const {executorInfo: before, isLeaving: wasLeaving} = managed;
		const {executorInfo, isLeaving} = announcement;
		if (areSameAnnouncements({executorInfo: before, isLeaving: wasLeaving}, announcement)) {
			return;
		}

		host.saveAnnouncement(announcement);
		managed.executorInfo = executorInfo;
		managed.isLeaving = isLeaving;
		if (!areEqualResources(before.room, executorInfo.room)) {
			log.info({executor: executorInfo.id, room: executorInfo.room, roomBefore: before.room}, 'executor capacity changed');
		}

		if (wasLeaving !== isLeaving) {
			log.info({executor: executorInfo.id, isLeaving}, 'executor state changed');
			managed.agent?.setUpstreamLeaving(isLeaving);
		}

		if (!areSameDescriptions(before, executorInfo)) {
			log.warn({executor: executorInfo, before}, 'the executor goes on with another description than was announced first');
			void replaceAgent(managed);
		}
	}

	// Entries place tasks by the service and the labels that an agent tells them once, so another agent tells them the right ones.
	async function replaceAgent(managed: ManagedExecutor): Promise<void> {
		if (managed.agent === undefined || managed.isReplacingAgent) {
			return;
		}

		managed.isReplacingAgent = true;
		const previous = managed.agent;
		let report = await previous.drain();
		while (report.running > 0 && isInUse(managed)) {
			report = await previous.drain();
		}

		managed.isReplacingAgent = false;
		if (isInUse(managed)) {
			previous.stop();
			createAgent(managed);
		}
	}

	function isInUse(managed: ManagedExecutor): boolean {
		return !managed.hasEnded && !hasRestarted(managed) && !isStopping;
	}

	function createManagedExecutor(executorInfo: ExecutorInfo, announced: AnnouncedState): ManagedExecutor {
		const managed: ManagedExecutor = {
			executorInfo,
			incarnation: toIncarnation(executorInfo.id, executorInfo.bornAt),
			announced,
			isReplacingAgent: false,
			isLeaving: announced.get().isLeaving,
			hasDeregistered: false,
			hasEnded: false,
			upstream: host.createUpstream(executorInfo, {
				onReplaced() {
					if (managed === current) {
						endExecutor(managed, 'incarnation-answered');
					} else {
						managed.hasEnded = true;
					}
				},
				onRestarted(restart) {
					if (managed === current) {
						handleRestart(managed, restart);
					} else {
						managed.hasEnded = true;
					}
				},
				onFormerRunsLost(starts) {
					reportCrash(managed, managed.formerIncarnation ?? managed.incarnation, starts);
				},
				onProgress(start, elapsed, percent) {
					managed.agent?.recordProgress(start, elapsed, percent);
				},
				onProjectedSlowdowns(projections) {
					managed.agent?.recordProjectedSlowdowns(projections);
				},
				onUnreachable() {
					managed.agent?.probeUpstream();
				},
				onShortage() {
					managed.agent?.recordShortage();
				},
				getSilentRunLimit: () => managed.agent?.getSilentRunLimit() ?? Infinity,
				tryGetPermission: start => managed.agent?.tryGetPermission(start),
				onRefused() {
					if (managed === current && managed.hasDeregistered) {
						endExecutor(managed, 'deregistered');
					}
				},
				onRunsLost(starts) {
					if (managed.hasDeregistered) {
						log.info({executor: executorInfo.id, runs: starts.length}, 'the executor that has left does not answer; its runs end with their lease');
						return;
					}

					log.warn({executor: executorInfo.id, runs: starts.length}, 'runs lost; the executor may have crashed');
					reportLoss(managed, LossState.LOSS_STATE_SUSPECTED, starts);
				},
				onRecovered() {
					log.info({executor: executorInfo.id}, 'the executor answers again; it had not crashed');
					reportLoss(managed, LossState.LOSS_STATE_ALIVE, []);
				},
			}, getLowestFencingToken()),
		};
		return managed;
	}

	/** Returns the fencing token that the calls of the next upstream need at least. */
	function getLowestFencingToken(): number {
		const upstreams = [current, ...[...candidates].map(({managed}) => managed)].flatMap(managed => managed === undefined ? [] : [managed.upstream]);
		return Math.max(0, ...upstreams.map(upstream => upstream.getFencingToken()));
	}

	// The agent reports the executor to entries only after all runs that an earlier agent started there have ended.
	async function startAgent(managed: ManagedExecutor): Promise<void> {
		await managed.upstream.takeOver();
		if (!isInUse(managed)) {
			return;
		}

		createAgent(managed);
		log.info({executor: managed.executorInfo.id}, 'executor taken over');
	}

	function createAgent(managed: ManagedExecutor): void {
		managed.agent = host.createAgent(managed.executorInfo, managed.upstream, managed.incarnation);
		managed.agent.setUpstreamLeaving(managed.isLeaving);
	}

	function reportCrash(managed: ManagedExecutor, incarnation: string, starts: readonly TaskStart[]): void {
		// An executor that leaves does not crash.
		if (!managed.isLeaving) {
			log.warn({executor: managed.executorInfo.id, runs: starts.length}, 'executor crashed');
			reportLoss(managed, LossState.LOSS_STATE_CRASHED, starts, incarnation);
		}
	}

	function reportLoss(managed: ManagedExecutor, state: LossState, starts: readonly TaskStart[], incarnation = managed.incarnation): void {
		host.lossLog.report(incarnation, state, starts.map(start => toLostTask(start)));
		host.metrics.count('executor.lost', 1, {state: lossStateNames[state]});
		managed.agent?.reportLosses();
	}

	function reportIgnored(fields: Readonly<Record<string, unknown>>, reason: string): void {
		log.info({...fields, inService: current === undefined ? undefined : toLogFields(current.executorInfo), reason}, 'announcement ignored');
		host.metrics.count('announcement.ignored', 1, {reason});
	}

	// The runs that the next incarnation has begun go on under the agent that has started them. The executor is taken over, and its
	// resources are offered again, once they have ended and it has announced itself.
	function handleRestart(managed: ManagedExecutor, {startedAt, formerAge, lost}: UpstreamRestart): void {
		if (managed.hasEnded) {
			return;
		}

		recordEnd(managed, 'incarnation-answered', lost, formerAge);
		managed.formerIncarnation = managed.incarnation;
		managed.upstream.abort(lost, endedDetail);
		managed.incarnation = toIncarnation(managed.executorInfo.id, startedAt);
		const remaining = managed.upstream.getActiveStarts().length;
		if (remaining === 0) {
			retire(managed);
			return;
		}

		log.info({...toLogFields(managed.executorInfo), startedAt, runs: remaining}, 'runs go on at the next incarnation of the executor, or may have begun there');
		managed.agent?.setUpstreamLeaving(true);
		void managed.upstream.whenIdle().then(() => {
			retire(managed);
		});
	}

	/** Ends the service of an incarnation of the executor of which no run can go on. */
	function endExecutor(ended: ManagedExecutor, evidence: EndEvidence): void {
		if (!ended.hasEnded) {
			const lost = ended.upstream.getActiveStarts();
			recordEnd(ended, evidence, lost);
			ended.upstream.abort(lost, endedDetail);
			retire(ended);
		}
	}

	/** Reports the end of an incarnation of the executor, which has crashed unless it had announced that it leaves. */
	function recordEnd(ended: ManagedExecutor, evidence: EndEvidence, lost: readonly TaskStart[], lastAnswerAge?: Milliseconds): void {
		log.warn({
			...toLogFields(ended.executorInfo),
			evidence,
			lastAnswerAge: lastAnswerAge === undefined ? undefined : Math.round(lastAnswerAge),
			isLeaving: ended.isLeaving,
			runs: lost.length,
			tasks: lost.slice(0, maxLoggedRuns).map(({reference, task}) => `${reference}.${task?.index}`),
		}, 'service of the executor has ended');
		host.metrics.count('executor.ended', 1, {evidence});
		reportCrash(ended, ended.incarnation, lost);
	}

	function retire(managed: ManagedExecutor): void {
		if (managed.hasEnded) {
			return;
		}

		managed.hasEnded = true;
		// Leaves the links open until they have carried the results of the aborted runs.
		host.afterFlush(() => {
			managed.agent?.stop();
			void managed.upstream.close();
		});
	}
}

const endedDetail = 'the executor ended';

function toIncarnation(id: string, startedAt: number): string {
	return `${id}@${startedAt}`;
}

function toLogFields({id, bornAt, address}: ExecutorInfo): {readonly executor: string; readonly bornAt: number; readonly address: string} {
	return {executor: id, bornAt, address};
}

function areSameIncarnations(a: ExecutorInfo, b: ExecutorInfo): boolean {
	return a.id === b.id && a.address === b.address && a.bornAt === b.bornAt;
}

function areSameAnnouncements(a: ExecutorAnnouncement, b: ExecutorAnnouncement): boolean {
	return a.isLeaving === b.isLeaving && areEqualResources(a.executorInfo.room, b.executorInfo.room) && areSameDescriptions(a.executorInfo, b.executorInfo);
}

function hasRestarted({formerIncarnation}: ManagedExecutor): boolean {
	return formerIncarnation !== undefined;
}

/** Whether `executorInfo` is that of the incarnation after the one in service, whose service or labels are others. */
function hasChangedWithRestart(managed: ManagedExecutor, executorInfo: ExecutorInfo): boolean {
	const {executorInfo: known, hasEnded, upstream} = managed;
	return hasRestarted(managed) && !hasEnded && known.id === executorInfo.id && upstream.tryGetExecutorStart() === executorInfo.bornAt
		&& !areSameDescriptions({...known, bornAt: executorInfo.bornAt}, executorInfo);
}

/** Whether `executorInfo` names this incarnation, by the start that it has announced or answered. */
function isAnnouncementOf(managed: ManagedExecutor, {id, address, bornAt}: ExecutorInfo): boolean {
	const {executorInfo: known, upstream} = managed;
	// An executor that does not state its start has confirmed none, so a start in an announcement may be another writer's.
	return known.id === id && known.address === address
		&& ((known.bornAt === bornAt && !hasRestarted(managed)) || upstream.tryGetExecutorStart() === bornAt || !upstream.statesStart());
}

/** The start that identifies the executor may be missing in its first announcement, and has been confirmed by its answers then. */
function withConfirmedStart({executorInfo: {bornAt}, upstream}: ManagedExecutor, announcement: ReceivedAnnouncement): ReceivedAnnouncement {
	return upstream.statesStart() ? {...announcement, executorInfo: {...announcement.executorInfo, bornAt}} : announcement;
}
