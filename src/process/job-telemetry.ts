/**
 * Writes what an entry decides about its jobs to the log and the metrics.
 */
import type {LookAheadCounts} from '../connection/types.js';
import type {Decision, CoordinatorHost} from '../request/coordinator-types.js';
import type {Isolation} from '../request/lost-tasks.js';
import type {JobHandle} from '../request/tracked-job.js';
import type {Answer} from '../request/types.js';
import type {Milliseconds} from './clock.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** Dependencies of the job telemetry. */
export type JobTelemetryHost = {
	readonly log: Pick<Log, 'info' | 'warn'>;
	readonly metrics: Metrics;
};

type StartedEvent = Extract<Decision['event'], {readonly kind: 'started'}>;

/** Tasks of a job that were started on the same agent for the same reason, and share one line of the log. */
type StartedTasks = {
	readonly decision: Decision;
	readonly event: StartedEvent;
	readonly indexes: number[];
};

/**
 * Creates the callbacks of a coordinator that log and count its decisions and answers. `defer` runs an action at the end of this
 * turn of the event loop.
 */
export function createJobTelemetry({log, metrics, defer}: JobTelemetryHost & {defer(action: () => void): void}): Pick<CoordinatorHost, 'onDecision' | 'onAnswered'> {
	let started: StartedTasks | undefined;

	return {
		onDecision(decision) {
			const {ticket, reference, event} = decision;
			if (event.kind === 'started') {
				recordStart(decision, event);
				return;
			}

			logStarts();
			const {kind, ...inputs} = event;
			log.info({ticket, request: reference, ...inputs}, kind === 'accepted' ? 'job taken' : `task ${kind}`);
		},
		onAnswered(job: JobHandle, answer: Answer, elapsed: Milliseconds) {
			logStarts();
			const kind = answer.diagnostic?.kind ?? 'Complete';
			metrics.count('job.answered', 1, {state: answer.state, ran: answer.ran, kind});
			metrics.time('job.response', elapsed, {state: answer.state});
			log.info({
				ticket: job.ticket.text, request: job.reference, tasks: job.taskCount, elapsed: Math.round(elapsed), ran: answer.ran, retryAfter: answer.retryAfter, diagnostic: answer.diagnostic,
			}, `job ${answer.state}`);
		},
	};

	function recordStart(decision: Decision, event: StartedEvent): void {
		if (started?.decision.ticket === decision.ticket && isSameStart(started.event, event)) {
			started.indexes.push(event.index);
			return;
		}

		if (started === undefined) {
			defer(logStarts);
		} else {
			logStarts();
		}

		started = {decision, event, indexes: [event.index]};
	}

	function logStarts(): void {
		if (started === undefined) {
			return;
		}

		const {decision: {ticket, reference}, event: {kind, index, ...inputs}, indexes} = started;
		started = undefined;
		log.info({
			ticket, request: reference, indexes, ...inputs,
		}, 'tasks started');
	}
}

function isSameStart(a: StartedEvent, b: StartedEvent): boolean {
	return a.agent === b.agent && a.attempt === b.attempt && a.isolated === b.isolated && a.backfilled === b.backfilled;
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

/** Creates a callback that measures the reservations of resources, and logs their numbers when they have changed. */
export function createLookAheadTelemetry({log, metrics}: JobTelemetryHost): (counts: LookAheadCounts | undefined) => void {
	let lastReserved = 0;

	return counts => {
		if (counts === undefined) {
			return;
		}

		for (const [name, count] of Object.entries(counts)) {
			metrics.gauge(`lookahead.${name}`, count);
		}

		if (counts.reserved !== lastReserved) {
			log.info({...counts}, 'resources were reserved for large tasks');
			lastReserved = counts.reserved;
		}
	};
}
