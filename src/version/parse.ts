/**
 * Reads changes from TOML files: an array of tables for each kind of object, and `[[delete]]` with `kind` and `name`.
 * Fields are written in camelCase; lengths of time end in `Ms`. All faults of all files are reported together.
 */
import type {Result} from 'neverthrow';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {tryGetNearest} from '../process/edit-distance.js';
import {
	checkSchema, formatPath, parseToml, type SchemaFault, type TomlDocument, type TomlPath,
} from '../process/toml.js';
import type {LocateChange, SourceLocation} from './check.js';
import {deleteTableSchema, tableSchemas} from './schema.js';
import {formatObjectName} from './snapshot.js';
import {
	objectKinds, type Change, type ObjectKind, type ObjectName,
} from './types.js';

/** A file of objects. */
export type SourceFile = {
	readonly name: string;
	readonly text: string;
};

/** The changes that files ask for, and all that could not be read. */
export type ParsedFiles = {
	/** In order of files, of kinds as they first occur, and of lines. */
	readonly changes: readonly Change[];
	readonly diagnostics: readonly Diagnostic[];
	readonly locate: LocateChange;
	/** Whether something that could not be read may stand for this object; a reference to it is then no second fault. */
	readonly isUnreadable: (name: ObjectName) => boolean;
};

/** Reads the changes of all files. */
export function parseChangeFiles(files: readonly SourceFile[]): ParsedFiles {
	const contents = files.map(file => readFile(file));
	const fileFaults = contents.flatMap(content => content.faults);
	const outcomes = contents.flatMap(content => content.tables).map(table => readTable(table));
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
		diagnostics: [...fileFaults, ...outcomes.flatMap(({faults}) => faults)],
		locate(change, field) {
			const table = tables.get(change);
			return table === undefined ? undefined : getPlace(table, field === undefined ? [] : [field]);
		},
		isUnreadable: name => fileFaults.length > 0 || unreadable.has(formatObjectName(name)),
	};
}

type TableKind = ObjectKind | 'delete';

const tableKinds: ReadonlyMap<string, TableKind> = new Map([...objectKinds, 'delete' as const].map(kind => [kind, kind]));

type FileContent = {
	readonly tables: readonly Table[];
	readonly faults: readonly Diagnostic[];
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
	/** Undefined if the table cannot be read. */
	readonly change: Change | undefined;
	readonly faults: readonly Diagnostic[];
};

function readFile({name, text}: SourceFile): FileContent {
	return parseToml(text).match(
		document => readDocument(name, document),
		({message, line}) => ({tables: [], faults: [{...createDiagnostic(Diagnostics.Objects_are_not_toml, message), file: name, line}]}),
	);
}

function readDocument(file: string, document: TomlDocument): FileContent {
	const tables: Table[] = [];
	const faults: Diagnostic[] = [];
	for (const [key, list] of Object.entries(document.root)) {
		const kind = tableKinds.get(key);
		if (kind !== undefined && Array.isArray(list)) {
			tables.push(...list.map((value: unknown, index) => ({
				file, document, kind, index, value,
			})));
		} else {
			faults.push({...toKindDiagnostic(key), file, line: document.tryGetLine([key])});
		}
	}

	return {tables, faults};
}

function toKindDiagnostic(key: string): Diagnostic {
	return tableKinds.has(key)
		? createDiagnostic(Diagnostics.Kind_is_not_a_list, key)
		: createDiagnostic(Diagnostics.Kind_is_unknown, key, tryGetNearest(key, [...tableKinds.keys()]) ?? 'none');
}

/** Unknown fields alone do not keep a table from being read, so that its other faults are found as well. */
function readTable(table: Table): TableOutcome {
	return readChange(table, table.value).match(
		change => ({table, change, faults: []}),
		faults => ({
			table,
			change: faults.every(fault => fault.kind === 'unknown') ? readChange(table, omit(table.value, faults)).unwrapOr(undefined) : undefined,
			faults: toDiagnostics(faults, table),
		}),
	);
}

function readChange({kind}: Table, value: unknown): Result<Change, readonly SchemaFault[]> {
	return kind === 'delete'
		? checkSchema(deleteTableSchema, value).map(name => ({kind: 'delete', objectKind: name.kind, name: name.name}))
		: checkSchema(tableSchemas[kind], value).map(object => ({kind: 'put', object}));
}

function omit(value: unknown, faults: readonly SchemaFault[]): unknown {
	const keys = new Set(faults.map(fault => formatPath(fault.path)));
	return Object.fromEntries(Object.entries(value ?? {}).filter(([key]) => !keys.has(key)));
}

function toDiagnostics(faults: readonly SchemaFault[], table: Table): Diagnostic[] {
	return faults
		.map(fault => ({...toDiagnostic(fault, table), ...getPlace(table, fault.path)}))
		.toSorted((a, b) => (a.line ?? 0) - (b.line ?? 0));
}

function toDiagnostic(fault: SchemaFault, table: Table): Diagnostic {
	const subject = describeTable(table);
	const field = formatPath(fault.path);
	switch (fault.kind) {
		case 'unknown': {
			return createDiagnostic(Diagnostics.Field_is_unknown, subject, field, fault.nearest ?? 'none');
		}

		case 'missing': {
			return createDiagnostic(Diagnostics.Field_is_missing, subject, field);
		}

		case 'invalid': {
			return createDiagnostic(Diagnostics.Field_is_invalid, subject, field, fault.detail);
		}
	}
}

function getPlace({file, document, kind, index}: Table, path: TomlPath): SourceLocation {
	return {file, line: document.tryGetLine([kind, index, ...path])};
}

/** Names a table by its object if it has a name, and otherwise by its position, from 1. */
function describeTable({document, kind, index}: Table): string {
	const name = document.tryGetValue([kind, index, 'name']);
	return typeof name === 'string' ? `${kind} ${name}` : `${kind} no. ${index + 1}`;
}
