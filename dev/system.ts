/**
 * Starts a whole system on loopback as separate processes: platform and upstream stand-ins, entries and agents.
 */
import {createHash} from 'node:crypto';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {z} from 'zod';
import {createSystemClock} from '../src/process/clock.js';
import {formatDiagnostic} from '../src/process/diagnostics.js';
import {createPlatformClient, type PlatformClient} from '../src/platform/platform-client.js';
import {parseChangeFiles} from '../src/version/parse.js';
import {publishChangeSet} from '../src/version/publish.js';
import {
	startProgram, startProgramGroup, waitForUrl, type Program,
} from './processes.js';

/** What to start. */
export type SystemOptions = {
	readonly entries: number;
	readonly agents: number;
	readonly slots: number;
	/** Run times of the upstreams, in the format of their option `--run`. */
	readonly runTimes: string;
	readonly seed: number;
	/** Objects to publish, as TOML. */
	readonly objects: string;
	/** Service of the upstreams. */
	readonly service: string;
	/** Team of the tokens. */
	readonly team?: string;
	/** Names of the data centres; entries and agents are assigned to them in turn. */
	readonly dataCentres?: readonly string[];
	/** Lines to add to the section `[entry]` of each entry's settings. */
	readonly entrySettings?: string;
	/** Options of Node.js for the entries. */
	readonly entryNodeOptions?: readonly string[];
};

/** An entry and its addresses. */
export type SystemEntry = {
	readonly program: Program;
	readonly name: string;
	readonly incarnation: string;
	/** For instance "http://127.0.0.1:7100". */
	readonly url: string;
	readonly linksAddress: string;
};

/** An agent and the upstream beside it. */
export type SystemAgent = {
	readonly program: Program;
	readonly name: string;
	readonly upstream: Program;
	readonly upstreamUrl: string;
};

/** A running system. */
export type System = {
	readonly platform: PlatformClient;
	readonly platformUrl: string;
	readonly entries: SystemEntry[];
	readonly agents: SystemAgent[];
	/** Bearer tokens by role. */
	readonly tokens: Readonly<Record<'caller' | 'support' | 'operator', string>>;
	startEntry(name: string): Promise<SystemEntry>;
	startAgent(name: string, upstreamUrl?: string): Promise<SystemAgent>;
	publish(objects: string): Promise<number>;
	/** Kills every process. */
	stop(): Promise<void>;
};

const secret = 'loopback-secret';
const defaultTeam = 'lunch';
const defaultDataCentres = ['makati'];
const roles = ['caller', 'support', 'operator'] as const;

/**
 * Starts a system and waits until the status report of every entry lists all entries, and all agents with an active
 * configuration.
 */
export async function startSystem(options: SystemOptions): Promise<System> {
	return startProgramGroup(async programs => startProcesses(options, programs));
}

async function startProcesses(options: SystemOptions, programs: Program[]): Promise<System> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcuplane-'));
	const clock = createSystemClock();
	const standin = startProgram('dev/platform-standin.js');
	programs.push(standin);
	const platformUrl = await waitForUrl(standin);
	const platform = createPlatformClient({url: platformUrl, timeoutMs: 2000, clock});
	const entries: SystemEntry[] = [];
	const agents: SystemAgent[] = [];
	await writeTokens(platform, options.team ?? defaultTeam);
	await publishObjects(options.objects);

	const system: System = {
		platform,
		platformUrl,
		entries,
		agents,
		tokens: {caller: `caller.${secret}`, support: `support.${secret}`, operator: `operator.${secret}`},
		startEntry,
		startAgent,
		publish: publishObjects,
		async stop() {
			await platform.close();
			await Promise.all(programs.map(async program => program.kill()));
			fs.rmSync(folder, {recursive: true});
		},
	};
	await Promise.all(Array.from({length: options.entries}, async (_, i) => startEntry(`entry-${i + 1}`)));
	await Promise.all(Array.from({length: options.agents}, async (_, i) => startAgent(`agent-${i + 1}`)));
	await waitForLinks(system, options.agents);
	return system;

	async function startEntry(name: string): Promise<SystemEntry> {
		const file = path.join(folder, `${name}-${programs.length}.toml`);
		fs.writeFileSync(file, `name = "${name}"
dataCentre = "${getDataCentre(entries.length)}"
[listen]
http = "127.0.0.1:0"
links = "127.0.0.1:0"
[platform]
url = "${platformUrl}"
timeoutMs = 1000
[log]
level = "warn"
[entry]
${options.entrySettings ?? ''}
`);
		const program = startProgram('src/process/bin/kingcuplane-entry.js', [file], {}, options.entryNodeOptions);
		programs.push(program);
		const match = await program.waitForLine(/"ready":"kingcuplane-entry".*"incarnation":"(?<incarnation>[^"]+)","http":"(?<http>[^"]+)","links":"(?<links>[^"]+)"/v);
		const entry: SystemEntry = {
			program, name, incarnation: match.groups!.incarnation!, url: `http://${match.groups!.http!}`, linksAddress: match.groups!.links!,
		};
		entries.push(entry);
		return entry;
	}

	async function startAgent(name: string, existingUpstream?: string): Promise<SystemAgent> {
		const upstream = startProgram('dev/upstream-standin.js', ['--slots', String(options.slots), '--run', options.runTimes, '--seed', String(options.seed + programs.length)]);
		programs.push(upstream);
		const upstreamUrl = existingUpstream ?? await waitForUrl(upstream);
		const file = path.join(folder, `${name}-${programs.length}.toml`);
		fs.writeFileSync(file, `name = "${name}"
upstream = "${name.replace('agent', options.service)}"
service = "${options.service}"
dataCentre = "${getDataCentre(agents.length)}"
[upstream-server]
url = "${upstreamUrl}"
slots = ${options.slots}
[agent]
discoverMs = 200
[platform]
url = "${platformUrl}"
[log]
level = "warn"
`);
		const program = startProgram('src/process/bin/kingcuplane-agent.js', [file]);
		programs.push(program);
		await program.waitForLine(/"ready":"kingcuplane-agent"/v);
		const agent: SystemAgent = {
			program, name, upstream, upstreamUrl,
		};
		agents.push(agent);
		return agent;
	}

	function getDataCentre(index: number): string {
		const names = options.dataCentres ?? defaultDataCentres;
		return names[index % names.length]!;
	}

	async function publishObjects(text: string): Promise<number> {
		const parsed = parseChangeFiles([{name: 'objects.toml', text}]);
		const published = await publishChangeSet({platform, clock}, {
			id: `set-${createHash('sha256').update(text).digest('hex').slice(0, 12)}`, base: 0, author: 'demo', reason: 'first objects', changes: parsed.changes,
		});
		if (published.isErr()) {
			throw new Error([...parsed.diagnostics, ...published.error].map(diagnostic => formatDiagnostic(diagnostic)).join('\n'));
		}

		return published.value.version;
	}
}

async function writeTokens(platform: PlatformClient, team: string): Promise<void> {
	const secretSha256 = createHash('sha256').update(secret).digest('hex');
	const outcome = await platform.table.commit({
		conditions: [],
		writes: roles.map(role => ({
			key: `tokens/${role}`, value: JSON.stringify({
				name: role, role, team, secretSha256,
			}),
		})),
	});
	if (outcome.isErr()) {
		throw new Error(formatDiagnostic(outcome.error.diagnostic));
	}
}

const statusSchema = z.object({
	processes: z.array(z.object({role: z.string(), version: z.number()})),
});

const linkTimeoutMs = 20_000;
const pollMs = 100;

async function waitForLinks(system: System, agents: number): Promise<void> {
	const end = Date.now() + linkTimeoutMs;
	for (const entry of system.entries) {
		while (!await isLinked(entry, system, agents)) {
			if (Date.now() > end) {
				throw new Error(`${entry.name} has no links to ${agents} agents`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, pollMs);
			});
		}
	}
}

async function isLinked(entry: SystemEntry, system: System, agents: number): Promise<boolean> {
	const res = await fetch(`${entry.url}/v1/status`, {headers: {authorization: `Bearer ${system.tokens.support}`}});
	if (!res.ok) {
		return false;
	}

	const report = statusSchema.parse(await res.json());
	const linkedAgents = report.processes.filter(process => process.role === 'agent' && process.version > 0);
	const peers = report.processes.filter(process => process.role === 'entry');
	return linkedAgents.length >= agents && peers.length >= system.entries.length;
}
