/**
 * Plays a chain of losses on the real programs: the way to a forwarded job is lost hop by hop, and its client sends it again at a
 * third entry. Tells whether runs of the two copies overlapped.
 */
import {z} from 'zod';
import type {Milliseconds} from '../../src/process/clock.js';
import {readJson} from '../../src/process/json.js';
import {
	startPlatformSystem, type PlatformEvent, type PlatformInstance, type PlatformSystem,
} from '../platform-system.js';
import {drawInteger, type Random} from '../random.js';
import type {ConnectionFilter, Direction} from '../soak/fault-proxy.js';

/** How the client loses the entry that has forwarded its job. */
export type SenderLoss = 'reset' | 'kill';

/** What disturbs the chain besides the losses. */
export type Disturbance =
	| {readonly kind: 'none'}
	/** Delay between the serving entry and the sender, or the agents, during the whole play. */
	| {readonly kind: 'delay'; readonly of: 'sender' | 'agents'; readonly duration: Milliseconds}
	/** SIGSTOP that ends when the sender, or the serving entry, is lost, or that begins with the loss of the latter. */
	| {readonly kind: 'pause'; readonly of: 'server' | 'agents'; readonly when: PauseTime; readonly duration: Milliseconds};

export type PauseTime = 'before-cut' | 'before-server-loss' | 'after-server-loss';

/** One chain. */
export type ChainPlan = {
	readonly loss: SenderLoss;
	/** Time from the last word of the sender to the loss of the serving entry. */
	readonly gap: Milliseconds;
	readonly disturbance: Disturbance;
	/** Whether executors answer stop calls all the time, as a control. */
	readonly answersStops?: boolean;
};

/** The first run of a task, with what its agent has logged, and the start of the repeated one. */
export type PlayedTask = {
	readonly task: string;
	/** End of the first run, or of its lease if it lapsed; not positive if that came before the client could send the job again. */
	readonly endAfterRetry: Milliseconds;
	/** How long both runs were active; not positive if they did not overlap. */
	readonly overlap: Milliseconds;
	readonly ended: PlatformEvent['what'];
	/** From the line `run is stopped` of its agent; undefined if the run was not stopped. */
	readonly stop: LoggedStop | undefined;
	/** Cause in the line `lease is not renewed for long`; undefined if there is none. */
	readonly leaseEnd: string | undefined;
};

/** A stop, with the ages that the last words of the serving entry and of the sender had reached by the end of the run. */
export type LoggedStop = {
	readonly cause: string;
	readonly beforeEnd: Milliseconds;
	readonly entryAgeAtEnd: Milliseconds;
	/** Undefined if the agent had not been told that the sender is silent. */
	readonly senderAgeAtEnd: Milliseconds | undefined;
};

/** What became of a chain. */
export type PlayedChain = {
	readonly tasks: readonly PlayedTask[];
	/** Longest overlap; 0 if there was none. */
	readonly overlap: Milliseconds;
	/** How late the latest fault was injected. */
	readonly lateness: Milliseconds;
};

type LogLine = z.infer<typeof logLineSchema>;

/** Entries whose jobs are forwarded, on which the chain is played. */
const sender = 0;
const tasksPerJob = 3;
const runMs: Milliseconds = 4000;
const deadlineMs: Milliseconds = 9000;
/** Time from the start of the job to the cut; the longest pause before the cut must fit. */
const leadMs: Milliseconds = 600;
/** Heartbeats are this far apart, so that the cut comes at any time between two of them. */
const heartbeatMs = 220;
const resetAfterMs: Milliseconds = 14;
const stopsLostAfterMs: Milliseconds = 100;
/** Time after which a client sends a job again (`bounds.retry-ms`). */
const retryMs: Milliseconds = 1300;
const pollMs: Milliseconds = 20;
/** Time within which the repeated job starts and the first runs end. */
const outcomeMs: Milliseconds = 3000;
const setupAttempts = 20;
const setupMs: Milliseconds = 400;
const bothDirections: readonly Direction[] = ['forward', 'backward'];
const logLineSchema = z.object({
	time: z.string(),
	msg: z.string(),
	request: z.string().optional(),
	peer: z.string().optional(),
	task: z.string().optional(),
	cause: z.string().optional(),
	entryAge: z.number().optional(),
	senderAge: z.number().optional(),
});

/** Starts a system on which chains can be played one after another: its first entry forwards all jobs. */
export async function startChainSystem(subnet: number): Promise<PlatformSystem> {
	return startPlatformSystem({
		entries: 3, agents: 3, subnet, entryProgram: 'dev/soak/forwarding-entry.js', busyShares: [1, 0, 0], hasProxies: true,
	});
}

/** Plays a chain with jobs whose names start with `number`. All processes run again when it resolves. */
export async function playChain(system: PlatformSystem, plan: ChainPlan, number: number, random: Random): Promise<PlayedChain> {
	const {job, server, client} = await startForwardedJob(system, number, plan.disturbance);
	const cutAt = Date.now() + leadMs + drawInteger(random, 0, heartbeatMs);
	const serverLostAt = cutAt + plan.gap;
	let lateness = 0;
	let lostAt = Infinity;
	await Promise.all([
		at(cutAt, () => {
			cut();
		}),
		at(cutAt + (plan.loss === 'reset' ? resetAfterMs : 0), async () => {
			client.abort();
			lostAt = Date.now();
		}),
		at(cutAt + stopsLostAfterMs, async () => system.setLosesStops(!plan.answersStops)),
		at(serverLostAt, async () => killUnnoticed(system, server)),
		...planPause(),
	]);
	await sleepUntil(lostAt + retryMs);
	const retriedAt = Date.now();
	const tasks = await repeatJob();
	await restore();
	return {tasks, overlap: Math.max(0, ...tasks.map(({overlap}) => overlap)), lateness};

	async function at(time: Milliseconds, inject: () => unknown): Promise<void> {
		await sleepUntil(time);
		lateness = Math.max(lateness, Date.now() - time);
		await inject();
	}

	function cut(): void {
		switch (plan.loss) {
			case 'reset': {
				system.proxies.links[server]!.silence(['forward'], isOpenedBy(system.entries[sender]!));
				return;
			}

			case 'kill': {
				void killUnnoticed(system, sender);
			}
		}
	}

	function planPause(): ReadonlyArray<Promise<void>> {
		const {disturbance} = plan;
		if (disturbance.kind !== 'pause') {
			return [];
		}

		const paused = disturbance.of === 'server' ? [system.entries[server]!] : system.agents;
		const from = getPauseStart(disturbance);
		return paused.flatMap(({program}) => [
			at(from, () => {
				program.pause();
			}),
			at(from + disturbance.duration, () => {
				program.resume();
			}),
		]);
	}

	function getPauseStart({when, duration}: Disturbance & {readonly kind: 'pause'}): Milliseconds {
		switch (when) {
			case 'before-cut': {
				return cutAt - duration;
			}

			case 'before-server-loss': {
				return serverLostAt - duration;
			}

			case 'after-server-loss': {
				return serverLostAt;
			}
		}
	}

	/** Sends the job again until all its tasks have started and the first runs have ended. */
	async function repeatJob(): Promise<readonly PlayedTask[]> {
		const third = system.entries.findIndex((_, i) => i !== sender && i !== server);
		const abort = new AbortController();
		void submitUntilAnswered(third, abort.signal);
		const end = Date.now() + outcomeMs;
		for (;;) {
			const events = await getJobEvents(system, job);
			const tasks = groupByTask(events);
			if (tasks.every(runs => runs.length > 1 && runs[0]!.end !== undefined)) {
				abort.abort();
				return tasks.map(([first, second]) => toPlayedTask(first!, second!));
			}

			if (Date.now() > end) {
				abort.abort();
				throw new Error(`the chain was not played to its end: ${JSON.stringify(events)}`);
			}

			await sleep(pollMs);
		}
	}

	async function submitUntilAnswered(entry: number, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const reply = await system.submit(entry, createJob(job), signal);
			if (reply?.status === 200) {
				return;
			}

			await sleep(pollMs);
		}
	}

	function toPlayedTask({start, end}: ObservedRun, second: ObservedRun): PlayedTask {
		const agent = system.agents[system.executors.findIndex(({url}) => url === start.executor)]!;
		const lines = agent.program.lines.flatMap(line => readLogLine(line)).filter(({time}) => Date.parse(time) >= cutAt - leadMs && Date.parse(time) <= end!.at + pollMs);
		const stop = lines.find(({msg, task}) => msg === 'run is stopped' && task === start.task);
		const beforeEnd = end!.at - Date.parse(stop?.time ?? '');
		return {
			task: start.task,
			endAfterRetry: Math.round((end!.expiredAt ?? end!.at) - retriedAt),
			overlap: end!.at - second.start.at,
			ended: end!.what,
			stop: stop && {
				cause: stop.cause ?? '', beforeEnd, entryAgeAtEnd: (stop.entryAge ?? 0) + beforeEnd, senderAgeAtEnd: stop.senderAge === undefined ? undefined : stop.senderAge + beforeEnd,
			},
			leaseEnd: lines.findLast(({msg}) => msg === 'lease is not renewed for long')?.cause,
		};
	}

	async function restore(): Promise<void> {
		await system.setLosesStops(false);
		for (const proxy of system.proxies.links) {
			proxy.setDelay(0);
		}

		for (const entry of plan.loss === 'kill' ? [server, sender] : [server]) {
			// Connections that lead nowhere would delay the links to the next incarnation.
			system.proxies.links[entry]!.reset(1, random);
			system.entries[entry]!.restart();
		}

		await system.waitUntilReady();
	}
}

type ForwardedJob = {
	readonly job: string;
	/** Index of the entry that serves it. */
	readonly server: number;
	readonly client: AbortController;
};

/** Submits a job to the sender until one was forwarded and all its tasks run. */
async function startForwardedJob(system: PlatformSystem, number: number, disturbance: Disturbance): Promise<ForwardedJob> {
	for (let attempt = 0; attempt < setupAttempts; attempt++) {
		const job = `${number.toString(16).padStart(8, '0')}${attempt.toString(16).padStart(8, '0')}`;
		const client = new AbortController();
		void system.submit(sender, createJob(job), client.signal);
		await sleep(setupMs);
		const events = await getJobEvents(system, job);
		const server = findServer(system, job);
		if (server >= 0 && events.length === tasksPerJob) {
			setDelays(system, server, disturbance);
			return {job, server, client};
		}

		client.abort();
		await sleep(setupMs);
	}

	throw new Error(`no job was forwarded:\n${system.describe()}`);
}

function setDelays({entries, proxies}: PlatformSystem, server: number, disturbance: Disturbance): void {
	if (disturbance.kind === 'delay') {
		const isSender = isOpenedBy(entries[sender]!);
		const isEntry: ConnectionFilter = opening => entries.some(entry => isOpenedBy(entry)(opening));
		proxies.links[server]!.setDelay(disturbance.duration, disturbance.of === 'sender' ? isSender : opening => !isEntry(opening));
	}
}

/** Returns the index of the entry that the sender has forwarded a job to; -1 if none. */
function findServer({entries}: PlatformSystem, job: string): number {
	const line = entries[sender]!.program.lines.flatMap(text => readLogLine(text)).find(({msg, request}) => msg === 'job forwarded' && request === job);
	const peer = line?.peer;
	return peer === undefined ? -1 : entries.findIndex(({program}) => program.lines.some(text => text.includes('entry is listening') && text.includes(peer)));
}

/** Ends an entry so that nobody is told: its connections deliver nothing, not even that they were closed. */
async function killUnnoticed({entries, proxies}: PlatformSystem, entry: number): Promise<void> {
	for (const [i, proxy] of proxies.links.entries()) {
		proxy.silence(bothDirections, i === entry ? undefined : isOpenedBy(entries[entry]!));
	}

	await entries[entry]!.program.kill();
}

/** Chooses the connections that an entry has opened. A connection between entries begins with the name of the one that opened it. */
function isOpenedBy({name}: PlatformInstance): ConnectionFilter {
	return opening => /(?:entry|agent)-\d+/v.exec(opening)?.[0] === name;
}

function createJob(name: string): Parameters<PlatformSystem['submit']>[1] {
	return {
		name, tasks: tasksPerJob, ms: runMs, deadline: deadlineMs,
	};
}

async function getJobEvents(system: PlatformSystem, job: string): Promise<readonly PlatformEvent[]> {
	const events = await system.getEvents();
	return events.filter(({task}) => task.startsWith(job));
}

type ObservedRun = {
	readonly start: PlatformEvent;
	readonly end: PlatformEvent | undefined;
};

/** Returns the runs of each task in order of their starts. */
function groupByTask(events: readonly PlatformEvent[]): ReadonlyArray<readonly ObservedRun[]> {
	const starts = events.filter(({what}) => what === 'start');
	return [...new Set(starts.map(({task}) => task))].map(task => starts.filter(start => start.task === task).map(start => ({
		start, end: events.find(event => event.what !== 'start' && event.task === task && event.executor === start.executor && event.run === start.run && event.at >= start.at),
	})));
}

function readLogLine(line: string): readonly LogLine[] {
	return readJson(logLineSchema, line).map(read => [read]).unwrapOr([]);
}

async function sleepUntil(time: Milliseconds): Promise<void> {
	await sleep(Math.max(0, time - Date.now()));
}

async function sleep(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
