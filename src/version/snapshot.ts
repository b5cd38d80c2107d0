/**
 * Creates snapshots, looks up objects in them and applies changes to them.
 */
import {
	objectKinds, type Change, type ConfigObject, type DataCentreObject, type ObjectKind, type ObjectName, type PolicyObject, type ServiceObject, type Snapshot, type SubmissionObject, type TeamObject, type UpstreamObject,
} from './types.js';

/** The configuration before the first publication. */
export const emptySnapshot: Snapshot = createSnapshot(0, []);

/** Creates a snapshot of version `version` that holds `objects`. */
export function createSnapshot(version: number, objects: Iterable<ConfigObject>): Snapshot {
	const draft = createDraft(version);
	for (const object of objects) {
		put(draft, object);
	}

	return draft;
}

/** Returns the snapshot of version `version` that results from applying `changes` to `snapshot`. */
export function applyChanges(snapshot: Snapshot, changes: readonly Change[], version: number): Snapshot {
	const draft = copy(snapshot, version);
	for (const change of changes) {
		if (change.kind === 'put') {
			put(draft, change.object);
		} else {
			remove(draft, getChangedObjectName(change));
		}
	}

	return draft;
}

/** Returns the name of the object that a change puts or deletes. */
export function getChangedObjectName(change: Change): ObjectName {
	return change.kind === 'put'
		? {kind: change.object.kind, name: change.object.name}
		: {kind: change.objectKind, name: change.name};
}

/** Formats the name of an object for output, for instance "service ordering". */
export function formatObjectName({kind, name}: ObjectName): string {
	return `${kind} ${name}`;
}

/** Returns the objects of one kind, by name. */
export function getObjectsOfKind(snapshot: Snapshot, kind: ObjectKind): ReadonlyMap<string, ConfigObject> {
	switch (kind) {
		case 'service': {
			return snapshot.services;
		}

		case 'upstream': {
			return snapshot.upstreams;
		}

		case 'policy': {
			return snapshot.policies;
		}

		case 'submission': {
			return snapshot.submissions;
		}

		case 'team': {
			return snapshot.teams;
		}

		case 'data-centre': {
			return snapshot.dataCentres;
		}
	}
}

/** Returns an object; undefined if the snapshot does not have it. */
export function tryGetObject(snapshot: Snapshot, {kind, name}: ObjectName): ConfigObject | undefined {
	return getObjectsOfKind(snapshot, kind).get(name);
}

/** Returns all objects, by kind and then in the order in which they were first published. */
export function getObjects(snapshot: Snapshot): ConfigObject[] {
	return objectKinds.flatMap(kind => [...getObjectsOfKind(snapshot, kind).values()]);
}

type Draft = {
	readonly version: number;
	readonly services: Map<string, ServiceObject>;
	readonly upstreams: Map<string, UpstreamObject>;
	readonly policies: Map<string, PolicyObject>;
	readonly submissions: Map<string, SubmissionObject>;
	readonly teams: Map<string, TeamObject>;
	readonly dataCentres: Map<string, DataCentreObject>;
};

function createDraft(version: number): Draft {
	return {
		version,
		services: new Map(),
		upstreams: new Map(),
		policies: new Map(),
		submissions: new Map(),
		teams: new Map(),
		dataCentres: new Map(),
	};
}

function copy(snapshot: Snapshot, version: number): Draft {
	return {
		version,
		services: new Map(snapshot.services),
		upstreams: new Map(snapshot.upstreams),
		policies: new Map(snapshot.policies),
		submissions: new Map(snapshot.submissions),
		teams: new Map(snapshot.teams),
		dataCentres: new Map(snapshot.dataCentres),
	};
}

function put(draft: Draft, object: ConfigObject): void {
	switch (object.kind) {
		case 'service': {
			draft.services.set(object.name, object);
			break;
		}

		case 'upstream': {
			draft.upstreams.set(object.name, object);
			break;
		}

		case 'policy': {
			draft.policies.set(object.name, object);
			break;
		}

		case 'submission': {
			draft.submissions.set(object.name, object);
			break;
		}

		case 'team': {
			draft.teams.set(object.name, object);
			break;
		}

		case 'data-centre': {
			draft.dataCentres.set(object.name, object);
			break;
		}
	}
}

function remove(draft: Draft, {kind, name}: ObjectName): void {
	const maps: Readonly<Record<ObjectKind, Map<string, ConfigObject>>> = {
		service: draft.services,
		upstream: draft.upstreams,
		policy: draft.policies,
		submission: draft.submissions,
		team: draft.teams,
		'data-centre': draft.dataCentres,
	};
	maps[kind].delete(name);
}
