/**
 * Simulated clients that behave as on the users' platform: they name their jobs, disconnect and send a job again to
 * another entry when its entry dies or does not respond, and rely on the answers of the entries.
 */
import {Buffer} from 'node:buffer';
import type {JobIntake} from '../../../src/platform/job-intake.js';
import type {JobReply} from '../../../src/platform/job-desk.js';
import {every, type Milliseconds} from '../../../src/process/clock.js';
import type {Answer} from '../../../src/request/types.js';
import {entryNames, taskCpu, type LeasedCluster} from './cluster.js';
import {failedRunLimit, jobTarget, type LeasedEntry} from './entry.js';

/** What a client is told about its job. */
export type ClientAnswer = Pick<Answer, 'state' | 'ran'>;

/** What one client observed of its job. */
export type ClientJob = {
	readonly name: string;
	readonly tasks: number;
	/** Answer to each attempt; undefined if the connection broke or the entry did not respond. */
	readonly replies: Array<ClientAnswer | undefined>;
	/** When the client sent the job first. */
	readonly sentAt: Milliseconds;
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
	/** Name of the entry that the client is connected to; a random one for each attempt if undefined. */
	readonly entry?: string;
	/** Name of the entry of all attempts but the first; that of the first if undefined. */
	readonly repeatEntry?: string;
	/** Declared run time. */
	readonly expectedRun?: Milliseconds;
};

/** All clients of a run. */
export type Clients = {
	readonly jobs: readonly ClientJob[];
	submit(tasks: number, options?: SubmitOptions): ClientJob;
	/** Breaks all connections to an entry. */
	breakConnections(entry: LeasedEntry): void;
	/** Breaks all connections to an entry, which sees its clients hang up. */
	resetConnections(entry: LeasedEntry): void;
};

type Connection = {
	readonly entry: LeasedEntry;
	isOpen: boolean;
	/** Called once when the connection breaks. */
	onBroken(): void;
	/** Called once when the connection breaks and its entry lives on. */
	onReset(): void;
};

/** Limits of the platform: the time without an answer after which a job is sent again, and the total time allowed. */
const retryMs: Milliseconds = 1300;
const timeLimitMs: Milliseconds = 5000;
/** Interval at which a client checks whether its entry responds. */
const checkIntervalMs: Milliseconds = 20;
const defaultExpectedRunMs: Milliseconds = 200;
/** Processor time that an entry spends on receiving a request and sending its response. */
const requestCostMs: Milliseconds = 1;
/** First digit of the names of jobs whose first task crashes its executor; those of other jobs start with 0. */
const crashingDigit = 'c';
const nameLength = 16;
const caller = {name: 'client', team: 'office'};

/** Creates the clients of a simulated cluster. */
export function createClients(getCluster: () => LeasedCluster): Clients {
	const jobs: ClientJob[] = [];
	const connections = new Set<Connection>();

	return {
		jobs,
		submit(tasks, options = {}) {
			const {now} = getCluster().sim.clock;
			const job: ClientJob = {
				name: createName(jobs.length, options.isCrashing ?? false), tasks, replies: [], sentAt: now(), endedAt: undefined,
			};
			jobs.push(job);
			send(job, now() + (options.timeLimit ?? timeLimitMs), options);
			return job;
		},
		breakConnections(entry) {
			for (const connection of connections) {
				if (connection.entry === entry) {
					connection.onBroken();
				}
			}
		},
		resetConnections(entry) {
			for (const connection of connections) {
				if (connection.entry === entry) {
					connection.onReset();
				}
			}
		},
	};

	function send(job: ClientJob, timeLimitAt: Milliseconds, options: SubmitOptions): void {
		const {disconnectAfter} = options;
		const {sim} = getCluster();
		const {clock, random} = sim;
		const live = entryNames.map(name => getCluster().getEntry(name)).filter(({process}) => process.isAlive());
		const entry = options.entry === undefined ? (live.length === 0 ? undefined : random.pick(live)) : getCluster().getEntry(options.entry);
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
			onReset() {
				disconnect();
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
				send(job, timeLimitAt, toRepeat(options));
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
			entry.process.spend(entry.intake === undefined ? 0 : requestCostMs);
			const submitted = submitJob(entry, job, Math.max(1, deadlineMs), options.expectedRun ?? defaultExpectedRunMs);
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

		function close(answer: ClientAnswer | undefined): void {
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
					send(job, timeLimitAt, toRepeat(options));
				});
			}
		}
	}
}

function toRepeat({entry, repeatEntry, ...options}: SubmitOptions): SubmitOptions {
	return {
		...options, repeatEntry, entry: repeatEntry ?? entry, disconnectAfter: undefined,
	};
}

/** Whether a task crashes each executor that starts it. */
export function isCrashingTask(task: string): boolean {
	return task.startsWith(crashingDigit) && task.endsWith('.0');
}

function createName(number: number, isCrashing: boolean): string {
	return `${isCrashing ? crashingDigit : '0'}${number.toString(16).padStart(nameLength - 1, '0')}`;
}

type SubmittedJob = {
	cancel(): void;
	whenAnswered(action: (answer: ClientAnswer) => void): void;
};

function submitJob({intake, ...entry}: LeasedEntry, job: ClientJob, deadlineMs: Milliseconds, expectedRun: Milliseconds): SubmittedJob {
	return intake === undefined ? submitDirectly(entry, job, deadlineMs, expectedRun) : submitByRoute(entry, intake, job, deadlineMs, expectedRun);
}

/** Submits a job as the HTTP interface does. */
function submitByRoute({desk, process}: Pick<LeasedEntry, 'desk' | 'process'>, intake: JobIntake, job: ClientJob, deadlineMs: Milliseconds, expectedRun: Milliseconds): SubmittedJob {
	const actions: Array<() => void> = [];
	let hasLeft = false;
	return {
		cancel() {
			hasLeft = true;
			for (const action of actions) {
				action();
			}
		},
		whenAnswered(action) {
			void reply().then(received => {
				if (received !== undefined) {
					action(toAnswer(received));
				}
			});
		},
	};

	async function reply(): Promise<JobReply | undefined> {
		const target = {host: jobTarget.host, path: `${jobTarget.pathPrefix}${job.name}`};
		const match = desk.findRoute(target.host, target.path);
		const admitted = 'status' in match ? match : intake.admit(target, match);
		if ('status' in admitted) {
			return admitted;
		}

		const body = {
			spec: 'x', 'best-effort': true, steps: [{
				count: job.tasks, cpu: taskCpu, 'mem-mb': 1, 'est-runtime-ms': expectedRun,
			}],
		};
		return intake.submit(admitted, Buffer.from(JSON.stringify(body)), deadlineMs, {
			onCancelled(action) {
				if (hasLeft) {
					action();
				} else {
					actions.push(action);
				}
			},
			// What has waited with the request is performed before this.
			isWaiting: async () => new Promise(resolve => {
				process.clock.after(0, () => {
					resolve(!hasLeft);
				});
			}),
		});
	}
}

function toAnswer({status, body}: JobReply): ClientAnswer {
	switch (status) {
		case 200: {
			return {state: body === '{"state":"completed"}' ? 'complete' : 'failed', ran: 'ran'};
		}

		case 429:
		case 503: {
			return {state: 'refused', ran: 'not-run'};
		}

		default: {
			return {state: 'failed', ran: 'may-have-run'};
		}
	}
}

function submitDirectly({coordinator, issuer}: Pick<LeasedEntry, 'coordinator' | 'issuer'>, job: ClientJob, deadlineMs: Milliseconds, expectedRun: Milliseconds): SubmittedJob {
	const [ticket] = issuer.issue(caller.name, 1);
	const outcome = coordinator.submit(caller, {
		ticket: ticket!,
		submission: 'check',
		reference: job.name,
		deadlineMs,
		payloads: Array.from({length: job.tasks}, () => new Uint8Array()),
		isSingleRequest: false,
		expectedRun,
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
