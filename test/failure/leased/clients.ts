/**
 * Simulated clients that behave as on the users' platform: they name their jobs, disconnect and send a job again to
 * another entry when its entry dies or does not respond, and rely on the answers of the entries.
 */
import {every, type Milliseconds} from '../../../src/process/clock.js';
import type {Answer} from '../../../src/request/types.js';
import {
	entryNames, taskCpu, type LeasedEntry, type LeasedCluster,
} from './cluster.js';

/** What one client observed of its job. */
export type ClientJob = {
	readonly name: string;
	readonly tasks: number;
	/** Answer to each attempt; undefined if the connection broke or the entry did not respond. */
	readonly replies: Array<Pick<Answer, 'state' | 'ran'> | undefined>;
	/** When the client stopped waiting for the job. */
	endedAt: Milliseconds | undefined;
};

/** Unusual behaviour of a client or its job. */
export type SubmitOptions = {
	/** Time after which the client disconnects, if any. */
	readonly disconnectAfter?: Milliseconds;
	/** Total time that the client allows. */
	readonly timeLimit?: Milliseconds;
	/** Whether the first task of the job crashes each executor that starts it. */
	readonly isCrashing?: boolean;
};

/** All clients of a run. */
export type Clients = {
	readonly jobs: readonly ClientJob[];
	submit(tasks: number, options?: SubmitOptions): ClientJob;
	/** Breaks all connections to an entry. */
	breakConnections(entry: LeasedEntry): void;
};

type Connection = {
	readonly entry: LeasedEntry;
	isOpen: boolean;
	/** Called once when the connection breaks. */
	onBroken(): void;
};

/** Limits of the platform: the time without an answer after which a job is sent again, and the total time allowed. */
const retryMs: Milliseconds = 1300;
const timeLimitMs: Milliseconds = 5000;
/** Interval at which a client checks whether its entry responds. */
const checkIntervalMs: Milliseconds = 20;
const failedRunLimit = 2;
const crashingJobPrefix = 'crashing-';
const caller = {name: 'client', team: 'office'};

/** Creates the clients of a simulated cluster. */
export function createClients(getCluster: () => LeasedCluster): Clients {
	const jobs: ClientJob[] = [];
	const connections = new Set<Connection>();

	return {
		jobs,
		submit(tasks, {disconnectAfter, timeLimit = timeLimitMs, isCrashing = false} = {}) {
			const job: ClientJob = {
				name: `${isCrashing ? crashingJobPrefix : 'job-'}${jobs.length}`, tasks, replies: [], endedAt: undefined,
			};
			jobs.push(job);
			send(job, getCluster().sim.clock.now() + timeLimit, disconnectAfter);
			return job;
		},
		breakConnections(entry) {
			for (const connection of connections) {
				if (connection.entry === entry) {
					connection.onBroken();
				}
			}
		},
	};

	function send(job: ClientJob, timeLimitAt: Milliseconds, disconnectAfter?: Milliseconds): void {
		const {sim} = getCluster();
		const {clock, random} = sim;
		const live = entryNames.map(name => getCluster().getEntry(name)).filter(({process}) => process.isAlive());
		const entry = live.length === 0 ? undefined : random.pick(live);
		if (entry === undefined || clock.now() >= timeLimitAt) {
			retry();
			return;
		}

		const connection: Connection = {
			entry,
			isOpen: true,
			onBroken() {
				close(undefined);
				retry();
			},
		};
		connections.add(connection);
		let cancel: (() => void) | undefined;
		let unresponsiveTime: Milliseconds = 0;
		const responseTimer = every(clock, checkIntervalMs, () => {
			unresponsiveTime = entry.process.isAlive() && !entry.process.isFrozen() ? 0 : unresponsiveTime + checkIntervalMs;
			if (unresponsiveTime >= retryMs) {
				disconnect();
				send(job, timeLimitAt);
			}
		});
		if (disconnectAfter !== undefined) {
			clock.after(disconnectAfter, () => {
				if (connection.isOpen) {
					disconnect();
					job.endedAt = clock.now();
				}
			});
		}

		clock.after(timeLimitAt - clock.now(), () => {
			if (connection.isOpen) {
				disconnect();
				job.endedAt = clock.now();
			}
		});
		deliver(() => {
			const deadlineMs = timeLimitAt - clock.now();
			const submitted = submitJob(entry, job, Math.max(1, deadlineMs));
			cancel = submitted.cancel;
			submitted.whenAnswered(answer => {
				clock.after(random.integer(1, 3), () => {
					if (connection.isOpen && entry.process.isAlive()) {
						close(answer);
						if (answer.state === 'complete' || answer.ran === 'not-run') {
							job.endedAt = clock.now();
						} else {
							retry();
						}
					}
				});
			});
		});

		function deliver(action: () => void): void {
			clock.after(random.integer(1, 3), () => {
				entry!.process.perform(() => {
					entry!.pauseDetector.check();
					action();
				});
			});
		}

		function disconnect(): void {
			close(undefined);
			// The cancellation must arrive after the request, which takes up to 3 ms.
			clock.after(3, () => {
				deliver(() => cancel?.());
			});
		}

		function close(answer: Answer | undefined): void {
			connection.isOpen = false;
			connections.delete(connection);
			responseTimer.cancel();
			job.replies.push(answer);
		}

		function retry(): void {
			if (clock.now() + retryMs >= timeLimitAt) {
				job.endedAt = clock.now();
			} else {
				clock.after(retryMs, () => {
					send(job, timeLimitAt);
				});
			}
		}
	}
}

/** Whether a task crashes each executor that starts it. */
export function isCrashingTask(task: string): boolean {
	return task.startsWith(crashingJobPrefix) && task.endsWith('.0');
}

function submitJob({coordinator, issuer}: LeasedEntry, job: ClientJob, deadlineMs: Milliseconds): {cancel(): void; whenAnswered(action: (answer: Answer) => void): void} {
	const [ticket] = issuer.issue(caller.name, 1);
	const outcome = coordinator.submit(caller, {
		ticket: ticket!,
		submission: 'check',
		reference: job.name,
		deadlineMs,
		payloads: Array.from({length: job.tasks}, () => new Uint8Array()),
		isSingleRequest: false,
		expectedRun: 200,
		need: {resources: {cpu: taskCpu, memory: 1, accelerators: 0}},
		objective: {stretch: 1.6, margin: 60},
		maxFailedRuns: failedRunLimit,
		digest: '',
	});
	if (outcome.kind !== 'accepted') {
		throw new Error(`a new ticket was not accepted: ${outcome.kind}`);
	}

	return {
		cancel() {
			coordinator.cancel(ticket!.text, 'its client');
		},
		whenAnswered(action) {
			outcome.job.whenAnswered(action);
		},
	};
}
