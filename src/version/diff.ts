/**
 * Tells what a change set changes, in lines that operators read.
 */
import {getFields, getFieldValue, type Field} from './fields.js';
import {formatObjectName, getChangedObjectName, tryGetObject} from './snapshot.js';
import type {Change, ConfigObject, Snapshot} from './types.js';

/** One line for each object added (+), changed (~) or deleted (-), followed by one for each field that changes. */
export function diffChanges(changes: readonly Change[], snapshot: Snapshot): readonly string[] {
	return changes.flatMap(change => {
		const before = tryGetObject(snapshot, getChangedObjectName(change));
		return diffObject(before, change.kind === 'put' ? change.object : undefined);
	});
}

/** One line for each changed object, as kept in the audit record. */
export function summarizeChanges(changes: readonly Change[]): readonly string[] {
	return changes.map(change => `${change.kind} ${formatObjectName(getChangedObjectName(change))}`);
}

/** One line for an object and one for each of its fields, in the spelling of files. */
export function describeObject(object: ConfigObject): readonly string[] {
	return [
		formatObjectName(object),
		...getFields(object.kind).map(field => `    ${field.tomlKey} = ${formatValue(object, field)}`),
	];
}

function diffObject(before: ConfigObject | undefined, after: ConfigObject | undefined): string[] {
	if (before === undefined) {
		return after === undefined ? [] : prefixHeading('+', describeObject(after));
	}

	if (after === undefined) {
		return [`- ${formatObjectName(before)}`];
	}

	const fields = getFields(after.kind)
		.filter(field => getFieldValue(before, field) !== getFieldValue(after, field))
		.map(field => `    ${field.tomlKey}: ${formatValue(before, field)} -> ${formatValue(after, field)}`);
	return fields.length === 0 ? [] : [`~ ${formatObjectName(after)}`, ...fields];
}

function prefixHeading(sign: string, lines: readonly string[]): string[] {
	return lines.map((line, index) => index === 0 ? `${sign} ${line}` : line);
}

function formatValue(object: ConfigObject, field: Field): string {
	return JSON.stringify(getFieldValue(object, field));
}
