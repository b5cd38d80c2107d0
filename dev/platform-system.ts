/**
 * Starts entries and agents on loopback as the users' platform does, with a store and with an executor beside each
 * agent. Each instance has its own address, because all instances use the same ports.
 */
import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {z} from 'zod';
import {formatAddress, type Address} from '../src/process/address.js';
import type {Milliseconds} from '../src/process/clock.js';
import {
	startProgram, startProgramGroup, waitForUrl, type Program,
} from './processes.js';
import {startFaultProxy, type FaultProxy} from './soak/fault-proxy.js';

/** What to start. */
export type PlatformSystemOptions = {
	readonly entries: number;
	readonly agents: number;
	/** Third byte of all addresses; systems that run at the same time need different values. */
	readonly subnet: number;
	/** Script of entries and agents, relative to the compiled project; the compiled program if undefined. */
	readonly program?: string;
	/** Script of entries; that of `program` if undefined. */
	readonly entryProgram?: string;
	/** Share of the decisions for which each entry seems to be busy, for the program that forwards jobs; its default if undefined. */
	readonly busyShares?: readonly number[];
	/** Options of Node.js by role. */
	readonly nodeOptions?: Readonly<Record<'entry' | 'agent', readonly string[]>>;
	/** Further lines of the settings file by role. */
	readonly settingLines?: Readonly<Partial<Record<'entry' | 'agent', readonly string[]>>>;
	/** Processors of an executor, in thousandths; the default of the stand-in if undefined. */
	readonly executorCpu?: number;
	/** Whether proxies stand before the links of each entry, before each executor, and between each process and the store. */
	readonly hasProxies?: boolean;
};

/** A job to submit. */
export type PlatformJob = {
	readonly name: string;
	readonly tasks: number;
	readonly ms: Milliseconds;
	/** Declared run time; equal to `ms` if undefined. */
	readonly declaredMs?: Milliseconds;
	readonly fails?: boolean;
	/** Whether each task crashes its executor. */
	readonly crashes?: boolean;
	readonly deadline?: Milliseconds;
	readonly cpu?: number;
};

/** The response to a job; undefined if the connection failed. */
export type PlatformReply = {
	readonly status: number;
	readonly body: string;
	readonly retryAfter: string | undefined;
} | undefined;

/** The start or the end of one run at an executor. */
export type PlatformEvent = z.infer<typeof eventSchema>[number] & {readonly executor: string};

/** An instance of the system. */
export type PlatformInstance = {
	readonly name: string;
	readonly address: string;
	program: Program;
	/** Starts the program again after it has ended. */
	restart(): void;
};

/** The proxies of a system. */
export type SystemProxies = {
	/** Before the links of each entry. */
	readonly links: readonly FaultProxy[];
	/** Before each executor. */
	readonly executors: readonly FaultProxy[];
	/** Between each entry and agent, in this order, and the store. */
	readonly stores: readonly FaultProxy[];
};

/** A running system. */
export type PlatformSystem = {
	readonly storeUrl: string;
	readonly entries: readonly PlatformInstance[];
	readonly agents: readonly PlatformInstance[];
	readonly executors: ReadonlyArray<{readonly program: Program; readonly url: string}>;
	/** Proxies by what stands behind them; none unless they were asked for. */
	readonly proxies: SystemProxies;
	publish(version: number, prefixes?: readonly string[]): Promise<void>;
	/** Submits a job to one entry; aborting `signal` closes the connection. */
	submit(entry: number, job: PlatformJob, signal?: AbortSignal): Promise<PlatformReply>;
	/** Asks one entry to cancel a job. */
	cancel(entry: number, name: string): Promise<PlatformReply>;
	isReady(entry: number): Promise<boolean>;
	/** Returns all starts and ends so far in order of time, without the first `from` ones of each executor. */
	getEvents(from?: readonly number[]): Promise<PlatformEvent[]>;
	/** Sets the processors of an executor, in thousandths, which its next heartbeat announces. */
	setRoom(executor: number, cpu: number): Promise<void>;
	setStoreFaults(faults: Readonly<Record<string, unknown>>): Promise<void>;
	/** Sets whether stop calls have neither an effect nor an answer at all executors. */
	setLosesStops(losesStops: boolean): Promise<void>;
	/** Lets an executor crash. It is back `downMs` later under its identifier, and announces itself for the first time `announceMs` after that. */
	restartExecutor(executor: number, restart: {readonly downMs: Milliseconds; readonly announceMs: Milliseconds}): Promise<void>;
	/** Waits until every entry serves and is linked to all agents. */
	waitUntilReady(): Promise<void>;
	/** Returns the replies other than 200 and the latest log lines of all processes, in order of time, as the output of a failed test. */
	describe(): string;
	stop(): Promise<void>;
};

/** A request of a client; aborting `signal` closes its connection. */
type ClientCall = {
	readonly entry: number;
	readonly method: 'POST' | 'DELETE';
	readonly name: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly signal?: AbortSignal;
};

/** Number of log lines of each process in the description of a system. */
const describedLines = 150;
const noProxies: SystemProxies = {links: [], executors: [], stores: []};
/** Last byte of the address of the first proxy before the links of an entry. */
const firstProxyNumber = 50;
const compiledProgram = 'src/platform/bin/kingcuplane-platform.js';
/** Host and path prefix of the route under which jobs are submitted. */
export const platformRoute = {host: 'jobs.example', prefix: '/jobs/'};
const {host, prefix} = platformRoute;
/** The service of all executors. */
const service = 'work';
/** Number of loopback networks `127.1` to `127.254`; each process that starts systems uses one of them. */
const networkCount = 254;
/** Ports of each instance. */
export const platformPorts = {
	clients: 18_161, control: 18_166, ready: 18_167, links: 17_720,
};
const eventSchema = z.array(z.object({
	at: z.number(), what: z.enum(['start', 'done', 'failed', 'stopped', 'lapsed']), task: z.string(), run: z.number(), expiredAt: z.number().optional(),
}));

/** Starts a system and waits until every entry is ready. */
export async function startPlatformSystem(options: PlatformSystemOptions): Promise<PlatformSystem> {
	return startProgramGroup(async programs => startInstances(options, programs));
}

async function startInstances(options: PlatformSystemOptions, programs: Program[]): Promise<PlatformSystem> {
	// The process id selects the network, so that concurrent test runs on this machine don't share addresses.
	const network = `127.${1 + (process.pid % networkCount)}.${options.subnet}`;
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcuplane-'));
	const standin = start('dev/platform-standin.js');
	const storeUrl = await waitForUrl(standin);
	const connections = new http.Agent({keepAlive: true});
	const failedReplies: string[] = [];
	const executorOptions = options.executorCpu === undefined ? [] : ['--cpu', String(options.executorCpu)];
	await publish(1);
	const proxies = options.hasProxies ? await startProxies() : noProxies;
	const entries = createInstances('entry', options.entries, 1);
	const agents = createInstances('agent', options.agents, 100);
	const executors = await Promise.all(agents.map(async (agent, i) => {
		const proxy = proxies.executors[i];
		const announceOptions = proxy === undefined ? [] : ['--announce', formatAddress(proxy.address)];
		const program = start('dev/executor-standin.js', ['--agent', `${agent.address}:${platformPorts.control}`, '--id', `i-${i + 1}`, '--service', service, ...executorOptions, ...announceOptions]);
		const url = await waitForUrl(program);
		proxy?.setTarget(toAddress(url));
		return {program, url};
	}));
	const system: PlatformSystem = {
		storeUrl, entries, agents, executors, proxies, publish, submit, cancel, isReady, getEvents, setRoom, setStoreFaults, setLosesStops, restartExecutor, waitUntilReady: async () => waitUntilReady(system), describe, stop,
	};
	await system.waitUntilReady();
	return system;

	function start(script: string, args: readonly string[] = [], env: Readonly<Record<string, string>> = {}, nodeOptions: readonly string[] = []): Program {
		const program = startProgram(script, args, env, nodeOptions);
		programs.push(program);
		return program;
	}

	async function startProxies(): Promise<SystemProxies> {
		const links = await Promise.all(Array.from({length: options.entries}, async (_, i) => {
			const proxy = await startFaultProxy({host: `${network}.${firstProxyNumber + i}`, port: platformPorts.links});
			proxy.setTarget({host: `${network}.${1 + i}`, port: platformPorts.links});
			return proxy;
		}));
		const startMany = async (count: number) => Promise.all(Array.from({length: count}, async () => startFaultProxy({host: '127.0.0.1', port: 0})));
		const stores = await startMany(options.entries + options.agents);
		for (const proxy of stores) {
			proxy.setTarget(toAddress(storeUrl));
		}

		return {links, stores, executors: await startMany(options.agents)};
	}

	function createInstances(role: 'entry' | 'agent', count: number, first: number): PlatformInstance[] {
		return Array.from({length: count}, (_, i) => {
			const name = `${role}-${i + 1}`;
			const address = `${network}.${first + i}`;
			const file = path.join(folder, name);
			fs.writeFileSync(file, toSettings(role, name, address, i));
			const program = (role === 'entry' ? options.entryProgram : undefined) ?? options.program ?? compiledProgram;
			const busyShare = role === 'entry' ? options.busyShares?.[i] : undefined;
			const env = {KINGCUPLANE_CONFIG: file, ...busyShare !== undefined && {KINGCUPLANE_BUSY_SHARE: String(busyShare)}};
			const launch = () => start(program, [role], env, options.nodeOptions?.[role]);
			const instance: PlatformInstance = {
				name,
				address,
				program: launch(),
				restart() {
					instance.program = launch();
				},
			};
			return instance;
		});
	}

	function toSettings(role: 'entry' | 'agent', name: string, address: string, i: number): string {
		const linksProxy = role === 'entry' ? proxies.links[i] : undefined;
		const advertise = linksProxy === undefined ? '' : `advertise.links=${formatAddress(linksProxy.address)}\n`;
		const listen = role === 'entry' ? `listen.front=${address}:${platformPorts.clients}\nlisten.ready=${address}:${platformPorts.ready}\n${advertise}` : `upstream=${service}\n`;
		const seed = proxies.links[0]?.address.host ?? `${network}.1`;
		const storeProxy = proxies.stores[role === 'entry' ? i : options.entries + i];
		const store = storeProxy === undefined ? new URL(storeUrl).host : formatAddress(storeProxy.address);
		return `node=${name}\nzone=z\nip=${address}\n${listen}listen.control=${address}:${platformPorts.control}\nport-range=${platformPorts.links},${platformPorts.links + 15}\n`
			+ `seeds=${seed}:${platformPorts.control}\nplatform.addr=${store}\n${(options.settingLines?.[role] ?? []).join('\n')}\n`;
	}

	async function publish(version: number, prefixes: readonly string[] = [prefix]): Promise<void> {
		const value = JSON.stringify({
			version,
			routes: prefixes.map((pathPrefix, i) => ({
				name: `route-${i}`, host, 'path-prefix': pathPrefix, upstream: service, 'timeout-ms': 1500, 'slo-ms': 60, stretch: 1.6, attempts: 2,
			})),
			upstreams: [{name: service}],
		});
		await fetch(`${storeUrl}/v1/rows-tx`, {
			method: 'POST', body: JSON.stringify({
				'set-keys': [{
					table: 'op', part: '', key: 'config', value: Buffer.from(value).toString('base64'),
				}],
			}),
		});
	}

	async function submit(entry: number, job: PlatformJob, signal?: AbortSignal): Promise<PlatformReply> {
		const body = JSON.stringify({
			spec: JSON.stringify({ms: job.ms, fails: job.fails ?? false, crashes: job.crashes ?? false}),
			steps: [{
				count: job.tasks, cpu: job.cpu ?? 1000, 'mem-mb': 64, 'est-runtime-ms': job.declaredMs ?? job.ms,
			}],
			'best-effort': true,
		});
		return call({
			entry, method: 'POST', name: job.name, body, headers: {'request-deadline': String(job.deadline ?? 1500)}, signal,
		});
	}

	async function cancel(entry: number, name: string): Promise<PlatformReply> {
		return call({entry, method: 'DELETE', name});
	}

	async function call({
		entry, method, name, body, headers = {}, signal,
	}: ClientCall): Promise<PlatformReply> {
		const sentAt = new Date();
		return new Promise(resolve => {
			const req = http.request({
				host: entries[entry]!.address,
				port: platformPorts.clients,
				path: `${prefix}${name}`,
				method,
				agent: connections,
				signal,
				headers: {host, 'content-type': 'application/json', ...headers},
			}, res => {
				const chunks: Uint8Array[] = [];
				res.on('data', (chunk: Uint8Array) => chunks.push(chunk));
				res.on('end', () => {
					const reply = {status: res.statusCode ?? 0, body: Buffer.concat(chunks).toString(), retryAfter: res.headers['retry-after']};
					if (reply.status !== 200) {
						recordFailedReply(`${reply.status} ${reply.body}`);
					}

					resolve(reply);
				});
				res.on('error', fail);
			});
			req.on('error', fail);
			req.end(body);

			function fail(err: Error): void {
				recordFailedReply(err.message);
				resolve(undefined);
			}

			function recordFailedReply(text: string): void {
				failedReplies.push(`${method} ${name} at entry-${entry + 1}, ${sentAt.toISOString()} to ${new Date().toISOString()}: ${text}`);
			}
		});
	}

	async function isReady(entry: number): Promise<boolean> {
		try {
			const res = await fetch(`http://${entries[entry]!.address}:${platformPorts.ready}/v1/readyz`);
			return res.ok;
		} catch {
			return false;
		}
	}

	async function getEvents(from: readonly number[] = []): Promise<PlatformEvent[]> {
		const lists = await Promise.all(executors.map(async ({url}, i) => {
			const res = await fetch(`${url}/events?from=${from[i] ?? 0}`);
			return eventSchema.parse(await res.json()).map(event => ({...event, executor: url}));
		}));
		return lists.flat().toSorted((a, b) => a.at - b.at);
	}

	async function setRoom(executor: number, cpu: number): Promise<void> {
		await fetch(`${executors[executor]!.url}/room`, {method: 'PUT', body: JSON.stringify({cpu})});
	}

	async function setStoreFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
		await fetch(`${storeUrl}/faults`, {method: 'POST', body: JSON.stringify(faults)});
	}

	async function setLosesStops(losesStops: boolean): Promise<void> {
		await Promise.all(executors.map(async ({url}) => fetch(`${url}/faults`, {method: 'PUT', body: JSON.stringify({losesStops})})));
	}

	async function restartExecutor(executor: number, restart: {readonly downMs: Milliseconds; readonly announceMs: Milliseconds}): Promise<void> {
		await fetch(`${executors[executor]!.url}/restart`, {method: 'PUT', body: JSON.stringify(restart)});
	}

	function describe(): string {
		const lines = programs.flatMap(({name, pid, lines}) => lines.slice(-describedLines).map(line => `${name.split('/').at(-1)} ${pid}: ${line}`));
		return ['Replies other than 200:', ...failedReplies, 'Logs:', ...lines.toSorted((a, b) => getTime(a) - getTime(b))].join('\n');
	}

	async function stop(): Promise<void> {
		connections.destroy();
		await Promise.all(programs.map(async program => program.kill()));
		await Promise.all([...proxies.links, ...proxies.executors, ...proxies.stores].map(async proxy => proxy.close()));
		fs.rmSync(folder, {recursive: true});
	}
}

/** Returns the time of a line of a structured log; 0 if it has none. */
function getTime(line: string): Milliseconds {
	return Date.parse(/"time":"(?<time>[^"]+)"/v.exec(line)?.groups?.time ?? '1970-01-01');
}

function toAddress(url: string): Address {
	const {hostname, port} = new URL(url);
	return {host: hostname, port: Number(port)};
}

const readyTimeoutMs: Milliseconds = 20_000;
const pollMs: Milliseconds = 50;

async function waitUntilReady(system: PlatformSystem): Promise<void> {
	const end = Date.now() + readyTimeoutMs;
	const linkCountPattern = /"linked":(?<count>\d+)/v;
	for (const [index, entry] of system.entries.entries()) {
		for (;;) {
			const lastLinkLine = entry.program.lines.findLast(line => linkCountPattern.test(line));
			if (await system.isReady(index) && Number(linkCountPattern.exec(lastLinkLine ?? '')?.groups?.count ?? 0) >= system.agents.length) {
				break;
			}

			if (Date.now() > end) {
				throw new Error(`${entry.name} is not linked to ${system.agents.length} agents:\n${entry.program.lines.slice(-20).join('\n')}`);
			}

			await new Promise<void>(resolve => {
				setTimeout(resolve, pollMs);
			});
		}
	}
}
