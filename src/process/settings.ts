/**
 * Settings of the entry and the agent: TOML files that are validated completely at start.
 */
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {
	isWildcard, tryParseAddress, type Address,
} from './address.js';
import type {Milliseconds} from './clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from './diagnostics.js';
import {maxTasksLimit} from './input-schemas.js';
import {requestOverheadBytes} from './request-memory.js';
import {
	checkSchema, formatPath, parseToml, type SchemaViolation, type TomlDocument,
} from './toml.js';

/** How to reach the platform's table service and object store. */
export type PlatformSettings = {
	readonly url: string;
	/** Timeout of one call. */
	readonly timeoutMs: Milliseconds;
};

/** Settings of the log. */
export type LogSettings = {
	readonly level: LogLevel;
};

/** Lowest severity that is logged. */
export type LogLevel = (typeof logLevels)[number];

const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;

/** Settings of the metrics. */
export type MetricsSettings = {
	/** Address of a StatsD server; if undefined, no metrics are sent. */
	readonly address: Address | undefined;
	/** Prefix of the name of each metric. */
	readonly prefix: string;
};

/** Addresses of one entry. */
export type EntryAddresses = {
	/** For callers, operators and the balancer. */
	readonly http: Address;
	/** For agents and other entries. */
	readonly links: Address;
};

/** Limits and timing of one entry. */
export type EntryLimits = {
	/** Link addresses of other entries, used to find them while the platform is down. */
	readonly seeds: readonly Address[];
	/** Duration of the entry's lease in the directory. */
	readonly leaseMs: Milliseconds;
	/** Time within which a ticket must be used. */
	readonly ticketLifetimeMs: Milliseconds;
	/** Length of the period whose tickets share one block, in which their records are saved together. */
	readonly blockMs: Milliseconds;
	/** Bound on submission records that are not saved yet, in bytes. */
	readonly fateMemoryBytes: number;
	/** Bound on writes of submission records to the platform, per second. */
	readonly fateWritesPerSecond: number;
	/** Time for which a final answer is retained, so that it can be fetched again. */
	readonly answerKeepMs: Milliseconds;
	/** Largest body of a request, in bytes. */
	readonly maxBodyBytes: number;
	/** Bound on the memory of all requests that are not answered yet, in bytes; follows from the memory of the process if undefined. */
	readonly requestMemoryBytes?: number;
	/** Maximum number of connections of callers; follows from the descriptors of the process if undefined. */
	readonly maxConnections?: number;
	/** Maximum number of tasks in one job. */
	readonly maxTasks: number;
	/** Largest total size of the headers of a request, in bytes. */
	readonly maxHeaderBytes: number;
	/** Longest time that one request may wait for an answer. */
	readonly maxWaitMs: Milliseconds;
	/** Time within which an agent must reconnect after its link was lost; after that, its tasks count as "may have run". */
	readonly agentGraceMs: Milliseconds;
	/** Longest time that a graceful shutdown may take. */
	readonly drainMs: Milliseconds;
};

/** Settings of one entry. */
export type EntrySettings = {
	readonly name: string;
	readonly dataCentre: string;
	/** Empty if unknown. */
	readonly rack: string;
	readonly listen: EntryAddresses;
	/** Addresses at which other processes reach this entry. */
	readonly advertise: EntryAddresses;
	readonly platform: PlatformSettings;
	readonly entry: EntryLimits;
	readonly log: LogSettings;
	readonly metrics: MetricsSettings;
};

/** The upstream beside an agent. */
export type UpstreamServerSettings = {
	readonly url: string;
	/** Maximum number of tasks that it runs at the same time. */
	readonly slots: number;
	/** Maximum number of connections that it accepts. */
	readonly connections: number;
	/** Longest run time of one task. */
	readonly taskTimeoutMs: Milliseconds;
};

/** Limits and timing of one agent. */
export type AgentLimits = {
	/** Link addresses of entries, used to find them while the platform is down. */
	readonly seeds: readonly Address[];
	/** Interval between reads of the entry directory. */
	readonly discoverMs: Milliseconds;
	/** Longest time that a graceful shutdown may take. */
	readonly drainMs: Milliseconds;
	/** Bound on results that no entry has acknowledged, in bytes. */
	readonly resultMemoryBytes: number;
};

/** Settings of one agent. */
export type AgentSettings = {
	readonly name: string;
	/** Name under which the upstream is announced. */
	readonly upstream: string;
	readonly service: string;
	readonly dataCentre: string;
	/** Empty if unknown. */
	readonly rack: string;
	readonly upstreamServer: UpstreamServerSettings;
	readonly agent: AgentLimits;
	readonly platform: PlatformSettings;
	readonly log: LogSettings;
	readonly metrics: MetricsSettings;
};

/** Parses the settings of an entry from `text`, the contents of `file`. Reports all errors together. */
export function readEntrySettings(text: string, file: string): Result<EntrySettings, readonly Diagnostic[]> {
	return parseSettings(entrySchema, text, file).map(({listen, advertise, ...rest}) => ({
		...rest,
		listen,
		advertise: {http: advertise.http ?? listen.http, links: advertise.links ?? listen.links},
	}));
}

/** Parses the settings of an agent from `text`, the contents of `file`. Reports all errors together. */
export function readAgentSettings(text: string, file: string): Result<AgentSettings, readonly Diagnostic[]> {
	return parseSettings(agentSchema, text, file).map(({'upstream-server': upstreamServer, ...rest}) => ({...rest, upstreamServer}));
}

const name = z.string().regex(/^[a-z0-9][a-z0-9.\-]{0,62}$/v, 'expected 1 to 63 lower-case letters, digits, "-" or "."');
const duration = (defaultValue: Milliseconds) => z.int().min(1).max(86_400_000).default(defaultValue);
const count = (defaultValue: number) => z.int().min(1).default(defaultValue);
const url = z.url({protocol: /^https?$/v, error: 'expected an address that starts with http:// or https://'}).transform(text => text.replace(/\/+$/v, ''));

const wildcardDetail = 'other processes cannot connect to a wildcard address; advertise an address of this machine';

const listenAddress = z.string().transform((text, ctx): Address => {
	const parsed = tryParseAddress(text);
	if (parsed === undefined) {
		ctx.addIssue({code: 'custom', message: 'expected an IP number and a port, for instance "127.0.0.1:7100"'});
		return z.NEVER;
	}

	return parsed;
});

const peerAddress = listenAddress
	.refine(address => address.port > 0, 'expected a port from 1 to 65535')
	.refine(address => !isWildcard(address), wildcardDetail);

const platform = z.strictObject({
	url,
	timeoutMs: duration(2000),
});

const log = z.strictObject({
	level: z.enum(logLevels).default('info'),
}).prefault({});

const metrics = z.strictObject({
	address: z.string().default('').pipe(z.literal('').transform(() => undefined).or(peerAddress)),
	prefix: z.string().default('kingcuplane.'),
}).prefault({});

const addresses = z.strictObject({
	listen: z.strictObject({
		http: listenAddress.prefault('127.0.0.1:7100'),
		links: listenAddress.prefault('127.0.0.1:7200'),
	}).prefault({}),
	advertise: z.strictObject({
		http: peerAddress.optional(),
		links: peerAddress.optional(),
	}).prefault({}),
});

type Addresses = z.infer<typeof addresses>;

const entrySchema = z.strictObject({
	name,
	dataCentre: name,
	rack: z.string().default(''),
	...addresses.shape,
	platform,
	entry: z.strictObject({
		seeds: z.array(peerAddress).default([]),
		leaseMs: duration(6000),
		ticketLifetimeMs: duration(600_000),
		blockMs: duration(1000),
		fateMemoryBytes: count(67_108_864),
		fateWritesPerSecond: count(5),
		answerKeepMs: duration(120_000),
		maxBodyBytes: count(16_777_216),
		requestMemoryBytes: z.int().min(1).optional(),
		maxConnections: z.int().min(1).optional(),
		maxTasks: z.int().min(1).max(maxTasksLimit).default(1100),
		maxHeaderBytes: count(16_384),
		maxWaitMs: duration(30_000),
		agentGraceMs: duration(3000),
		drainMs: duration(30_000),
	})
		.refine(({requestMemoryBytes, maxBodyBytes}) => requestMemoryBytes === undefined || requestMemoryBytes >= maxBodyBytes + requestOverheadBytes, {
			path: ['requestMemoryBytes'], error: `expected at least ${requestOverheadBytes} more than maxBodyBytes`,
		})
		.prefault({}),
	log,
	metrics,
})
	.refine(value => canAdvertise(value, 'http'), {path: ['listen', 'http'], error: wildcardDetail, when: payload => isAddressValid(payload, 'http')})
	.refine(value => canAdvertise(value, 'links'), {path: ['listen', 'links'], error: wildcardDetail, when: payload => isAddressValid(payload, 'links')});

function canAdvertise({listen, advertise}: Addresses, key: keyof EntryAddresses): boolean {
	return advertise[key] !== undefined || !isWildcard(listen[key]);
}

/** Whether neither address of `key` has an issue of its own, regardless of issues elsewhere. */
function isAddressValid(payload: z.core.ParsePayload, key: keyof EntryAddresses): boolean {
	return payload.issues.every(({path = []}) => !isPrefix(path, ['listen', key]) && !isPrefix(path, ['advertise', key]));
}

function isPrefix(path: readonly PropertyKey[], fullPath: readonly PropertyKey[]): boolean {
	return path.length > 0 && path.every((part, index) => part === fullPath[index]);
}

const agentSchema = z.strictObject({
	name,
	upstream: name,
	service: name,
	dataCentre: name,
	rack: z.string().default(''),
	'upstream-server': z.strictObject({
		url,
		slots: z.int().min(1).max(65_535),
		connections: count(64),
		taskTimeoutMs: duration(30_000),
	}),
	agent: z.strictObject({
		seeds: z.array(peerAddress).default([]),
		discoverMs: duration(2000),
		drainMs: duration(30_000),
		resultMemoryBytes: count(67_108_864),
	}).prefault({}),
	platform,
	log,
	metrics,
});

function parseSettings<T>(schema: z.ZodType<T>, text: string, file: string): Result<T, readonly Diagnostic[]> {
	return parseToml(text)
		.mapErr(({message, line}): readonly Diagnostic[] => [{...createDiagnostic(Diagnostics.Settings_are_not_toml, message), file, line}])
		.andThen(document => checkSchema(schema, document.root).mapErr(violations => toDiagnostics(violations, file, document)));
}

function toDiagnostics(violations: readonly SchemaViolation[], file: string, document: TomlDocument): Diagnostic[] {
	return violations
		.map(violation => ({...toDiagnostic(violation), file, line: document.tryGetLine(violation.path)}))
		.toSorted((a, b) => (a.line ?? 0) - (b.line ?? 0));
}

function toDiagnostic(violation: SchemaViolation): Diagnostic {
	const path = formatPath(violation.path);
	switch (violation.kind) {
		case 'unknown': {
			return createDiagnostic(Diagnostics.Setting_is_unknown, path, violation.nearest ?? 'none');
		}

		case 'missing': {
			return createDiagnostic(Diagnostics.Setting_is_missing, path);
		}

		case 'invalid': {
			return createDiagnostic(Diagnostics.Setting_is_invalid, path, violation.detail);
		}
	}
}
