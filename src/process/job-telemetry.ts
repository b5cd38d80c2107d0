/**
 * Writes what an entry decides about its jobs to the log and the metrics.
 */
import type {Decision, CoordinatorHost} from '../request/coordinator-types.js';
import type {Isolation} from '../request/lost-tasks.js';
import type {JobHandle} from '../request/tracked-job.js';
import type {Answer} from '../request/types.js';
import type {Milliseconds} from './clock.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** Dependencies of the job telemetry. */
export type JobTelemetryHost = {
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Creates the callbacks of a coordinator that log and count its decisions and answers. */
export function createJobTelemetry({log, metrics}: JobTelemetryHost): Pick<CoordinatorHost, 'onDecision' | 'onAnswered'> {
	return {
		onDecision({ticket, reference, event}: Decision) {
			const {kind, ...inputs} = event;
			log.info({ticket, request: reference, ...inputs}, kind === 'accepted' ? 'job taken' : `task ${kind}`);
		},
		onAnswered(job: JobHandle, answer: Answer, elapsed: Milliseconds) {
			const kind = answer.diagnostic?.kind ?? 'Complete';
			metrics.count('job.answered', 1, {state: answer.state, ran: answer.ran, kind});
			metrics.time('job.response', elapsed, {state: answer.state});
			log.info({
				ticket: job.ticket.text, request: job.reference, tasks: job.taskCount, elapsed: Math.round(elapsed), ran: answer.ran, retryAfter: answer.retryAfter, diagnostic: answer.diagnostic,
			}, `job ${answer.state}`);
		},
	};
}

/** Creates a callback that logs and measures changes of the isolation of tasks. */
export function createIsolationTelemetry({log, metrics}: JobTelemetryHost): (isolation: Isolation) => void {
	let last: Isolation = {share: 0, suspectSubmission: undefined};

	return isolation => {
		metrics.gauge('isolated.share', isolation.share);
		if (isolation.share !== last.share || isolation.suspectSubmission !== last.suspectSubmission) {
			log.warn({...isolation}, isolation.share === 0 ? 'tasks are no longer isolated' : 'tasks that were lost repeatedly are isolated');
			last = isolation;
		}
	};
}
