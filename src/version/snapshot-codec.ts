/**
 * Encoding of snapshots in the object store and between processes: JSON in UTF-8.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {readJson} from '../process/json.js';
import {decodeText} from '../process/text.js';
import {checkSnapshot} from './check.js';
import {
	dataCentreSchema, policySchema, serviceSchema, submissionSchema, teamSchema, upstreamSchema,
} from './schema.js';
import {createSnapshot} from './snapshot.js';
import type {Snapshot} from './types.js';

/** Encodes a snapshot for the object store and for peers. */
export function encodeSnapshot(snapshot: Snapshot): Uint8Array {
	const {version} = snapshot;
	const services = [...snapshot.services.values()];
	const upstreams = [...snapshot.upstreams.values()];
	const policies = [...snapshot.policies.values()];
	const submissions = [...snapshot.submissions.values()];
	const teams = [...snapshot.teams.values()];
	// Left out where there are none, so that earlier programs can read the rest.
	const dataCentres = snapshot.dataCentres.size === 0 ? undefined : [...snapshot.dataCentres.values()];
	return new TextEncoder().encode(JSON.stringify({
		format: 1, version, services, upstreams, policies, submissions, teams, dataCentres,
	}));
}

/** Decodes the output of {@link encodeSnapshot}. Rejects anything else, including broken references. `source` names the origin in diagnostics. */
export function decodeSnapshot(bytes: Uint8Array, source: string): Result<Snapshot, Diagnostic> {
	return decodeText(bytes)
		.andThen(text => readJson(snapshotSchema, text))
		.map(content => createSnapshot(content.version, [
			...content.services, ...content.upstreams, ...content.policies, ...content.submissions, ...content.teams, ...content.dataCentres,
		]))
		.andThen(snapshot => {
			const [diagnostic] = checkSnapshot(snapshot);
			return diagnostic === undefined ? ok(snapshot) : err(diagnostic.message);
		})
		.mapErr(reason => createDiagnostic(Diagnostics.Snapshot_is_invalid, source, reason));
}

const snapshotSchema = z.strictObject({
	format: z.literal(1),
	version: z.int().min(0),
	services: z.array(serviceSchema),
	upstreams: z.array(upstreamSchema),
	policies: z.array(policySchema),
	submissions: z.array(submissionSchema),
	teams: z.array(teamSchema),
	dataCentres: z.array(dataCentreSchema).default([]),
});
