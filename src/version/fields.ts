/**
 * One table of the fields of all objects: how files call them, their ranges and what they refer to.
 */
import type {ConfigObject, ObjectKind} from './types.js';

/** Least and greatest value of a number, both allowed. */
export type Range = {
	readonly min: number;
	readonly max: number;
};

/** One field of one kind of object. */
export type Field = {
	/** Name in the object. */
	readonly name: string;
	/** Name in files, which states the unit. */
	readonly fileName: string;
	readonly range?: Range;
	/** Kind of the object whose name the field holds. */
	readonly refersTo?: ObjectKind;
};

/** The form of names of objects. */
export const namePattern = /^[a-z0-9][a-z0-9.\-]{0,62}$/v;

const dayMs = 86_400_000;
const hourMs = 3_600_000;

const fieldsByKind: {readonly [K in ObjectKind]: ReadonlyArray<FieldOf<K>>} = {
	service: [
		{name: 'policy', fileName: 'policy', refersTo: 'policy'},
		{name: 'maxTasksPerJob', fileName: 'maxTasksPerJob', range: {min: 1, max: 100_000}},
		{name: 'maxPayload', fileName: 'maxPayloadBytes', range: {min: 0, max: 67_108_864}},
	],
	upstream: [
		{name: 'service', fileName: 'service', refersTo: 'service'},
		{name: 'slots', fileName: 'slots', range: {min: 1, max: 65_535}},
		{name: 'drain', fileName: 'drain'},
	],
	policy: [
		{name: 'placement', fileName: 'placement'},
		{name: 'maxQueuedTasks', fileName: 'maxQueuedTasks', range: {min: 1, max: 10_000_000}},
		{name: 'taskTimeout', fileName: 'taskTimeoutMs', range: {min: 1, max: hourMs}},
		{name: 'deadline', fileName: 'deadlineMs', range: {min: 1, max: dayMs}},
		{name: 'retryPercent', fileName: 'retryPercent', range: {min: 0, max: 100}},
		{name: 'recordBeforeStart', fileName: 'recordBeforeStart'},
	],
	submission: [
		{name: 'service', fileName: 'service', refersTo: 'service'},
		{name: 'team', fileName: 'team', refersTo: 'team'},
		{name: 'idempotent', fileName: 'idempotent'},
		{name: 'deadline', fileName: 'deadlineMs', range: {min: 1, max: dayMs}},
		{name: 'expectedRun', fileName: 'expectedRunMs', range: {min: 0, max: hourMs}},
	],
	team: [
		{name: 'maxTasks', fileName: 'maxTasks', range: {min: 1, max: 10_000_000}},
		{name: 'weight', fileName: 'weight', range: {min: 1, max: 1000}},
	],
};

/** The fields of one kind of object beside its name, in the order in which they are listed. */
export function getFields(kind: ObjectKind): readonly Field[] {
	return fieldsByKind[kind];
}

/** The value of one field of an object; undefined if its kind has no such field. */
export function getFieldValue(object: ConfigObject, field: Field): string | number | boolean | undefined {
	const values: Readonly<Record<string, string | number | boolean>> = object;
	return values[field.name];
}

type FieldOf<K extends ObjectKind> = Field & {readonly name: keyof Extract<ConfigObject, {readonly kind: K}>};
