/**
 * Converts the operator's configuration to a snapshot of this project's objects. The platform's store holds the whole
 * active configuration as one row of JSON. Each route becomes a submission; all services share one policy.
 */
import {Buffer} from 'node:buffer';
import {
	err, ok, okAsync, type Result, type ResultAsync,
} from 'neverthrow';
import {z} from 'zod';
import type {Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {readJson} from '../process/json.js';
import type {PlatformError} from '../process/platform/types.js';
import {createSnapshot} from '../version/snapshot.js';
import type {
	ConfigObject, PolicyObject, Route, Snapshot,
} from '../version/types.js';
import type {SnapshotCodec} from '../version/snapshot-holder.js';
import type {EncodedSnapshotSource} from '../version/long-poll-follower.js';
import type {PlatformClient} from './platform-client.js';

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
const unlimited = 1_000_000_000;
const configRowName = 'config';

const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	'path-prefix': z.string(),
	upstream: z.string(),
	'timeout-ms': z.number().default(30_000),
	// Despite its name this is only the margin of the objective, which is a multiple of the run time (`stretch`) plus this margin.
	'slo-ms': z.number().default(0),
	attempts: z.number().default(1),
	stretch: z.number().default(1),
	priority: z.number().default(0),
});
const stateSchema = z.object({
	version: z.number(),
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

/** Creates a source that waits for changes of the operator's row. */
export function createDesiredStateSource(client: Pick<PlatformClient, 'readOperatorRow' | 'waitForOperatorRow'>): EncodedSnapshotSource {
	/** Revision up to which changes of the row have been read; undefined if the whole row has to be read. */
	let revision: number | undefined;

	return {next};

	function next(): ResultAsync<Uint8Array | undefined, PlatformError> {
		return revision === undefined ? readRow() : waitForChange(revision);
	}

	function readRow(): ResultAsync<Uint8Array | undefined, PlatformError> {
		return client.readOperatorRow(configRowName).map(row => {
			({revision} = row);
			return encode(row.text);
		});
	}

	function waitForChange(after: number): ResultAsync<Uint8Array | undefined, PlatformError> {
		return client.waitForOperatorRow(configRowName, after, longPollMs).andThen(change => {
			if (change.kind === 'history-lost') {
				revision = undefined;
				return readRow();
			}

			revision = Math.max(after, change.revision);
			return okAsync(encode(change.text));
		}).orTee(() => {
			// The next answer of the store might skip a change, so the whole row is read again.
			revision = undefined;
		});
	}
}

function encode(text: string | undefined): Uint8Array | undefined {
	return text === undefined ? undefined : Buffer.from(text);
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
