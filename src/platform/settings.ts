/**
 * Parses the platform's settings file, which consists of lines `name=value`. All settings that this system uses are
 * checked at start; unknown names are ignored, since the platform may add settings.
 */
import {isIP} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {maxPort, tryParseAddress, type Address} from '../process/address.js';
import type {Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {connectableAddressSchema} from '../process/input-schemas.js';

/** Settings that the platform gives to the processes of one machine. */
export type MachineSettings = {
	/** Name of the machine. */
	readonly name: string;
	readonly dataCentre: string;
	/** IP address of the machine. */
	readonly ip: string;
	/** Address for requests of clients; undefined beside an executor. */
	readonly clients: Address | undefined;
	/** Address for the balancer's readiness probe. */
	readonly ready: Address | undefined;
	/** Address for heartbeats of the executor beside an agent; at an entry, address for operators. */
	readonly control: Address | undefined;
	/** Service of the executor beside an agent; undefined if the settings name none. */
	readonly service: string | undefined;
	/** Address at which other machines reach the links of this one. */
	readonly advertisedLinks: Address;
	/** Ports for links and metrics, the same on all machines. */
	readonly linksPort: number;
	readonly metricsPort: number;
	/** IP addresses of machines that may run an entry. */
	readonly seeds: readonly string[];
	/** "IP:port" of the store. */
	readonly store: string;
	/** Longest lease that an executor grants. */
	readonly maxLeaseMs: Milliseconds;
	/** Bandwidth of the machine's network link in megabits per second; undefined if it is not limited. */
	readonly linkMbps: number | undefined;
	/** Memory of a process; undefined if the settings state none. */
	readonly memoryBytes: number | undefined;
	/** Descriptors that a process may have open; undefined if the settings state none. */
	readonly descriptors: number | undefined;
	/** Time from the signal to stop until the process is killed. */
	readonly graceMs: Milliseconds;
};

const address = z.string().transform((text, ctx) => {
	const parsed = tryParseAddress(text);
	if (parsed === undefined) {
		ctx.addIssue({code: 'custom', message: 'expected an IP number and a port'});
		return z.NEVER;
	}

	return parsed;
});
const commaSeparatedList = z.string().default('').transform(text => text.split(',').filter(part => part !== ''));
const portRange = z.string()
	.transform(text => text.split(',').map(Number))
	.refine(([from, to]) => Number.isInteger(from) && Number.isInteger(to) && from! > 0 && to! > from! && to! <= maxPort, 'expected two ports, the second one larger');
const secondMs: Milliseconds = 1000;
const bytesPerMegabyte = 1_048_576;
/** Upper bound on durations; timers of the runtime overflow at 24 days. */
const maxDurationMs: Milliseconds = 86_400_000;

const schema = z.object({
	node: z.string(),
	zone: z.string(),
	ip: z.string().refine(text => isIP(text) !== 0, 'expected an IP number'),
	'listen.front': address.optional(),
	'listen.ready': address.optional(),
	'listen.control': address.optional(),
	upstream: z.string().optional(),
	// Not set by the platform: for machines whose links are reached through another address.
	'advertise.links': address.optional(),
	'port-range': portRange,
	seeds: commaSeparatedList,
	'platform.addr': connectableAddressSchema,
	'limits.link-mbps': z.coerce.number().positive().optional(),
	'limits.mem-limit-mb': z.coerce.number().positive().optional(),
	'limits.max-fds': z.coerce.number().int().positive().optional(),
	'bounds.hold-max-ms': z.coerce.number().positive().max(maxDurationMs).default(1000),
	'bounds.grace-s': z.coerce.number().positive().max(maxDurationMs / secondMs).default(6),
});

/** Parses the text of the file; all invalid settings are reported together. */
export function readMachineSettings(text: string): Result<MachineSettings, readonly Diagnostic[]> {
	const parsed = schema.safeParse(parseLines(text));
	if (!parsed.success) {
		return err(parsed.error.issues.map(issue => createDiagnostic(Diagnostics.Setting_is_invalid, issue.path.join('.'), issue.message)));
	}

	const fields = parsed.data;
	const [linksPort, metricsPort] = [fields['port-range'][0]!, fields['port-range'][0]! + 1];
	return ok({
		name: fields.node,
		dataCentre: fields.zone,
		ip: fields.ip,
		clients: fields['listen.front'],
		ready: fields['listen.ready'],
		control: fields['listen.control'],
		service: fields.upstream === '' ? undefined : fields.upstream,
		advertisedLinks: fields['advertise.links'] ?? {host: fields.ip, port: linksPort},
		linksPort,
		metricsPort,
		seeds: fields.seeds.flatMap(seed => tryParseAddress(seed)?.host ?? []),
		store: fields['platform.addr'],
		maxLeaseMs: fields['bounds.hold-max-ms'],
		linkMbps: fields['limits.link-mbps'],
		memoryBytes: fields['limits.mem-limit-mb'] === undefined ? undefined : fields['limits.mem-limit-mb'] * bytesPerMegabyte,
		descriptors: fields['limits.max-fds'],
		graceMs: fields['bounds.grace-s'] * secondMs,
	});
}

function parseLines(text: string): Readonly<Record<string, string>> {
	const pairs = text.split('\n').filter(line => line.includes('=')).map(line => {
		const separatorIndex = line.indexOf('=');
		return [line.slice(0, separatorIndex).trim(), line.slice(separatorIndex + 1).trim()] as const;
	});
	return Object.fromEntries(pairs);
}
