/**
 * Table of the fields of all kinds of objects, with their TOML keys, ranges and references.
 */
import type {ConfigObject, ObjectKind} from './types.js';

/** Smallest and largest allowed value of a number. */
export type Range = {
	readonly min: number;
	readonly max: number;
};

/** One field of one kind of object. */
export type Field = {
	/** Name of the property. */
	readonly name: string;
	/** Key in TOML files, which states the unit. */
	readonly tomlKey: string;
	readonly range?: Range;
	/** Kind of the object whose name the field holds. */
	readonly referencedKind?: ObjectKind;
};

/** Pattern of valid object names. */
export const objectNamePattern = /^[a-z0-9][a-z0-9.\-]{0,62}$/v;

const dayMs = 86_400_000;
const hourMs = 3_600_000;

const fieldsByKind: {readonly [K in ObjectKind]: ReadonlyArray<FieldOf<K>>} = {
	service: [
		{name: 'policy', tomlKey: 'policy', referencedKind: 'policy'},
		{name: 'maxTasksPerJob', tomlKey: 'maxTasksPerJob', range: {min: 1, max: 100_000}},
		{name: 'maxPayload', tomlKey: 'maxPayloadBytes', range: {min: 0, max: 67_108_864}},
	],
	upstream: [
		{name: 'service', tomlKey: 'service', referencedKind: 'service'},
		{name: 'slots', tomlKey: 'slots', range: {min: 1, max: 65_535}},
		{name: 'drain', tomlKey: 'drain'},
	],
	policy: [
		{name: 'placement', tomlKey: 'placement'},
		{name: 'maxQueuedTasks', tomlKey: 'maxQueuedTasks', range: {min: 1, max: 10_000_000}},
		{name: 'taskTimeout', tomlKey: 'taskTimeoutMs', range: {min: 1, max: hourMs}},
		{name: 'deadline', tomlKey: 'deadlineMs', range: {min: 1, max: dayMs}},
		{name: 'retryPercent', tomlKey: 'retryPercent', range: {min: 0, max: 100}},
		{name: 'recordBeforeStart', tomlKey: 'recordBeforeStart'},
		{name: 'lookAhead', tomlKey: 'lookAhead'},
	],
	submission: [
		{name: 'service', tomlKey: 'service', referencedKind: 'service'},
		{name: 'team', tomlKey: 'team', referencedKind: 'team'},
		{name: 'idempotent', tomlKey: 'idempotent'},
		{name: 'deadline', tomlKey: 'deadlineMs', range: {min: 1, max: dayMs}},
		{name: 'expectedRun', tomlKey: 'expectedRunMs', range: {min: 0, max: hourMs}},
	],
	team: [
		{name: 'maxTasks', tomlKey: 'maxTasks', range: {min: 1, max: 10_000_000}},
		{name: 'weight', tomlKey: 'weight', range: {min: 1, max: 1000}},
	],
	'data-centre': [
		{name: 'drain', tomlKey: 'drain'},
	],
};

/** Returns the fields of one kind of object, except its name, in the order in which they are printed. */
export function getFields(kind: ObjectKind): readonly Field[] {
	return fieldsByKind[kind];
}

/** Returns the value of one field of an object; undefined if its kind has no such field. */
export function getFieldValue(object: ConfigObject, field: Field): string | number | boolean | undefined {
	const values: Readonly<Record<string, string | number | boolean>> = object;
	return values[field.name];
}

type FieldOf<K extends ObjectKind> = Field & {readonly name: keyof Extract<ConfigObject, {readonly kind: K}>};
