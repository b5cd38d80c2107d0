/**
 * The platform's settings file: lines of `name=value`. What this system uses of it is checked whole at start; names it
 * does not know are ignored, as new ones may come.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {tryParseAddress, type Address} from '../process/address.js';
import type {Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';

/** What a process learns from the platform. */
export type MachineSettings = {
	/** Name of the machine. */
	readonly name: string;
	readonly dataCentre: string;
	/** IP number of the machine. */
	readonly ip: string;
	/** For clients; undefined beside an executor. */
	readonly clients: Address | undefined;
	/** For the balancer's question whether the process is ready. */
	readonly ready: Address | undefined;
	/** For the executor beside an agent, and for operators at an entry. */
	readonly control: Address | undefined;
	/** Ports for links and metrics, the same on all machines. */
	readonly linksPort: number;
	readonly metricsPort: number;
	/** IP numbers of machines that may run an entry. */
	readonly seeds: readonly string[];
	/** "IP:port" of the store. */
	readonly store: string;
	/** Longest lease that an executor grants. */
	readonly maxLeaseMs: Milliseconds;
	/** Time from a request to stop until the process is killed. */
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
const list = z.string().default('').transform(text => text.split(',').filter(part => part !== ''));
const portRange = z.string()
	.transform(text => text.split(',').map(Number))
	.refine(([from, to]) => Number.isInteger(from) && Number.isInteger(to) && to! > from!, 'expected two ports, the second one larger');
const secondMs: Milliseconds = 1000;

const schema = z.object({
	node: z.string(),
	zone: z.string(),
	ip: z.string(),
	'listen.front': address.optional(),
	'listen.ready': address.optional(),
	'listen.control': address.optional(),
	'port-range': portRange,
	seeds: list,
	'platform.addr': z.string(),
	'bounds.hold-max-ms': z.coerce.number().positive().default(1000),
	'bounds.grace-s': z.coerce.number().positive().default(6),
});

/** Reads the text of the file; all faults are reported together. */
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
		linksPort,
		metricsPort,
		seeds: fields.seeds.flatMap(seed => tryParseAddress(seed)?.host ?? []),
		store: fields['platform.addr'],
		maxLeaseMs: fields['bounds.hold-max-ms'],
		graceMs: fields['bounds.grace-s'] * secondMs,
	});
}

function parseLines(text: string): Readonly<Record<string, string>> {
	const pairs = text.split('\n').filter(line => line.includes('=')).map(line => {
		const split = line.indexOf('=');
		return [line.slice(0, split).trim(), line.slice(split + 1).trim()] as const;
	});
	return Object.fromEntries(pairs);
}
