/**
 * Checks change sets and snapshots: names, ranges, duplicates and references. All functions are pure.
 */
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {
	getFields, getFieldValue, objectNamePattern, type Field,
} from './fields.js';
import {
	applyChanges, formatObjectName, getChangedObjectName, getObjects, tryGetObject,
} from './snapshot.js';
import type {
	Change, ChangeSet, ConfigObject, ObjectName, Snapshot,
} from './types.js';

/** Source location of a change. */
export type SourceLocation = {
	readonly file: string;
	/** Line number, starting at 1, if known. */
	readonly line: number | undefined;
};

/** Returns the source location of a change, or of one of its fields, given by its TOML key. */
export type LocateChange = (change: Change, field?: string) => SourceLocation | undefined;

/** Options for change sets that were parsed from files. */
export type CheckOptions = {
	readonly locate?: LocateChange;
	/** Whether the object itself could not be parsed, so that references to it are not reported as broken. */
	readonly isUnreadable?: (name: ObjectName) => boolean;
};

/** Checks a change set against the snapshot that it would be applied to. Returns no diagnostics if it may be published. */
export function checkChangeSet(changeSet: ChangeSet, snapshot: Snapshot, options: CheckOptions = {}): readonly Diagnostic[] {
	const {locate = () => undefined, isUnreadable = () => false} = options;
	const {changes} = changeSet;
	return [
		...checkMetadata(changeSet),
		...checkDuplicates(changes, locate),
		...checkDeletions(changes, snapshot, locate),
		...changes.flatMap(change => change.kind === 'put' ? checkPut(change, locate) : []),
		...checkReferences(changes, snapshot, {locate, isUnreadable}),
	];
}

/** Checks a snapshot by itself. A published snapshot has no diagnostics. */
export function checkSnapshot(snapshot: Snapshot): readonly Diagnostic[] {
	return getObjects(snapshot).flatMap(object => [
		...checkObject(object).map(found => found.diagnostic),
		...getBrokenReferences(object, snapshot).map(reference => createBrokenReferenceDiagnostic(object, reference)),
	]);
}

type ObjectDiagnostic = {
	readonly diagnostic: Diagnostic;
	/** TOML key of the field. */
	readonly field: string;
};

type Reference = {
	readonly field: Field;
	readonly target: ObjectName;
};

type PutChange = Extract<Change, {readonly kind: 'put'}>;

type ChangesByName = ReadonlyMap<string, Change>;

function checkMetadata(changeSet: ChangeSet): Diagnostic[] {
	const diagnostics: Diagnostic[] = [];
	if (!objectNamePattern.test(changeSet.id)) {
		diagnostics.push(createDiagnostic(Diagnostics.Change_set_id_is_invalid, changeSet.id));
	}

	for (const key of ['author', 'reason'] as const) {
		if (changeSet[key].trim() === '') {
			diagnostics.push(createDiagnostic(Diagnostics.Change_set_lacks_text, key));
		}
	}

	if (changeSet.changes.length === 0) {
		diagnostics.push(createDiagnostic(Diagnostics.Change_set_is_empty));
	}

	return diagnostics;
}

function checkDuplicates(changes: readonly Change[], locate: LocateChange): Diagnostic[] {
	const seen = new Set<string>();
	const diagnostics: Diagnostic[] = [];
	for (const change of changes) {
		const name = formatObjectName(getChangedObjectName(change));
		if (seen.has(name)) {
			diagnostics.push(addLocation(createDiagnostic(Diagnostics.Object_is_repeated, name), locate(change)));
		}

		seen.add(name);
	}

	return diagnostics;
}

function checkDeletions(changes: readonly Change[], snapshot: Snapshot, locate: LocateChange): Diagnostic[] {
	return changes
		.filter(change => change.kind === 'delete' && tryGetObject(snapshot, getChangedObjectName(change)) === undefined)
		.map(change => addLocation(createDiagnostic(Diagnostics.Object_is_absent, formatObjectName(getChangedObjectName(change))), locate(change)));
}

function checkPut(change: PutChange, locate: LocateChange): Diagnostic[] {
	return checkObject(change.object).map(found => addLocation(found.diagnostic, locate(change, found.field)));
}

/** Checks the references of all objects in the resulting snapshot, including unchanged ones. */
function checkReferences(changes: readonly Change[], snapshot: Snapshot, {locate, isUnreadable}: Required<CheckOptions>): Diagnostic[] {
	const changesByName = new Map(changes.map(change => [formatObjectName(getChangedObjectName(change)), change]));
	const next = applyChanges(snapshot, changes, snapshot.version + 1);
	return getObjects(next).flatMap(object => getBrokenReferences(object, next)
		.filter(({target}) => !isUnreadable(target))
		.map(reference => {
			const change = changesByName.get(formatObjectName(object));
			return change === undefined
				? createObjectInUseDiagnostic(object, reference, changesByName, locate)
				: addLocation(createBrokenReferenceDiagnostic(object, reference), locate(change, reference.field.tomlKey));
		}));
}

function checkObject(object: ConfigObject): ObjectDiagnostic[] {
	const diagnostics: ObjectDiagnostic[] = [];
	const name = formatObjectName(object);
	if (!objectNamePattern.test(object.name)) {
		diagnostics.push({diagnostic: createDiagnostic(Diagnostics.Name_is_invalid, name), field: 'name'});
	}

	for (const field of getFields(object.kind)) {
		const value = getFieldValue(object, field);
		if (field.range !== undefined && typeof value === 'number' && (value < field.range.min || value > field.range.max)) {
			const {min, max} = field.range;
			diagnostics.push({diagnostic: createDiagnostic(Diagnostics.Field_is_out_of_range, name, field.tomlKey, value, min, max), field: field.tomlKey});
		}
	}

	if (object.kind === 'submission' && object.expectedRun > object.deadline) {
		diagnostics.push({diagnostic: createDiagnostic(Diagnostics.Run_time_exceeds_deadline, name, object.expectedRun, object.deadline), field: 'expectedRunMs'});
	}

	return diagnostics;
}

function getBrokenReferences(object: ConfigObject, snapshot: Snapshot): Reference[] {
	const broken: Reference[] = [];
	for (const field of getFields(object.kind)) {
		if (field.referencedKind !== undefined) {
			const target = {kind: field.referencedKind, name: String(getFieldValue(object, field))};
			if (tryGetObject(snapshot, target) === undefined) {
				broken.push({field, target});
			}
		}
	}

	return broken;
}

function createBrokenReferenceDiagnostic(object: ConfigObject, {field, target}: Reference): Diagnostic {
	return createDiagnostic(Diagnostics.Reference_is_broken, formatObjectName(object), field.tomlKey, formatObjectName(target));
}

/** Reports a broken reference of an unchanged object, which can only be caused by the deletion of its target. */
function createObjectInUseDiagnostic(object: ConfigObject, {target}: Reference, changesByName: ChangesByName, locate: LocateChange): Diagnostic {
	const deletion = changesByName.get(formatObjectName(target));
	const diagnostic = createDiagnostic(Diagnostics.Object_is_in_use, formatObjectName(target), formatObjectName(object));
	return addLocation(diagnostic, deletion === undefined ? undefined : locate(deletion));
}

function addLocation(diagnostic: Diagnostic, location: SourceLocation | undefined): Diagnostic {
	return location === undefined ? diagnostic : {...diagnostic, ...location};
}
