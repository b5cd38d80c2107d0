/**
 * Checks change sets and versions as a whole: names, ranges, duplicates and references. Pure.
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

/** Where a change stands. */
export type SourceLocation = {
	readonly file: string;
	/** Line from 1, if known. */
	readonly line: number | undefined;
};

/** Tells where a change, or one field of it in the spelling of files, stands. */
export type LocateChange = (change: Change, field?: string) => SourceLocation | undefined;

/** What is known about the files that a change set was read from. */
export type CheckOptions = {
	readonly locate?: LocateChange;
	/** Whether a reference to this object is passed over, because the object itself could not be read. */
	readonly isUnreadable?: (name: ObjectName) => boolean;
};

/** All faults of a change set against the version that it would follow; empty if it may be published. */
export function checkChangeSet(changeSet: ChangeSet, snapshot: Snapshot, options: CheckOptions = {}): readonly Diagnostic[] {
	const {locate = () => undefined, isUnreadable = () => false} = options;
	const {changes} = changeSet;
	return [
		...checkHeading(changeSet),
		...checkRepetitions(changes, locate),
		...checkDeletions(changes, snapshot, locate),
		...changes.flatMap(change => change.kind === 'put' ? checkPut(change, locate) : []),
		...checkReferences(changes, snapshot, {locate, isUnreadable}),
	];
}

/** All faults of a version by itself; a published version has none. */
export function checkSnapshot(snapshot: Snapshot): readonly Diagnostic[] {
	return getObjects(snapshot).flatMap(object => [
		...checkObject(object).map(fault => fault.diagnostic),
		...getBrokenReferences(object, snapshot).map(reference => toBrokenReference(object, reference)),
	]);
}

type ObjectFault = {
	readonly diagnostic: Diagnostic;
	/** Name of the field in files. */
	readonly field: string;
};

type Reference = {
	readonly field: Field;
	readonly target: ObjectName;
};

type PutChange = Extract<Change, {readonly kind: 'put'}>;

type ChangesByName = ReadonlyMap<string, Change>;

function checkHeading(changeSet: ChangeSet): Diagnostic[] {
	const faults: Diagnostic[] = [];
	if (!objectNamePattern.test(changeSet.id)) {
		faults.push(createDiagnostic(Diagnostics.Change_set_id_is_invalid, changeSet.id));
	}

	for (const key of ['author', 'reason'] as const) {
		if (changeSet[key].trim() === '') {
			faults.push(createDiagnostic(Diagnostics.Change_set_lacks_text, key));
		}
	}

	if (changeSet.changes.length === 0) {
		faults.push(createDiagnostic(Diagnostics.Change_set_is_empty));
	}

	return faults;
}

function checkRepetitions(changes: readonly Change[], locate: LocateChange): Diagnostic[] {
	const seen = new Set<string>();
	const faults: Diagnostic[] = [];
	for (const change of changes) {
		const name = formatObjectName(getChangedObjectName(change));
		if (seen.has(name)) {
			faults.push(place(createDiagnostic(Diagnostics.Object_is_repeated, name), locate(change)));
		}

		seen.add(name);
	}

	return faults;
}

function checkDeletions(changes: readonly Change[], snapshot: Snapshot, locate: LocateChange): Diagnostic[] {
	return changes
		.filter(change => change.kind === 'delete' && tryGetObject(snapshot, getChangedObjectName(change)) === undefined)
		.map(change => place(createDiagnostic(Diagnostics.Object_is_absent, formatObjectName(getChangedObjectName(change))), locate(change)));
}

function checkPut(change: PutChange, locate: LocateChange): Diagnostic[] {
	return checkObject(change.object).map(fault => place(fault.diagnostic, locate(change, fault.field)));
}

/** Checks the references of all objects of the version that the changes lead to, also of unchanged ones. */
function checkReferences(changes: readonly Change[], snapshot: Snapshot, {locate, isUnreadable}: Required<CheckOptions>): Diagnostic[] {
	const changesByName = new Map(changes.map(change => [formatObjectName(getChangedObjectName(change)), change]));
	const next = applyChanges(snapshot, changes, snapshot.version + 1);
	return getObjects(next).flatMap(object => getBrokenReferences(object, next)
		.filter(({target}) => !isUnreadable(target))
		.map(reference => {
			const change = changesByName.get(formatObjectName(object));
			return change === undefined
				? toObjectInUse(object, reference, changesByName, locate)
				: place(toBrokenReference(object, reference), locate(change, reference.field.tomlKey));
		}));
}

function checkObject(object: ConfigObject): ObjectFault[] {
	const faults: ObjectFault[] = [];
	const name = formatObjectName(object);
	if (!objectNamePattern.test(object.name)) {
		faults.push({diagnostic: createDiagnostic(Diagnostics.Name_is_invalid, name), field: 'name'});
	}

	for (const field of getFields(object.kind)) {
		const value = getFieldValue(object, field);
		if (field.range !== undefined && typeof value === 'number' && (value < field.range.min || value > field.range.max)) {
			const {min, max} = field.range;
			faults.push({diagnostic: createDiagnostic(Diagnostics.Field_is_out_of_range, name, field.tomlKey, value, min, max), field: field.tomlKey});
		}
	}

	if (object.kind === 'submission' && object.expectedRun > object.deadline) {
		faults.push({diagnostic: createDiagnostic(Diagnostics.Run_time_exceeds_deadline, name, object.expectedRun, object.deadline), field: 'expectedRunMs'});
	}

	return faults;
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

function toBrokenReference(object: ConfigObject, {field, target}: Reference): Diagnostic {
	return createDiagnostic(Diagnostics.Reference_is_broken, formatObjectName(object), field.tomlKey, formatObjectName(target));
}

/** An unchanged object can only lose what it refers to by a deletion. */
function toObjectInUse(object: ConfigObject, {target}: Reference, changesByName: ChangesByName, locate: LocateChange): Diagnostic {
	const deletion = changesByName.get(formatObjectName(target));
	const diagnostic = createDiagnostic(Diagnostics.Object_is_in_use, formatObjectName(target), formatObjectName(object));
	return place(diagnostic, deletion === undefined ? undefined : locate(deletion));
}

function place(diagnostic: Diagnostic, at: SourceLocation | undefined): Diagnostic {
	return at === undefined ? diagnostic : {...diagnostic, ...at};
}
