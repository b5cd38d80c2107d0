/**
 * Starts a small deployment on loopback: the programs of the deploy file as separate processes, with a store and an executor
 * beside each agent as stand-ins in this process.
 */
import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import fs from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import readline from 'node:readline';
import {fileURLToPath} from 'node:url';
import {startExecutor} from './executor.mjs';
import {request, sleep} from './http.mjs';
import {startStore} from './store.mjs';

/** Whether the disruption is to be brought about. */
export const hasTrouble = process.env.TROUBLE !== '0';
/** Exit codes of a case. */
export const exitCodes = {held: 0, broken: 1, notRun: 2};

/** The processes that were started and have not ended. */
const processes = new Set();
process.once('exit', () => {
	for (const child of processes) {
		child.kill('SIGKILL');
	}
});

const root = fileURLToPath(new URL('../..', import.meta.url));
const ports = {
	front: 8161, ready: 8167, control: 8166, app: 8165, range: '7720,7735',
};
const upstream = 'huvo11a';
const room = {cpu: 16_000, 'mem-mb': 65_536, gpu: 0};
const labels = ['a', 'r1-1'];
const heartbeatMs = 1500;
/** Host and path prefix of the queue of all jobs. */
export const queue = {host: 'nony24.example', prefix: '/lohu930/'};
const graceMs = 6000;
const zones = ['makati', 'bgc', 'ortigas', 'alabang'];
/** Bounds of the site, as the pages give them. */
export const bounds = {
	contactMs: 3000, cancelMs: 3000, stopMs: 50, drainMs: 2000, retryMs: 1300, configDeadlineMs: 2000, ackMs: 4000,
};

/** Runs a case: `play` gets the system and returns the faults that it has found. Ends the process with the exit code of the case. */
export async function runCase(folderUrl, options, play) {
	const folder = fileURLToPath(new URL('.', folderUrl));
	const lines = [];
	const startedAt = Date.now();
	const note = (text, fields) => {
		const at = ((Date.now() - startedAt) / 1000).toFixed(3).padStart(8);
		lines.push(`${at} ${text}${fields === undefined ? '' : ` ${JSON.stringify(fields)}`}`);
	};

	let system;
	let code = exitCodes.notRun;
	try {
		system = await startSystem({...options, note});
		const faults = await play(system, note);
		code = faults.length > 0 ? exitCodes.broken : exitCodes.held;
		for (const fault of faults) {
			note(`RULE BROKEN: ${fault}`);
		}
	} catch (err) {
		note(`the case could not run: ${err.stack}`);
	}

	await system?.close();
	note(`${hasTrouble ? 'with' : 'without'} the disruption: exit code ${code}`);
	fs.writeFileSync(path.join(folder, hasTrouble ? 'record.txt' : 'record-calm.txt'), `${lines.join('\n')}\n`);
	console.log(lines.filter(line => /RULE BROKEN|could not run|exit code/v.test(line)).join('\n'));
	process.exit(code);
}

async function startSystem({
	entries: entryCount, agents: agentCount, note, routes = [queue],
}) {
	const commands = readCommands();
	const network = await findNetwork();
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcuplane-review-'));
	const jobs = new Map();
	const events = [];
	const store = await startStore(`${network}.250`);
	publish(1);

	const seeds = [0, 1, 2].map(i => `${network}.${1 + i}:${ports.control}`).join(',');
	const entries = Array.from({length: entryCount}, (_, i) => createMachine('front', `${network}.${1 + i}`, i));
	const agents = Array.from({length: agentCount}, (_, i) => createMachine('side', `${network}.${100 + i}`, i));
	for (const machine of [...entries, ...agents]) {
		machine.start();
	}

	const executors = await Promise.all(agents.map(async agent => {
		await waitFor(() => isListening(agent.address, ports.control), 20_000, () => `${agent.name} does not listen:\n${agent.lines.slice(-10).join('\n')}`);
		return startExecutor({
			id: `i-${randomBytes(4).toString('hex')}`,
			host: agent.address,
			port: ports.app,
			control: `${agent.address}:${ports.control}`,
			zone: agent.zone,
			upstream,
			room,
			labels,
			heartbeatMs,
			jobs,
			record,
		});
	}));
	const system = {
		entries, agents, executors, events, publish, submit, cancel, getRunning, close,
	};
	for (const entry of entries) {
		await waitFor(entry.isReady, 15_000, `${entry.name} is not ready`);
	}

	await waitFor(() => entries.every(entry => countLinks(entry) === agentCount), 15_000, 'not all agents are linked');
	note('the system serves', {network, entries: entryCount, agents: agentCount});
	return system;

	function record(event) {
		events.push({at: Date.now(), ...event});
		const {what, executor, task, run} = event;
		note(`executor: ${what}`, {executor, task, run});
	}

	function publish(version, published = routes) {
		return store.setRow('op', 'config', {
			version,
			routes: published.map(({host, prefix, ...rest}, i) => ({
				name: `q${i}`, host, 'path-prefix': prefix, upstream, 'timeout-ms': 30_000, 'slo-ms': 60, stretch: 1.6, attempts: 2, priority: 0, ...rest,
			})),
			upstreams: [{name: upstream, 'rejects-overload': true, 'conn-cap': 64}],
			limits: {},
		});
	}

	function createMachine(kind, address, i) {
		const role = kind === 'front' ? 'entry' : 'agent';
		const zone = zones[i % zones.length];
		const name = `${kind}-${zone}-${1 + Math.floor(i / zones.length)}`;
		const file = path.join(folder, `${name}.conf`);
		const machine = {
			name, zone, address, role, child: undefined, startedAt: undefined, lines: [], front: `${address}:${ports.front}`,
			start() {
				fs.writeFileSync(file, toSettings({
					kind, name, zone, address,
				}));
				const [program, ...args] = commands[role];
				const env = {
					PATH: process.env.PATH, HOME: folder, LANG: 'C.UTF-8', KINGCUPLANE_CONFIG: file,
				};
				const child = spawn(program, args, {cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env});
				processes.add(child);
				machine.child = child;
				machine.startedAt = Date.now();
				machine.exit = new Promise(resolve => {
					child.once('close', (code, signal) => {
						processes.delete(child);
						note(`${name} has ended`, {code, signal});
						resolve({code, signal});
					});
				});
				for (const input of [child.stdout, child.stderr]) {
					readline.createInterface({input}).on('line', line => {
						machine.lines.push(line);
					});
				}

				note(`${name} starts`, {address});
			},
			/** SIGTERM, and SIGKILL after the grace period. */
			async terminate() {
				note(`${name} gets SIGTERM`);
				machine.child.kill('SIGTERM');
				const timer = setTimeout(() => {
					machine.child.kill('SIGKILL');
				}, graceMs);
				await machine.exit;
				clearTimeout(timer);
			},
			async kill() {
				note(`${name} gets SIGKILL`);
				machine.child.kill('SIGKILL');
				await machine.exit;
			},
			async isReady() {
				const {status} = await request(`${address}:${ports.ready}`, {path: '/v1/readyz', timeoutMs: 500});
				return status === 200;
			},
		};
		return machine;
	}

	function toSettings({
		kind, name, zone, address,
	}) {
		const own = kind === 'front'
			? `listen.front=${address}:${ports.front}\nlisten.ready=${address}:${ports.ready}\nserves=front,control_plane\nlimits.cpu-share=0.675\nlimits.mem-limit-mb=350\n`
			: `app=${address}:${ports.app}\nupstream=${upstream}\nserves=side\nlimits.cpu-share=0.405\nlimits.mem-limit-mb=218\n`;
		const limits = 'limits.cores=1\nlimits.link-mbps=1000.0\nbounds.contact-ms=3000\nbounds.grace-s=6\nbounds.hold-max-ms=1000\nbounds.stop-ms=50\nbounds.retry-ms=1300\n';
		const platform = `platform.addr=${store.address}\nplatform.form=table\ndiscovery=local\nentry=vip\ncontrol-mode=call\nheartbeat-ms=${heartbeatMs}\nbootstrap=true\n`;
		const common = `node=${name}\nmachine-class=${kind}\nip=${address}\nzone=${zone}\nregion=ncr\nlisten.control=${address}:${ports.control}\nport-range=${ports.range}\nseeds=${seeds}\n`;
		return common + own + limits + platform;
	}

	function countLinks(entry) {
		return Number(/"linked":(?<count>\d+)/v.exec(entry.lines.findLast(line => line.includes('"linked":')) ?? '')?.groups.count ?? 0);
	}

	/** Hands in a job at one entry and records what came of it. */
	async function submit(entry, {
		id = createJobId(), ms, count, cpu = 1000, limitMs,
	}) {
		jobs.set(id, {cpu, ms});
		note('client: POST', {
			id, at: entry.name, count, ms, limitMs,
		});
		const reply = await request(entry.front, {
			method: 'POST',
			path: `${queue.prefix}${id}`,
			headers: {host: queue.host, 'request-deadline': String(limitMs)},
			timeoutMs: limitMs,
			body: JSON.stringify({
				spec: 'work', 'best-effort': true, steps: [{
					count, cpu, 'mem-mb': 64, 'est-runtime-ms': ms,
				}],
			}),
		});
		note('client: answer of POST', {id, at: entry.name, ...reply});
		return {id, ...reply};
	}

	/** Cancels a job at one entry; asks again after a second while the answer is neither 2xx nor 410. */
	async function cancel(entry, id, agent) {
		for (;;) {
			note('client: DELETE', {id, at: entry.name});
			const reply = await request(entry.front, {
				method: 'DELETE', path: `${queue.prefix}${id}`, headers: {host: queue.host}, agent, timeoutMs: 2000,
			});
			note('client: answer of DELETE', {id, at: entry.name, ...reply});
			if (reply.status === 200 || reply.status === 410) {
				return {status: reply.status, ackedAt: Date.now()};
			}

			await sleep(1000);
		}
	}

	function getRunning(id) {
		return executors.flatMap(executor => executor.getRunning().filter(({task}) => task.startsWith(`${id}.`)));
	}

	async function close() {
		const children = [...processes];
		for (const child of children) {
			child.kill('SIGKILL');
		}

		await Promise.all([...entries, ...agents].map(async machine => machine.exit));
		await Promise.all(executors.map(async executor => executor.close()));
		store.close();
		fs.rmSync(folder, {recursive: true});
	}
}

/** Returns an id for a job, as a client chooses it. */
export function createJobId() {
	return randomBytes(8).toString('hex');
}

/** Waits until `check` holds; throws after `timeoutMs`. */
export async function waitFor(check, timeoutMs, problem) {
	const end = Date.now() + timeoutMs;
	while (!await check()) {
		if (Date.now() > end) {
			throw new Error(typeof problem === 'function' ? problem() : problem);
		}

		await sleep(20);
	}
}

function readCommands() {
	const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const commands = {};
	for (const role of ['entry', 'agent']) {
		commands[role] = new RegExp(String.raw`\[roles\.${role}\]\s+run = "(?<run>[^"]+)"`, 'v').exec(text).groups.run.split(' ');
	}

	return commands;
}

/** Finds a loopback network on which nothing listens yet. */
async function findNetwork() {
	for (let attempts = 0; attempts < 50; attempts++) {
		const network = `127.${2 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 256)}`;
		if (!await isListening(`${network}.1`, ports.front) && !await isListening(`${network}.100`, ports.control)) {
			return network;
		}
	}

	throw new Error('no free loopback network was found');
}

async function isListening(host, port) {
	return new Promise(resolve => {
		const socket = net.connect({host, port, timeout: 200});
		socket.once('connect', () => {
			socket.destroy();
			resolve(true);
		});
		for (const event of ['error', 'timeout']) {
			socket.once(event, () => {
				socket.destroy();
				resolve(false);
			});
		}
	});
}
