/**
 * Parses changes from TOML files: an array of tables for each kind of object, and `[[delete]]` with `kind` and `name`.
 * Keys are in camelCase; those of durations end in `Ms`. The diagnostics of all files are reported together.
 */
import type {Result} from 'neverthrow';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {tryGetNearest} from '../process/edit-distance.js';
import {
	checkSchema, formatPath, parseToml, type SchemaViolation, type TomlDocument, type TomlPath,
} from '../process/toml.js';
import type {LocateChange, SourceLocation} from './check.js';
import {deleteTableSchema, tableSchemas} from './schema.js';
import {formatObjectName} from './snapshot.js';
import {
	objectKinds, type Change, type ObjectKind, type ObjectName,
} from './types.js';

/** A TOML file with objects. */
export type SourceFile = {
	readonly name: string;
	readonly text: string;
};

/** The changes that files describe, and a diagnostic for everything that could not be parsed. */
export type ParsedFiles = {
	/** In the order of files; within a file by the first occurrence of their kind, then by line. */
	readonly changes: readonly Change[];
	readonly diagnostics: readonly Diagnostic[];
	readonly locate: LocateChange;
	/** Whether a file or table that could not be parsed may define this object; references to it are then not reported as broken. */
	readonly isUnreadable: (name: ObjectName) => boolean;
};

/** Parses the changes of all files. */
export function parseChangeFiles(files: readonly SourceFile[]): ParsedFiles {
	const contents = files.map(file => parseFile(file));
	const fileErrors = contents.flatMap(content => content.errors);
	const outcomes = contents.flatMap(content => content.tables).map(table => parseTable(table));
	const tables = new Map<Change, Table>();
	const unreadable = new Set<string>();
	for (const {table, change} of outcomes) {
		if (change === undefined) {
			unreadable.add(describeTable(table));
		} else {
			tables.set(change, table);
		}
	}

	return {
		changes: [...tables.keys()],
		diagnostics: [...fileErrors, ...outcomes.flatMap(({errors}) => errors)],
		locate(change, field) {
			const table = tables.get(change);
			return table === undefined ? undefined : getSourceLocation(table, field === undefined ? [] : [field]);
		},
		isUnreadable: name => fileErrors.length > 0 || unreadable.has(formatObjectName(name)),
	};
}

type TableKind = ObjectKind | 'delete';

const tableKinds: ReadonlyMap<string, TableKind> = new Map([...objectKinds, 'delete' as const].map(kind => [kind, kind]));

type FileContent = {
	readonly tables: readonly Table[];
	readonly errors: readonly Diagnostic[];
};

/** One table of a file. */
type Table = {
	readonly file: string;
	readonly document: TomlDocument;
	readonly kind: TableKind;
	/** Position among the tables of its kind, from 0. */
	readonly index: number;
	readonly value: unknown;
};

type TableOutcome = {
	readonly table: Table;
	/** Undefined if the table cannot be parsed. */
	readonly change: Change | undefined;
	readonly errors: readonly Diagnostic[];
};

function parseFile({name, text}: SourceFile): FileContent {
	return parseToml(text).match(
		document => parseDocument(name, document),
		({message, line}) => ({tables: [], errors: [{...createDiagnostic(Diagnostics.Objects_are_not_toml, message), file: name, line}]}),
	);
}

function parseDocument(file: string, document: TomlDocument): FileContent {
	const tables: Table[] = [];
	const errors: Diagnostic[] = [];
	for (const [key, list] of Object.entries(document.root)) {
		const kind = tableKinds.get(key);
		if (kind !== undefined && Array.isArray(list)) {
			tables.push(...list.map((value: unknown, index) => ({
				file, document, kind, index, value,
			})));
		} else {
			errors.push({...toKindDiagnostic(key), file, line: document.tryGetLine([key])});
		}
	}

	return {tables, errors};
}

function toKindDiagnostic(key: string): Diagnostic {
	return tableKinds.has(key)
		? createDiagnostic(Diagnostics.Kind_is_not_a_list, key)
		: createDiagnostic(Diagnostics.Kind_is_unknown, key, tryGetNearest(key, [...tableKinds.keys()]) ?? 'none');
}

/** Parses one table. If unknown fields are its only violations, it is parsed without them, so that later checks still cover its other fields. */
function parseTable(table: Table): TableOutcome {
	return parseChange(table, table.value).match(
		change => ({table, change, errors: []}),
		violations => ({
			table,
			change: violations.every(violation => violation.kind === 'unknown') ? parseChange(table, omitFields(table.value, violations)).unwrapOr(undefined) : undefined,
			errors: toDiagnostics(violations, table),
		}),
	);
}

function parseChange({kind}: Table, value: unknown): Result<Change, readonly SchemaViolation[]> {
	return kind === 'delete'
		? checkSchema(deleteTableSchema, value).map(name => ({kind: 'delete', objectKind: name.kind, name: name.name}))
		: checkSchema(tableSchemas[kind], value).map(object => ({kind: 'put', object}));
}

function omitFields(value: unknown, violations: readonly SchemaViolation[]): unknown {
	const keys = new Set(violations.map(violation => formatPath(violation.path)));
	return Object.fromEntries(Object.entries(value ?? {}).filter(([key]) => !keys.has(key)));
}

function toDiagnostics(violations: readonly SchemaViolation[], table: Table): Diagnostic[] {
	return violations
		.map(violation => ({...toDiagnostic(violation, table), ...getSourceLocation(table, violation.path)}))
		.toSorted((a, b) => (a.line ?? 0) - (b.line ?? 0));
}

function toDiagnostic(violation: SchemaViolation, table: Table): Diagnostic {
	const subject = describeTable(table);
	const field = formatPath(violation.path);
	switch (violation.kind) {
		case 'unknown': {
			return createDiagnostic(Diagnostics.Field_is_unknown, subject, field, violation.nearest ?? 'none');
		}

		case 'missing': {
			return createDiagnostic(Diagnostics.Field_is_missing, subject, field);
		}

		case 'invalid': {
			return createDiagnostic(Diagnostics.Field_is_invalid, subject, field, violation.detail);
		}
	}
}

function getSourceLocation({file, document, kind, index}: Table, path: TomlPath): SourceLocation {
	return {file, line: document.tryGetLine([kind, index, ...path])};
}

/** Names a table by its object if that has a name, and otherwise by its position, starting at 1. */
function describeTable({document, kind, index}: Table): string {
	const name = document.tryGetValue([kind, index, 'name']);
	return typeof name === 'string' ? `${kind} ${name}` : `${kind} no. ${index + 1}`;
}
