/**
 * Simulated clients as on the users' platform: they name their jobs, hang up and send a job again to another entry when
 * its entry dies or says nothing, and hold each entry to what it answers.
 */
import {every, type Milliseconds} from '../../../src/process/clock.js';
import type {Answer} from '../../../src/request/types.js';
import {
	entryNames, taskCpu, type LeasedEntry, type LeasedCluster,
} from './cluster.js';

/** What one client saw of its job. */
export type ClientJob = {
	readonly name: string;
	readonly tasks: number;
	/** How each try was answered; undefined for a broken or silent connection. */
	readonly replies: Array<Pick<Answer, 'state' | 'ran'> | undefined>;
	/** When nobody waited for it any more. */
	endedAt: Milliseconds | undefined;
};

/** All clients of a run. */
export type Clients = {
	readonly jobs: readonly ClientJob[];
	submit(tasks: number, hangUpAfter?: Milliseconds): ClientJob;
	/** The connections of an entry have broken. */
	breakConnections(entry: LeasedEntry): void;
};

type Connection = {
	readonly entry: LeasedEntry;
	isOpen: boolean;
	/** Called once when it breaks. */
	broken(): void;
};

/** Bounds of the platform: the time after which a job without an answer is sent again, and the time allowed in all. */
const retryMs: Milliseconds = 1300;
const timeLimitMs: Milliseconds = 5000;
/** Interval at which a client looks whether its entry is still there. */
const watchMs: Milliseconds = 20;
const attempts = 2;
const caller = {name: 'client', team: 'office'};

/** Creates the clients of a world. */
export function createClients(getWorld: () => LeasedCluster): Clients {
	const jobs: ClientJob[] = [];
	const connections = new Set<Connection>();

	return {
		jobs,
		submit(tasks, hangUpAfter) {
			const job: ClientJob = {
				name: `job-${jobs.length}`, tasks, replies: [], endedAt: undefined,
			};
			jobs.push(job);
			send(job, getWorld().sim.clock.now() + timeLimitMs, hangUpAfter);
			return job;
		},
		breakConnections(entry) {
			for (const connection of connections) {
				if (connection.entry === entry) {
					connection.broken();
				}
			}
		},
	};

	function send(job: ClientJob, until: Milliseconds, hangUpAfter?: Milliseconds): void {
		const {sim} = getWorld();
		const {clock, random: dice} = sim;
		const live = entryNames.map(name => getWorld().getEntry(name)).filter(({process}) => process.isAlive());
		const entry = live.length === 0 ? undefined : dice.pick(live);
		if (entry === undefined || clock.now() >= until) {
			retry();
			return;
		}

		const connection: Connection = {
			entry,
			isOpen: true,
			broken() {
				close(undefined);
				retry();
			},
		};
		connections.add(connection);
		let cancel: (() => void) | undefined;
		let goneFor: Milliseconds = 0;
		const silence = every(clock, watchMs, () => {
			goneFor = entry.process.isAlive() && !entry.process.isFrozen() ? 0 : goneFor + watchMs;
			if (goneFor >= retryMs) {
				hangUp();
				send(job, until);
			}
		});
		if (hangUpAfter !== undefined) {
			clock.after(hangUpAfter, () => {
				if (connection.isOpen) {
					hangUp();
					job.endedAt = clock.now();
				}
			});
		}

		clock.after(until - clock.now(), () => {
			if (connection.isOpen) {
				hangUp();
				job.endedAt = clock.now();
			}
		});
		reach(() => {
			const deadlineMs = until - clock.now();
			const taken = take(entry, job, Math.max(1, deadlineMs));
			cancel = taken.cancel;
			taken.whenAnswered(answer => {
				clock.after(dice.integer(1, 3), () => {
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

		function reach(action: () => void): void {
			clock.after(dice.integer(1, 3), () => {
				entry!.process.perform(() => {
					entry!.pauses.check();
					action();
				});
			});
		}

		function hangUp(): void {
			close(undefined);
			// It travels behind the request.
			clock.after(3, () => {
				reach(() => cancel?.());
			});
		}

		function close(answer: Answer | undefined): void {
			connection.isOpen = false;
			connections.delete(connection);
			silence.cancel();
			job.replies.push(answer);
		}

		function retry(): void {
			if (clock.now() + retryMs >= until) {
				job.endedAt = clock.now();
			} else {
				clock.after(retryMs, () => {
					send(job, until);
				});
			}
		}
	}
}

function take({coordinator: home, issuer}: LeasedEntry, job: ClientJob, deadlineMs: Milliseconds): {cancel(): void; whenAnswered(action: (answer: Answer) => void): void} {
	const [ticket] = issuer.issue(caller.name, 1);
	const outcome = home.submit(caller, {
		ticket: ticket!,
		submission: 'check',
		reference: job.name,
		deadlineMs,
		payloads: Array.from({length: job.tasks}, () => new Uint8Array()),
		isSingleRequest: false,
		expectedRun: 200,
		need: {resources: {cpu: taskCpu, memory: 1, accelerators: 0}},
		objective: {stretch: 1.6, margin: 60},
		maxFailedRuns: attempts,
		digest: '',
	});
	if (outcome.kind !== 'taken') {
		throw new Error(`a fresh ticket was not taken: ${outcome.kind}`);
	}

	return {
		cancel() {
			home.cancel(ticket!.text, 'its client');
		},
		whenAnswered(action) {
			outcome.job.whenAnswered(action);
		},
	};
}
