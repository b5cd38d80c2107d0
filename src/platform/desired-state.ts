/**
 * Converts the operator's configuration to a snapshot of this project's objects. The platform's store holds the whole
 * active configuration as one row of JSON. Each route becomes a submission; all services share one policy. A row for each
 * evacuated data centre lies beside it.
 */
import {Buffer} from 'node:buffer';
import {
	err, ok, okAsync, type Result, type ResultAsync,
} from 'neverthrow';
import {z} from 'zod';
import type {Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {sequenceNumberSchema} from '../process/input-schemas.js';
import {readJson} from '../process/json.js';
import type {PlatformError} from '../process/platform/types.js';
import {createSnapshot} from '../version/snapshot.js';
import type {
	ConfigObject, PolicyObject, Route, Snapshot,
} from '../version/types.js';
import type {SnapshotCodec} from '../version/snapshot-holder.js';
import type {EncodedSnapshotSource} from '../version/long-poll-follower.js';
import type {EvacuationList} from '../version/evacuations.js';
import type {OperatorRow, PlatformClient} from './platform-client.js';

/** Name of the team to whose quota all requests of the platform's clients count. */
export const clientTeam = 'clients';

/** How long a read waits at the store for a change. A longer wait would delay the detection of a connection that no longer responds. */
const longPollMs: Milliseconds = 700;
/** Maximum number of tasks in one job, as the users require. */
const maxTasksPerJob = 1100;
/** Largest payload of a task, which is the description of the task that the client sends. The platform's documentation states this limit. */
const maxPayloadBytes = 4000;
/** Upper bound on the deadline that a client may state. */
const maxDeadlineMs: Milliseconds = 60_000;
/** Upper bound on the durations of a route; timers of the runtime overflow at 24 days. */
const maxDurationMs: Milliseconds = 86_400_000;
const unlimited = 1_000_000_000;
const configRowName = 'config';
const evacuationRowPrefix = 'evacuate/';
/** All names with the prefix of evacuations are less than this one. */
const evacuationRowsEnd = `${evacuationRowPrefix}\u{10FFFF}`;

/** Limits a duration instead of refusing it, since a configuration that is refused stays out of force as a whole. */
const durationSchema = z.number().transform(duration => Math.min(Math.max(0, duration), maxDurationMs));
const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	'path-prefix': z.string(),
	upstream: z.string(),
	'timeout-ms': durationSchema.default(30_000),
	// Despite its name this is only the margin of the objective, which is a multiple of the run time (`stretch`) plus this margin.
	'slo-ms': durationSchema.default(0),
	attempts: z.number().default(1),
	stretch: z.number().default(1),
	priority: z.number().default(0),
});
const stateSchema = z.object({
	// Messages carry it as a whole number.
	version: sequenceNumberSchema,
	routes: z.array(routeSchema),
	upstreams: z.array(z.object({name: z.string()})),
});

/** Creates a codec for the operator's row. The encoded form of a snapshot is the row's bytes as they were read. */
export function createDesiredStateCodec(): SnapshotCodec {
	const bytesBySnapshot = new WeakMap<Snapshot, Uint8Array>();
	return {
		encode: snapshot => bytesBySnapshot.get(snapshot) ?? new Uint8Array(),
		decode: (bytes, source) => readJson(stateSchema, Buffer.from(bytes).toString())
			.mapErr(reason => createDiagnostic(Diagnostics.Snapshot_is_invalid, source, reason))
			.andThen(state => toSnapshot(state, source))
			.map(snapshot => {
				bytesBySnapshot.set(snapshot, bytes);
				return snapshot;
			}),
	};
}

/** Dependencies of the source. */
export type DesiredStateSourceHost = {
	readonly client: Pick<PlatformClient, 'readOperatorRows' | 'waitForOperatorRows'>;
	/** Called with the evacuated data centres whenever they were read, before the configuration that was read with them is delivered. */
	onEvacuations(list: EvacuationList): void;
};

/** Creates a source that waits for changes of the operator's rows: the configuration and the evacuations. */
export function createDesiredStateSource({client, onEvacuations}: DesiredStateSourceHost): EncodedSnapshotSource {
	/** Revision up to which changes of the rows have been read; undefined if the rows have to be read whole. */
	let revision: number | undefined;
	/** The evacuated data centres as of `revision`. */
	const evacuated = new Set<string>();

	return {next};

	function next(): ResultAsync<Uint8Array | undefined, PlatformError> {
		return revision === undefined ? readRows() : waitForChanges(revision);
	}

	function readRows(): ResultAsync<Uint8Array | undefined, PlatformError> {
		return client.readOperatorRows(configRowName, evacuationRowsEnd).map(found => {
			({revision} = found);
			evacuated.clear();
			applyEvacuations(found.rows);
			reportEvacuations(found.revision);
			return tryEncodeConfig(found.rows);
		});
	}

	function waitForChanges(after: number): ResultAsync<Uint8Array | undefined, PlatformError> {
		return client.waitForOperatorRows(after, longPollMs).andThen(changes => {
			if (changes.kind === 'history-lost') {
				revision = undefined;
				return readRows();
			}

			revision = Math.max(after, changes.revision);
			if (applyEvacuations(changes.rows)) {
				reportEvacuations(revision);
			}

			return okAsync(tryEncodeConfig(changes.rows));
		}).orTee(() => {
			// The next answer of the store might skip a change, so the rows are read whole again.
			revision = undefined;
		});
	}

	/** Applies rows in their order; returns whether any of them is about an evacuation. */
	function applyEvacuations(rows: readonly OperatorRow[]): boolean {
		let isAny = false;
		for (const {name, text} of rows) {
			const dataCentre = tryGetEvacuatedDataCentre(name);
			if (dataCentre === undefined) {
				continue;
			}

			isAny = true;
			if (text === undefined) {
				evacuated.delete(dataCentre);
			} else {
				evacuated.add(dataCentre);
			}
		}

		return isAny;
	}

	function reportEvacuations(asOf: number): void {
		onEvacuations({revision: asOf, dataCentres: [...evacuated]});
	}
}

/** An evacuation is a row without content: its name ends in that of the data centre. */
function tryGetEvacuatedDataCentre(rowName: string): string | undefined {
	return rowName.startsWith(evacuationRowPrefix) && rowName !== evacuationRowPrefix ? rowName.slice(evacuationRowPrefix.length) : undefined;
}

function tryEncodeConfig(rows: readonly OperatorRow[]): Uint8Array | undefined {
	const text = rows.findLast(({name}) => name === configRowName)?.text;
	return text === undefined || text === '' ? undefined : Buffer.from(text);
}

function toSnapshot(state: z.infer<typeof stateSchema>, source: string): Result<Snapshot, Diagnostic> {
	const services = new Set(state.upstreams.map(({name}) => name));
	const broken = state.routes.find(route => !services.has(route.upstream));
	if (broken !== undefined) {
		return err(createDiagnostic(Diagnostics.Snapshot_is_invalid, source, `the route ${broken.name} names the service ${broken.upstream}, which does not exist`));
	}

	const objects: ConfigObject[] = [
		{
			kind: 'team', name: clientTeam, maxTasks: unlimited, weight: 1,
		},
		commonPolicy,
		...[...services].map((name): ConfigObject => ({
			kind: 'service', name, policy: commonPolicy.name, maxTasksPerJob, maxPayload: maxPayloadBytes,
		})),
		...state.routes.map((route): ConfigObject => ({
			kind: 'submission', name: route.name, service: route.upstream, team: clientTeam, idempotent: false, deadline: maxDeadlineMs, expectedRun: 1,
		})),
	];
	return ok({...createSnapshot(state.version, objects), routes: state.routes.map(route => toRoute(route))});
}

const commonPolicy: PolicyObject = {
	kind: 'policy',
	name: 'clients',
	placement: 'response',
	maxQueuedTasks: 100_000,
	taskTimeout: 60_000,
	deadline: maxDeadlineMs,
	retryPercent: 0,
	recordBeforeStart: false,
};

function toRoute(route: z.infer<typeof routeSchema>): Route {
	return {
		host: route.host,
		pathPrefix: route['path-prefix'],
		submission: route.name,
		deadline: route['timeout-ms'],
		attempts: route.attempts,
		stretch: route.stretch,
		margin: route['slo-ms'],
		priority: route.priority,
	};
}
