/**
 * The operator's configuration as the platform's store holds it: one row of JSON with everything in force. It becomes
 * a version of our objects. A route becomes a submission with its own policy.
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

/** The team that all requests of the platform's clients count towards. */
export const clientTeam = 'clients';

/** Time that a read waits at the store for a change; a silent connection is noticed this late. */
const watchMs: Milliseconds = 700;
/** Most tasks in one job, from the users' aim. */
const maxTasksPerJob = 1100;
/** Longest description of a task, as the platform's page states it. */
const maxPayloadBytes = 4000;
/** Bound on the time that a client may state for its answer. */
const maxDeadlineMs: Milliseconds = 60_000;
const unlimited = 1_000_000_000;
const configRow = 'config';

const wireRoute = z.object({
	name: z.string(),
	host: z.string(),
	'path-prefix': z.string(),
	upstream: z.string(),
	'timeout-ms': z.number().default(30_000),
	// Named for an objective, but only the margin of it: the objective is a multiple of the work and this.
	'slo-ms': z.number().default(0),
	attempts: z.number().default(1),
	stretch: z.number().default(1),
});
const wireState = z.object({
	version: z.number(),
	routes: z.array(wireRoute),
	upstreams: z.array(z.object({name: z.string()})),
});

/** Reads the operator's row; encoded versions are its bytes as they were read. */
export function createDesiredStateCodec(): SnapshotCodec {
	const bytesOf = new WeakMap<Snapshot, Uint8Array>();
	return {
		encode: snapshot => bytesOf.get(snapshot) ?? new Uint8Array(),
		decode: (bytes, source) => readJson(wireState, Buffer.from(bytes).toString())
			.mapErr(reason => createDiagnostic(Diagnostics.Snapshot_is_invalid, source, reason))
			.andThen(state => toSnapshot(state, source))
			.map(snapshot => {
				bytesOf.set(snapshot, bytes);
				return snapshot;
			}),
	};
}

/** Watches the operator's row. */
export function createDesiredStateSource(client: Pick<PlatformClient, 'readOperatorRow' | 'waitForOperatorRow'>): EncodedSnapshotSource {
	/** Revision up to which the row is known; undefined if it has to be read. */
	let revision: number | undefined;

	return {next};

	function next(): ResultAsync<Uint8Array | undefined, PlatformError> {
		return revision === undefined ? read() : watch(revision);
	}

	function read(): ResultAsync<Uint8Array | undefined, PlatformError> {
		return client.readOperatorRow(configRow).map(row => {
			({revision} = row);
			return encode(row.text);
		});
	}

	function watch(after: number): ResultAsync<Uint8Array | undefined, PlatformError> {
		return client.waitForOperatorRow(configRow, after, watchMs).andThen(change => {
			if (change.kind === 'history-lost') {
				revision = undefined;
				return read();
			}

			revision = Math.max(after, change.revision);
			return okAsync(encode(change.text));
		}).orTee(() => {
			// What the store answered next might skip a change, so the row is read whole.
			revision = undefined;
		});
	}
}

function encode(text: string | undefined): Uint8Array | undefined {
	return text === undefined ? undefined : Buffer.from(text);
}

function toSnapshot(state: z.infer<typeof wireState>, source: string): Result<Snapshot, Diagnostic> {
	const services = new Set(state.upstreams.map(({name}) => name));
	const lost = state.routes.find(route => !services.has(route.upstream));
	if (lost !== undefined) {
		return err(createDiagnostic(Diagnostics.Snapshot_is_invalid, source, `the route ${lost.name} names the service ${lost.upstream}, which does not exist`));
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

function toRoute(route: z.infer<typeof wireRoute>): Route {
	return {
		host: route.host,
		pathPrefix: route['path-prefix'],
		submission: route.name,
		deadline: route['timeout-ms'],
		attempts: route.attempts,
		stretch: route.stretch,
		margin: route['slo-ms'],
	};
}
