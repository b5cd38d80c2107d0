/**
 * Formats the differences that a change set makes, as lines of text for operators.
 */
import {getFields, getFieldValue, type Field} from './fields.js';
import {formatObjectName, getChangedObjectName, tryGetObject} from './snapshot.js';
import type {
	Change, ConfigObject, Route, Snapshot,
} from './types.js';

/** Returns one line for each object added (+), changed (~) or deleted (-), followed by one line for each field that changes. */
export function diffChanges(changes: readonly Change[], snapshot: Snapshot): readonly string[] {
	return changes.flatMap(change => {
		const before = tryGetObject(snapshot, getChangedObjectName(change));
		return diffObject(before, change.kind === 'put' ? change.object : undefined);
	});
}

/** Returns one line for each changed object, as stored in the audit record. */
export function summarizeChanges(changes: readonly Change[]): readonly string[] {
	return changes.map(change => `${change.kind} ${formatObjectName(getChangedObjectName(change))}`);
}

/** Returns one line for an object, followed by one line for each of its fields under its TOML key. */
export function describeObject(object: ConfigObject): readonly string[] {
	return [
		formatObjectName(object),
		...getFields(object.kind).filter(field => getFieldValue(object, field) !== undefined).map(field => `    ${field.tomlKey} = ${formatValue(object, field)}`),
	];
}

/** Returns one line for each route added (+), changed (~) or removed (-), followed by one line for each field that changes. */
export function diffRoutes(before: Snapshot, after: Snapshot): readonly string[] {
	const routesBefore = getServedRoutes(before);
	const routesAfter = getServedRoutes(after);
	const beforeByName = new Map(routesBefore.map(route => [route.submission, route]));
	const afterNames = new Set(routesAfter.map(({submission}) => submission));
	return [
		...routesAfter.flatMap(route => diffRoute(beforeByName.get(route.submission), route)),
		...routesBefore.filter(({submission}) => !afterNames.has(submission)).map(route => `- ${formatRoute(route)}`),
	];
}

/** A route with the service that runs its jobs. */
type ServedRoute = Route & {readonly service: string | undefined};

function getServedRoutes({routes = [], submissions}: Snapshot): readonly ServedRoute[] {
	return routes.map(route => ({...route, service: submissions.get(route.submission)?.service}));
}

function diffRoute(before: ServedRoute | undefined, after: ServedRoute): string[] {
	if (before === undefined) {
		return [`+ ${formatRoute(after)}`];
	}

	const fields = routeFields
		.filter(field => before[field] !== after[field])
		.map(field => `    ${field}: ${JSON.stringify(before[field])} -> ${JSON.stringify(after[field])}`);
	return fields.length === 0 ? [] : [`~ ${formatRoute(after)}`, ...fields];
}

const routeFields = ['host', 'pathPrefix', 'service', 'deadline', 'attempts', 'stretch', 'margin', 'priority'] as const;

function formatRoute({submission, host, pathPrefix}: Route): string {
	return `route ${submission} (${host}${pathPrefix})`;
}

function diffObject(before: ConfigObject | undefined, after: ConfigObject | undefined): string[] {
	if (before === undefined) {
		return after === undefined ? [] : prefixFirstLine('+', describeObject(after));
	}

	if (after === undefined) {
		return [`- ${formatObjectName(before)}`];
	}

	const fields = getFields(after.kind)
		.filter(field => getFieldValue(before, field) !== getFieldValue(after, field))
		.map(field => `    ${field.tomlKey}: ${formatValue(before, field)} -> ${formatValue(after, field)}`);
	return fields.length === 0 ? [] : [`~ ${formatObjectName(after)}`, ...fields];
}

function prefixFirstLine(sign: string, lines: readonly string[]): string[] {
	return lines.map((line, index) => index === 0 ? `${sign} ${line}` : line);
}

function formatValue(object: ConfigObject, field: Field): string {
	return JSON.stringify(getFieldValue(object, field)) ?? 'unset';
}
