/**
 * Serves the executor beside this process. Each incarnation of the executor gets an agent of its own, so that a report
 * about one incarnation never counts for a later one.
 */
import {toLostTask, type LossLog} from '../connection/loss-log.js';
import {areEqualResources} from '../connection/resources.js';
import {LossState, type TaskStart} from '../generated/kingcuplane.js';
import type {Agent} from './agent-types.js';
import type {ExecutorInfo} from './executor-types.js';
import type {LeasedUpstream, LeasedUpstreamHost} from './leased-upstream.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** What the executor last announced about itself. */
export type ExecutorAnnouncement = {
	readonly executorInfo: ExecutorInfo;
	readonly isLeaving: boolean;
};

/** The events of an upstream that the manager handles. */
export type UpstreamEvents = Pick<LeasedUpstreamHost, 'onIncarnationChanged' | 'onProgress' | 'onProjectedSlowdowns' | 'onUnreachable' | 'onShortage' | 'onRunsLost' | 'onRecovered' | 'getSilentRunLimit'>;

/** Dependencies of the manager. */
export type ExecutorManagerHost = {
	readonly log: Log;
	readonly metrics: Metrics;
	/** Losses of all incarnations of the executor. */
	readonly lossLog: LossLog;
	createUpstream(executorInfo: ExecutorInfo, events: UpstreamEvents): LeasedUpstream;
	/** Creates the agent of an executor that has been taken over. */
	createAgent(executorInfo: ExecutorInfo, upstream: LeasedUpstream, upstreamIncarnation: string): Agent;
	/** Runs an action after the results of this turn of the event loop were sent. */
	afterFlush(action: () => void): void;
	/** Stores an announcement for the next process beside this executor. */
	saveAnnouncement(announcement: ExecutorAnnouncement): void;
};

/** Serves one executor at a time. */
export type ExecutorManager = {
	/** Uses the announcement that an earlier process has stored, unless the executor has announced itself since. */
	restore(announcement: ExecutorAnnouncement): void;
	/** Handles an announcement that the executor has just made. */
	receive(announcement: ExecutorAnnouncement): void;
	/** Handles the announcement of an executor that it has shut down. */
	receiveDeparture(id: string): void;
	tryGetAgent(): Agent | undefined;
	/** Refuses further announcements; the current agent keeps running. */
	stopReceiving(): void;
	/** Stops the agent and closes the upstream. */
	close(): Promise<void>;
};

/** What showed that the service of an executor has ended. */
type EndEvidence =
	/** Another incarnation has answered at the executor's own address. */
	| 'incarnation-answered'
	/** Another executor, or another incarnation, was announced. */
	| 'announced'
	/** The executor has deregistered itself. */
	| 'deregistered';

/** Maximum number of runs that one log line names. */
const maxLoggedRuns = 20;

const lossStateNames: Readonly<Record<LossState, string>> = {
	[LossState.LOSS_STATE_SUSPECTED]: 'suspected',
	[LossState.LOSS_STATE_CRASHED]: 'crashed',
	[LossState.LOSS_STATE_ALIVE]: 'alive',
	[LossState.UNRECOGNIZED]: 'unknown',
};

/** One incarnation of the executor and the agent that serves it. */
type ManagedExecutor = {
	executorInfo: ExecutorInfo;
	readonly upstream: LeasedUpstream;
	/** Undefined until the executor has been taken over. */
	agent?: Agent;
	isLeaving: boolean;
	hasEnded: boolean;
};

/** Creates a manager that knows no executor. */
export function createExecutorManager(host: ExecutorManagerHost): ExecutorManager {
	const {log} = host;
	let current: ManagedExecutor | undefined;
	let isStopping = false;

	return {
		// The executor may have restarted since; it then refuses calls that are meant for the earlier incarnation.
		restore({executorInfo, isLeaving}) {
			if (current === undefined && !isStopping) {
				replaceExecutor(executorInfo, isLeaving);
			}
		},
		receive,
		receiveDeparture(id) {
			if (current?.executorInfo.id === id) {
				log.info({executor: id}, 'executor left');
				// If this process restarts before the next executor announces itself, it must not use this one again.
				host.saveAnnouncement({executorInfo: current.executorInfo, isLeaving: true});
				current.isLeaving = true;
				endExecutor(current, 'deregistered');
			} else {
				reportIgnored({executor: id}, 'deregistration of another executor');
			}
		},
		tryGetAgent: () => current?.agent,
		stopReceiving() {
			isStopping = true;
		},
		async close() {
			current?.agent?.stop();
			await current?.upstream.close();
		},
	};

	function receive({executorInfo, isLeaving}: ExecutorAnnouncement): void {
		if (isStopping) {
			return;
		}

		if (current === undefined || current.hasEnded || current.executorInfo.id !== executorInfo.id || current.executorInfo.bornAt !== executorInfo.bornAt) {
			if (current !== undefined && !current.hasEnded && executorInfo.bornAt < current.executorInfo.bornAt) {
				reportIgnored(toLogFields(executorInfo), 'earlier incarnation');
				return;
			}

			host.saveAnnouncement({executorInfo, isLeaving});
			replaceExecutor(executorInfo, isLeaving);
			return;
		}

		const hasNewCapacity = !areEqualResources(current.executorInfo.room, executorInfo.room);
		const hasNewState = current.isLeaving !== isLeaving;
		if (hasNewCapacity || hasNewState) {
			host.saveAnnouncement({executorInfo, isLeaving});
		}

		if (hasNewCapacity) {
			log.info({executor: executorInfo.id, room: executorInfo.room, roomBefore: current.executorInfo.room}, 'executor capacity changed');
			current.executorInfo = executorInfo;
		}

		current.agent?.setCapacity(executorInfo.room);
		if (hasNewState) {
			current.isLeaving = isLeaving;
			log.info({executor: executorInfo.id, isLeaving}, 'executor state changed');
			current.agent?.setUpstreamLeaving(isLeaving);
		}
	}

	function replaceExecutor(executorInfo: ExecutorInfo, isLeaving: boolean): void {
		if (current !== undefined) {
			endExecutor(current, 'announced');
		}

		log.info({executor: executorInfo}, 'executor announced');
		const next: ManagedExecutor = {
			executorInfo,
			isLeaving,
			hasEnded: false,
			upstream: host.createUpstream(executorInfo, {
				onIncarnationChanged() {
					log.warn({executor: executorInfo.id}, 'another incarnation of the executor has answered');
					endExecutor(next, 'incarnation-answered');
				},
				onProgress(start, elapsed, percent) {
					next.agent?.recordProgress(start, elapsed, percent);
				},
				onProjectedSlowdowns(projections) {
					next.agent?.recordProjectedSlowdowns(projections);
				},
				onUnreachable() {
					next.agent?.probeUpstream();
				},
				onShortage() {
					next.agent?.recordShortage();
				},
				getSilentRunLimit: () => next.agent?.getSilentRunLimit() ?? Infinity,
				onRunsLost(starts) {
					log.warn({executor: executorInfo.id, runs: starts.length}, 'runs lost; the executor may have crashed');
					reportLoss(next, LossState.LOSS_STATE_SUSPECTED, starts);
				},
				onRecovered() {
					log.info({executor: executorInfo.id}, 'the executor answers again; it had not crashed');
					reportLoss(next, LossState.LOSS_STATE_ALIVE, []);
				},
			}),
		};
		current = next;
		void startAgent(next);
	}

	// The agent reports the executor to entries only after all runs that an earlier agent started there have ended.
	async function startAgent(managed: ManagedExecutor): Promise<void> {
		await managed.upstream.takeOver();
		if (managed.hasEnded || isStopping) {
			return;
		}

		managed.agent = host.createAgent(managed.executorInfo, managed.upstream, getIncarnation(managed));
		managed.agent.setUpstreamLeaving(managed.isLeaving);
		log.info({executor: managed.executorInfo.id}, 'executor taken over');
	}

	function reportLoss(managed: ManagedExecutor, state: LossState, starts: readonly TaskStart[]): void {
		host.lossLog.report(getIncarnation(managed), state, starts.map(start => toLostTask(start)));
		host.metrics.count('executor.lost', 1, {state: lossStateNames[state]});
		managed.agent?.reportLosses();
	}

	function reportIgnored(fields: Readonly<Record<string, unknown>>, reason: string): void {
		log.info({...fields, inService: current === undefined ? undefined : toLogFields(current.executorInfo), reason}, 'announcement ignored');
		host.metrics.count('announcement.ignored', 1, {reason});
	}

	/** Ends the service of an incarnation of the executor, which has crashed unless it had announced that it leaves. */
	function endExecutor(ended: ManagedExecutor, evidence: EndEvidence): void {
		if (ended.hasEnded) {
			return;
		}

		ended.hasEnded = true;
		const starts = ended.upstream.getActiveStarts();
		log.warn({
			...toLogFields(ended.executorInfo), evidence, isLeaving: ended.isLeaving, runs: starts.length, tasks: starts.slice(0, maxLoggedRuns).map(({reference, task}) => `${reference}.${task?.index}`),
		}, 'service of the executor has ended');
		host.metrics.count('executor.ended', 1, {evidence});
		if (!ended.isLeaving) {
			log.warn({executor: ended.executorInfo.id, runs: starts.length}, 'executor crashed');
			reportLoss(ended, LossState.LOSS_STATE_CRASHED, starts);
		}

		ended.upstream.abortAll('the executor ended');
		// Leaves the links open until they have carried the results of the aborted runs.
		host.afterFlush(() => {
			ended.agent?.stop();
			void ended.upstream.close();
		});
	}
}

function toLogFields({id, bornAt, address}: ExecutorInfo): {readonly executor: string; readonly bornAt: number; readonly address: string} {
	return {executor: id, bornAt, address};
}

function getIncarnation({executorInfo}: ManagedExecutor): string {
	return `${executorInfo.id}@${executorInfo.bornAt}`;
}
