/**
 * Queries all linked agents for their records of the tasks of a ticket whose coordinator is dead, and derives the answer
 * of the job from their replies.
 */
import {TaskOutcome, type HeldReply, type HeldTask} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {Answer} from '../request/types.js';

/** Dependencies of the queries. */
export type HeldTaskQueriesHost = {
	readonly clock: Clock;
	/** Maximum time to wait for the replies of all agents. */
	readonly timeoutMs: Milliseconds;
	/** Sends the query to every linked agent and returns the number of these agents. */
	broadcastQuery(id: number, ticket: string): number;
};

/** Queries to agents for their records of the tasks of a ticket. */
export type HeldTaskQueries = {
	/** Resolves to the recorded tasks in the replies that arrive before the timeout. */
	query(ticket: string): Promise<readonly HeldTask[]>;
	receive(reply: HeldReply): void;
};

/** What can be derived from the agents' records about a job whose coordinator is dead. */
export type RecoveryResult =
	/** `caller` is the caller that submitted the job. */
	| {readonly kind: 'answered'; readonly answer: Answer; readonly caller: string}
	/** Every task was started and none has failed, but some are still running. */
	| {readonly kind: 'running'}
	/** The records do not cover all tasks, or the outcome of a task is unknown. */
	| {readonly kind: 'unknown'};

type PendingQuery = {
	readonly tasks: HeldTask[];
	missingReplies: number;
	finish(): void;
};

/** Creates the queries of one entry. */
export function createHeldTaskQueries(host: HeldTaskQueriesHost): HeldTaskQueries {
	const pendingQueries = new Map<number, PendingQuery>();
	let nextId = 1;

	return {
		async query(ticket) {
			const id = nextId++;
			return new Promise(resolve => {
				const tasks: HeldTask[] = [];
				const timer = host.clock.after(host.timeoutMs, finish);
				const pendingQuery: PendingQuery = {tasks, missingReplies: 0, finish};
				pendingQueries.set(id, pendingQuery);
				pendingQuery.missingReplies = host.broadcastQuery(id, ticket);
				if (pendingQuery.missingReplies === 0) {
					finish();
				}

				function finish(): void {
					timer.cancel();
					pendingQueries.delete(id);
					resolve(tasks);
				}
			});
		},
		receive(reply) {
			const pendingQuery = pendingQueries.get(reply.id);
			if (pendingQuery === undefined) {
				return;
			}

			pendingQuery.tasks.push(...reply.tasks);
			pendingQuery.missingReplies--;
			if (pendingQuery.missingReplies === 0) {
				pendingQuery.finish();
			}
		},
	};
}

/** Derives the answer of a job from all records that agents hold of its tasks. */
export function recoverAnswer(tasks: readonly HeldTask[]): RecoveryResult {
	const started = tasks.filter(task => task.result?.outcome !== TaskOutcome.TASK_OUTCOME_REFUSED);
	const [first] = started;
	if (first === undefined) {
		return {kind: 'unknown'};
	}

	const failure = started.find(task => task.result?.outcome === TaskOutcome.TASK_OUTCOME_FAILED);
	if (failure !== undefined) {
		const diagnostic = createDiagnostic(Diagnostics.Task_failed, failure.task!.index, 'its upstream', failure.result!.detail);
		return {kind: 'answered', answer: {state: 'failed', ran: 'ran', diagnostic}, caller: first.caller};
	}

	const byIndex = new Map(started.map(task => [task.task!.index, task]));
	const isCovered = byIndex.size === first.taskCount;
	const isUnknown = started.some(task => task.result?.outcome === TaskOutcome.TASK_OUTCOME_UNKNOWN);
	if (!isCovered || isUnknown) {
		return {kind: 'unknown'};
	}

	if (started.some(task => task.running)) {
		return {kind: 'running'};
	}

	const payloads = Array.from({length: first.taskCount}, (_, index) => byIndex.get(index)!.result!.payload);
	return {kind: 'answered', answer: {state: 'complete', ran: 'ran', payloads}, caller: first.caller};
}
