/**
 * An agent of a simulated run: the complete agent on the simulated network and upstream.
 */
import Logger from 'bunyan';
import {z} from 'zod';
import {createAgent} from '../../src/process/agent.js';
import type {Agent} from '../../src/process/agent-types.js';
import {readAgentSettings} from '../../src/process/settings.js';
import {noMetrics} from '../../src/process/metrics.js';
import {slotsPerUpstream} from './config.js';
import type {Journal} from './journal.js';
import type {Network} from './network.js';
import type {RandomSource, SimulatedProcess} from './simulation.js';
import type {SimulatedUpstream} from './upstream.js';

/** Log record that reports the active configuration version. */
const versionSchema = z.object({configVersion: z.number(), drain: z.boolean()});

/** One incarnation of an agent. */
export type SimulatedAgent = {
	readonly process: SimulatedProcess;
	readonly agent: Agent;
	/** Returns the active configuration version, as last logged. */
	getVersion(): number;
};

/** Dependencies of the simulated agent. */
export type SimulatedAgentHost = {
	readonly process: SimulatedProcess;
	readonly upstream: SimulatedUpstream;
	readonly network: Network;
	readonly journal: Journal;
	readonly random: RandomSource;
	readonly entries: readonly string[];
};

/** Starts an agent whose incarnation is the name of its process. */
export function createSimulatedAgent({process, upstream, network, journal, random, entries}: SimulatedAgentHost): SimulatedAgent {
	let version = 0;
	let isDrained = false;
	const agent = createAgent({
		clock: process.clock,
		settings: readAgentSettings(getSettings(upstream.name), 'agent.toml')._unsafeUnwrap(),
		incarnation: process.name,
		upstream: upstream.createClient(process),
		metrics: noMetrics,
		log: Logger.createLogger({name: process.name, streams: [{type: 'raw', stream: {write: recordVersion}}]}),
		random: random.fraction,
		readEntryDirectory: async () => process.deliver(Promise.resolve(entries)),
		defer(action) {
			process.clock.after(0, action);
		},
		connect: address => network.connect(process, address),
	});
	return {process, agent, getVersion: () => version};

	function recordVersion(record: unknown): void {
		const parsed = versionSchema.safeParse(record);
		if (!parsed.success) {
			return;
		}

		const {configVersion, drain} = parsed.data;
		version = configVersion;
		journal.record({kind: 'in-force', process: process.name, version});
		if (drain !== isDrained) {
			isDrained = drain;
			journal.record({kind: drain ? 'leaving' : 'returned', upstream: upstream.name});
		}
	}
}

function getSettings(name: string): string {
	return `
name = "${name}"
upstream = "${name}"
service = "meals"
dataCentre = "makati"
[upstream-server]
url = "http://127.0.0.1:1"
slots = ${slotsPerUpstream}
taskTimeoutMs = 1500
[agent]
discoverMs = 1000
drainMs = 10_000
[platform]
url = "http://127.0.0.1:2"
`;
}
