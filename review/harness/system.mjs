/**
 * Starts the project's own programs with the commands of deploy/system.toml, one process a machine, each on a loopback
 * address of its own, with stand-ins for the store, the executors and the clients.
 */
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {startExecutor} from './executor.mjs';
import {call} from './http.mjs';
import {sleep, waitUntil} from './record.mjs';
import {startStore} from './store.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
const service = 'huvo11a';
const clientHost = 'nony24.example';
const pathPrefix = '/lohu930/';
const zones = ['makati', 'bgc', 'ortigas', 'alabang'];
const heartbeatMs = 1500;
const startTimeoutMs = 20_000;
/** Last byte of the address of the first side machine, and of the store. */
const firstSide = 100;
const storeNumber = 250;
const defaultRoom = {cpu: 16_000, 'mem-mb': 65_536, gpu: 0};
const defaultNeed = {cpu: 1000, 'mem-mb': 64};

/**
 * Starts `fronts` entries, and `sides` agents with an executor beside each, and waits until all of them serve.
 */
export async function startSystem(options) {
	const {record, fronts, sides, room = defaultRoom} = options;
	const commands = readCommands();
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	const {network, ports} = await findFreeNetwork();
	const children = new Set();
	const store = await startStore(`${network}.${storeNumber}`);
	let configVersion = 7;
	publish();

	const entries = Array.from({length: fronts}, (_, i) => createMachine('entry', i));
	const agents = Array.from({length: sides}, (_, i) => createMachine('agent', i));
	const executors = [];
	for (const machine of [...entries, ...agents]) {
		writeSettings(machine);
		machine.start();
	}

	for (const agent of agents) {
		await waitUntil(`${agent.name} accepts heartbeats`, async () => canConnect(agent.ip, ports.control), startTimeoutMs);
		executors.push(await startExecutor({
			id: `i-${agent.name}`,
			host: agent.ip,
			port: ports.app,
			control: `${agent.ip}:${ports.control}`,
			service,
			zone: agent.zone,
			rack: `r1-${1 + Math.floor(agent.index / 3)}`,
			room,
			heartbeatMs,
			record,
		}));
	}

	for (const entry of entries) {
		await waitUntil(`${entry.name} is linked to all agents`, async () => await isReady(entry) && entry.getLinkCount() >= sides, startTimeoutMs);
	}

	record.add('system serves', {fronts, sides});
	return {
		entries, agents, executors, store, ports, publish, submit, cancel, isReady, stop,
	};

	function publish(change = {}) {
		configVersion += 2;
		store.put('op', 'config', JSON.stringify({
			version: configVersion,
			routes: [{
				name: 'r-wrr6x73',
				host: clientHost,
				'path-prefix': pathPrefix,
				type: 'non_idempotent',
				'timeout-ms': 30_000,
				'slo-ms': 60,
				priority: 0,
				upstream: service,
				attempts: 3,
				stretch: 1.6,
			}],
			upstreams: [{
				name: service, 'health-path': '/healthz', 'max-conns': 64, protocol: 'h1', tls: false, 'rejects-overload': true, spare: false,
			}],
			limits: {
				'max-header-bytes': 16_384, 'max-body-bytes': 262_144, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
			},
			...change,
		}));
	}

	function createMachine(role, index) {
		const zone = zones[index % zones.length];
		const number = role === 'entry' ? 1 + index : firstSide + index;
		const name = `${role === 'entry' ? 'front' : 'side'}-${zone}-${1 + Math.floor(index / zones.length)}`;
		const lines = [];
		const machine = {
			name,
			role,
			index,
			zone,
			ip: `${network}.${number}`,
			settingsFile: path.join(folder, `${name}.conf`),
			lines,
			process: undefined,
			start() {
				machine.process = startProgram(machine);
			},
			signal(signal) {
				record.add('signal', {machine: name, signal});
				machine.process.kill(signal);
			},
			getLinkCount() {
				const line = lines.findLast(text => text.includes('"linked":')) ?? '';
				return Number(/"linked":(?<count>\d+)/v.exec(line)?.groups.count ?? 0);
			},
		};
		return machine;
	}

	function startProgram({role, name, settingsFile, lines}) {
		const [command, ...args] = commands.get(role);
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(command === 'node' ? process.execPath : command, args, {
			cwd: root,
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {
				PATH, HOME, LANG, KINGCUPLANE_CONFIG: settingsFile,
			},
		});
		children.add(child);
		record.add('process starts', {machine: name});
		child.on('exit', (code, signal) => {
			children.delete(child);
			record.add('process ends', {machine: name, code, signal});
		});
		for (const stream of [child.stdout, child.stderr]) {
			let rest = '';
			stream.on('data', chunk => {
				const parts = (rest + String(chunk)).split('\n');
				rest = parts.pop();
				lines.push(...parts);
			});
		}

		return child;
	}

	function writeSettings(machine) {
		const {name, role, ip, zone, settingsFile} = machine;
		const isEntry = role === 'entry';
		const seeds = entries.slice(0, 3).map(entry => `${entry.ip}:${ports.control}`);
		const lines = [
			`node=${name}`,
			`role=${role}`,
			`machine-class=${isEntry ? 'front' : 'side'}`,
			`serves=${isEntry ? 'front,control_plane' : 'side'}`,
			`ip=${ip}`,
			`zone=${zone}`,
			'region=ncr',
			...zones.map(known => `zones.${known}=ncr`),
			...(isEntry ? [`listen.front=${ip}:${ports.front}`, `listen.ready=${ip}:${ports.ready}`] : []),
			`listen.control=${ip}:${ports.control}`,
			`port-range=${ports.links},${ports.links + 15}`,
			`seeds=${seeds.join(',')}`,
			'bootstrap=true',
			`limits.mem-limit-mb=${isEntry ? 350 : 218}`,
			'limits.link-mbps=1000.0',
			'discovery=local',
			'entry=vip',
			`heartbeat-ms=${heartbeatMs}`,
			'bounds.contact-ms=3000',
			'bounds.drain-ms=2000',
			'bounds.grace-s=6',
			'bounds.hold-max-ms=1000',
			'bounds.stop-ms=50',
			'bounds.cancel_ms=3000',
			'bounds.retry-ms=1300',
			'control-mode=call',
			...(isEntry ? [] : [`app=${ip}:${ports.app}`, `upstream=${service}`]),
			`platform.addr=${store.address}`,
			'platform.form=table',
			'platform.row-bytes=65536',
			'platform.across=false',
			'platform.history-s=20',
		];
		fs.writeFileSync(settingsFile, `${lines.join('\n')}\n`);
	}

	async function isReady({ip}) {
		const res = await call({
			host: ip, port: ports.ready, method: 'GET', path: '/v1/readyz', timeoutMs: 1000,
		});
		return res?.status === 200;
	}

	/** Hands a job in at an entry, on a channel of its own; resolves to its response, undefined if there was none. */
	async function submit(entry, job) {
		const {id, spec, estimateMs, count = 1, deadlineMs = 1500, waitMs = deadlineMs + 1000, need = defaultNeed, step = {}} = job;
		record.add('client sends POST', {
			entry: entry.name, id, count, deadlineMs,
		});
		const res = await call({
			host: entry.ip,
			port: ports.front,
			method: 'POST',
			path: `${pathPrefix}${id}`,
			timeoutMs: waitMs,
			headers: {host: clientHost, 'content-type': 'application/json', 'request-deadline': String(deadlineMs)},
			body: JSON.stringify({
				spec,
				steps: [{
					count, ...need, 'est-runtime-ms': estimateMs, ...step,
				}],
				'best-effort': true,
			}),
		});
		record.add('client gets the response to POST', {
			entry: entry.name, id, status: res?.status, body: res?.body,
		});
		return res;
	}

	/** Cancels a job at an entry, on a channel of its own; `port` is where the channel leads. */
	async function cancel(entry, id, port = ports.front) {
		record.add('client sends DELETE', {entry: entry.name, id});
		const res = await call({
			host: entry.ip, port, method: 'DELETE', path: `${pathPrefix}${id}`, timeoutMs: 1500, headers: {host: clientHost},
		});
		record.add('client gets the response to DELETE', {
			entry: entry.name, id, status: res?.status, body: res?.body,
		});
		return res;
	}

	async function stop() {
		await Promise.all(executors.map(async executor => executor.stop()));
		for (const child of children) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		for (let i = 0; children.size > 0 && i < 100; i++) {
			await sleep(20);
		}

		await store.close();
		fs.rmSync(folder, {recursive: true, force: true});
	}
}

/** Returns the words of the command of each role. */
function readCommands() {
	const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const pattern = /\[roles\.(?<role>\w+)\]\s+run = "(?<run>[^"]+)"/gv;
	return new Map([...text.matchAll(pattern)].map(({groups}) => [groups.role, groups.run.split(' ')]));
}

/** Chooses a loopback network and ports on which nothing listens. */
async function findFreeNetwork() {
	for (let attempt = 0; attempt < 20; attempt++) {
		const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
		const base = 20_000 + (20 * Math.floor(Math.random() * 500));
		const ports = {
			app: base, front: base + 1, control: base + 2, ready: base + 3, links: base + 4,
		};
		const addresses = [1, firstSide].flatMap(number => Object.values(ports).map(port => [`${network}.${number}`, port]));
		const areTaken = await Promise.all(addresses.map(async ([host, port]) => canConnect(host, port)));
		if (!areTaken.includes(true)) {
			return {network, ports};
		}
	}

	throw new Error('no free loopback ports were found');
}

async function canConnect(host, port) {
	return new Promise(resolve => {
		const socket = net.connect({host, port});
		socket.on('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.on('error', () => {
			resolve(false);
		});
	});
}
