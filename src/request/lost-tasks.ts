/**
 * Applies what is known about lost runs to the open jobs of an entry: which tasks are not started again, and which are kept
 * apart from the tasks of other jobs.
 */
import type {SentStart} from '../connection/agent-sessions.js';
import {
	createLossLog, isCrashProven, isLossLimitReached, type LossLog,
} from '../connection/loss-log.js';
import {createSuspectSubmissions} from '../connection/suspect-submissions.js';
import type {AgentInfo} from '../connection/types.js';
import type {LossReport} from '../generated/kingcuplane.js';
import type {Clock} from '../process/clock.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {JobFailure} from './job.js';
import type {OpenJob} from './open-job.js';

/** Which tasks run without tasks of other jobs beside them. */
export type Isolation = {
	/** Share of the agents that is reserved for such tasks; none if it is 0. */
	readonly share: number;
	/** The submission object all of whose tasks are isolated; undefined if only single tasks are. */
	readonly suspectSubmission: string | undefined;
};

/** Dependencies of the lost tasks. */
export type LostTasksHost = {
	readonly clock: Clock;
	/** Returns the number of linked upstreams. */
	getUpstreamCount(): number;
};

/** The lost tasks of the open jobs of one entry. */
export type LostTasks = {
	readonly log: LossLog;
	/** Records that the agent of a run is gone, and perhaps its upstream with it. */
	recordAgentGone(openJob: OpenJob, start: SentStart): LossReport;
	/** Returns the failure of a task that must not be started again; undefined if it may be. */
	tryGetTaskFailure(openJob: OpenJob, index: number): JobFailure | undefined;
	/** The same for the first such task of a job, among those that are waiting. */
	tryGetFailure(openJob: OpenJob): JobFailure | undefined;
	getIsolation(): Isolation;
	/** Whether a task must not run beside tasks of other jobs. */
	mustIsolate(openJob: OpenJob, index: number): boolean;
};

const noIsolation: Isolation = {share: 0, suspectSubmission: undefined};
/** Share of the agents that is reserved while single tasks are isolated, rounded up to whole agents. */
const singleTasksShare = 0.05;
/** Share of the agents that is reserved while all tasks of a submission object are isolated, rounded up. */
const submissionShare = 0.25;

/** Creates the state of an entry that knows of no lost runs. */
export function createLostTasks(host: LostTasksHost): LostTasks {
	const suspects = createSuspectSubmissions(host);
	const log = createLossLog({clock: host.clock, onLoss: suspects.recordLoss});

	return {
		log,
		recordAgentGone({repeatableName, request, queued}, {agent, index}) {
			return log.suspect(getUpstreamIncarnation(agent), {
				job: repeatableName, index, submission: request.submission, expectedRunMs: Math.round(queued.expectedRun),
			});
		},
		tryGetTaskFailure,
		tryGetFailure(openJob) {
			if (!log.hasJob(openJob.repeatableName)) {
				return undefined;
			}

			const {job} = openJob.tracked;
			for (let index = 0; index < job.taskCount; index++) {
				const failure = job.isWaiting(index) ? tryGetTaskFailure(openJob, index) : undefined;
				if (failure !== undefined) {
					return failure;
				}
			}

			return undefined;
		},
		getIsolation() {
			if (!suspects.hasSuspects()) {
				return noIsolation;
			}

			const suspectSubmission = suspects.tryGet();
			return {suspectSubmission, share: suspectSubmission === undefined ? singleTasksShare : submissionShare};
		},
		mustIsolate({repeatableName, request}, index) {
			return suspects.hasSuspects() && (suspects.tryGet() === request.submission || log.count(repeatableName, index).possible > 1);
		},
	};

	function tryGetTaskFailure({repeatableName}: OpenJob, index: number): JobFailure | undefined {
		const losses = log.count(repeatableName, index);
		if (!isLossLimitReached(losses)) {
			return undefined;
		}

		return {diagnostic: createDiagnostic(isCrashProven(losses) ? Diagnostics.Task_crashed_its_upstreams : Diagnostics.Task_was_lost_repeatedly, index, losses.possible)};
	}
}

/** Returns what identifies the incarnation of an agent's upstream. */
export function getUpstreamIncarnation({upstreamIncarnation, incarnation}: AgentInfo): string {
	return upstreamIncarnation ?? incarnation;
}
