/**
 * Asks all linked agents what they hold of a ticket whose home is dead, and works out the answer from it.
 */
import {TaskOutcome, type HeldReply, type HeldTask} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {Answer} from '../request/types.js';

/** Effects of the queries. */
export type HeldTaskQueriesHost = {
	readonly clock: Clock;
	/** Longest wait for the replies of all agents. */
	readonly timeoutMs: Milliseconds;
	/** Sends the query to every linked agent; gives their number. */
	broadcastQuery(id: number, ticket: string): number;
};

/** What the agents hold of one ticket. */
export type HeldTaskQueries = {
	query(ticket: string): Promise<readonly HeldTask[]>;
	receive(reply: HeldReply): void;
};

/** What agents' records tell about a job whose home is dead. */
export type RecoveryResult =
	/** `caller` is the one whom the answer belongs to. */
	| {readonly kind: 'answered'; readonly answer: Answer; readonly caller: string}
	/** Every task was started and none has failed, but some still run. */
	| {readonly kind: 'running'}
	/** The records do not cover the job. */
	| {readonly kind: 'unknown'};

type Pending = {
	readonly tasks: HeldTask[];
	missing: number;
	finish(): void;
};

/** Creates the queries of one entry. */
export function createHeldTaskQueries(host: HeldTaskQueriesHost): HeldTaskQueries {
	const pending = new Map<number, Pending>();
	let nextId = 1;

	return {
		async query(ticket) {
			const id = nextId++;
			return new Promise(resolve => {
				const tasks: HeldTask[] = [];
				const timer = host.clock.after(host.timeoutMs, finish);
				const entry: Pending = {tasks, missing: 0, finish};
				pending.set(id, entry);
				entry.missing = host.broadcastQuery(id, ticket);
				if (entry.missing === 0) {
					finish();
				}

				function finish(): void {
					timer.cancel();
					pending.delete(id);
					resolve(tasks);
				}
			});
		},
		receive(reply) {
			const entry = pending.get(reply.id);
			if (entry === undefined) {
				return;
			}

			entry.tasks.push(...reply.tasks);
			entry.missing--;
			if (entry.missing === 0) {
				entry.finish();
			}
		},
	};
}

/** Works out the answer of a job from all that agents hold of it. */
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
