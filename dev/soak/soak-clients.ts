/**
 * Clients of a soak. They behave as the platform documents: they keep connections open, send a job again to another entry after a
 * lost connection or an answer without a definite outcome, and some leave before they are answered.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import type {PlatformReply, PlatformSystem} from '../platform-system.js';
import {drawExponential, drawInteger, type Random} from '../random.js';

/** What became of one job, as its client saw it. */
export type SoakJob = {
	readonly name: string;
	readonly tasks: number;
	/** Whether one of its tasks fails or crashes its executor, so that it need not complete. */
	readonly isFaulty: boolean;
	readonly sentAt: Milliseconds;
	/** Statuses of the responses; undefined if there was none. */
	readonly statuses: Array<number | undefined>;
	/** Body of the last response. */
	body: string;
	/** When the client stopped waiting; undefined while it waits. */
	endedAt: Milliseconds | undefined;
};

/** The clients of a run. */
export type SoakClients = {
	readonly jobs: readonly SoakJob[];
	/** Sends jobs at random times until `until` on the wall clock. Resolves when all of them have ended. */
	run(until: Milliseconds, jobsPerSecond: number): Promise<void>;
	/** Sends one sound job and resolves when it has ended. */
	submit(): Promise<SoakJob>;
};

/** Time after which a job without a definite answer is sent again. */
const retryMs: Milliseconds = 1300;
const minTimeLimitMs: Milliseconds = 1500;
const maxTimeLimitMs: Milliseconds = 3000;
const leavingShare = 0.08;
const failingShare = 0.03;
const crashingShare = 0.003;
const nameLength = 16;

/** Creates the clients of a system. */
export function createSoakClients(system: PlatformSystem, random: Random): SoakClients {
	const jobs: SoakJob[] = [];

	return {
		jobs,
		async run(until, jobsPerSecond) {
			const pending: Array<Promise<SoakJob>> = [];
			while (Date.now() < until) {
				await sleep(drawExponential(random, 1000 / jobsPerSecond));
				const draw = random();
				pending.push(serve({
					tasks: drawInteger(random, 1, 4),
					ms: drawInteger(random, 20, 300),
					fails: draw < failingShare,
					crashes: draw > 1 - crashingShare,
					leavesAfter: random() < leavingShare ? drawInteger(random, 0, 400) : undefined,
				}));
			}

			await Promise.all(pending);
		},
		submit: async () => serve({
			tasks: 2, ms: 50, fails: false, crashes: false, leavesAfter: undefined,
		}),
	};

	async function serve({tasks, ms, fails, crashes, leavesAfter}: Plan): Promise<SoakJob> {
		const job: SoakJob = {
			name: jobs.length.toString(16).padStart(nameLength, '0'), tasks, isFaulty: fails || crashes, sentAt: Date.now(), statuses: [], body: '', endedAt: undefined,
		};
		jobs.push(job);
		const limitAt = job.sentAt + drawInteger(random, minTimeLimitMs, maxTimeLimitMs);
		for (;;) {
			const deadline = limitAt - Date.now();
			const reply = await send(drawInteger(random, 0, system.entries.length - 1), {
				name: job.name, tasks, ms, fails, crashes, deadline, cpu: 2000,
			}, Math.min(deadline, leavesAfter ?? Infinity));
			job.statuses.push(reply?.status);
			job.body = reply?.body ?? '';
			const isDefinite = reply !== undefined && reply.status !== 502 && reply.status !== 504;
			if (isDefinite || leavesAfter !== undefined || Date.now() + retryMs >= limitAt) {
				job.endedAt = Date.now();
				return job;
			}

			await sleep(retryMs);
		}
	}

	/** Sends a job, and closes the connection after `patience`. */
	async function send(entry: number, job: Parameters<PlatformSystem['submit']>[1], patience: Milliseconds): Promise<PlatformReply> {
		const abort = new AbortController();
		const timer = setTimeout(() => {
			abort.abort();
		}, Math.max(1, patience));
		try {
			return await system.submit(entry, job, abort.signal);
		} finally {
			clearTimeout(timer);
		}
	}
}

type Plan = {
	readonly tasks: number;
	readonly ms: Milliseconds;
	readonly fails: boolean;
	readonly crashes: boolean;
	/** Time after which the client leaves; it waits for its answer if undefined. */
	readonly leavesAfter: Milliseconds | undefined;
};

async function sleep(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
