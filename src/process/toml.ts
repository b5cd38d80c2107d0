/**
 * Parses TOML text and validates it against a schema, with the line of every error.
 * Used for settings and for files of objects, which differ only in the diagnostics that they report.
 */
import {parse, TomlError} from 'smol-toml';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {checkDefined} from './debug.js';
import {tryGetNearest} from './edit-distance.js';

/** Keys and array indexes that lead from the root of a document to a value. */
export type TomlPath = ReadonlyArray<string | number>;

/** Parsed TOML text. */
export type TomlDocument = {
	readonly root: Readonly<Record<string, unknown>>;
	/** Returns the line of the value at `path`, or of its nearest parent with a line of its own. */
	tryGetLine(path: TomlPath): number | undefined;
	/** Returns the value at `path`; undefined if there is none. */
	tryGetValue(path: TomlPath): unknown;
};

/** A syntax error in TOML text. */
export type TomlSyntaxError = {
	readonly message: string;
	/** Line of the error, counted from 1. */
	readonly line: number;
};

/** One violation of a schema. */
export type SchemaViolation =
	| {readonly kind: 'unknown'; readonly path: TomlPath; readonly nearest: string | undefined}
	| {readonly kind: 'missing'; readonly path: TomlPath}
	| {readonly kind: 'invalid'; readonly path: TomlPath; readonly detail: string};

/** Parses TOML text. */
export function parseToml(text: string): Result<TomlDocument, TomlSyntaxError> {
	try {
		const root = parse(text);
		const lines = indexLines(text);
		return ok({root, tryGetLine: path => tryGetLine(lines, path), tryGetValue: path => tryGetValue(root, path)});
	} catch (err_) {
		if (err_ instanceof TomlError) {
			return err({message: getFirstLine(err_.message), line: err_.line});
		}

		throw err_;
	}
}

/** Validates `value` against `schema`. Returns the value with defaults filled in, or all violations of the schema. */
export function checkSchema<T>(schema: z.ZodType<T>, value: unknown): Result<T, readonly SchemaViolation[]> {
	const parsed = schema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err(parsed.error.issues.flatMap(issue => toViolations(schema, value, issue)));
}

/** Formats a path in the manner of TOML keys, for instance "entry.seeds[0]". */
export function formatPath(path: TomlPath): string {
	return path
		.map(part => typeof part === 'number' ? `[${part}]` : `.${part}`)
		.join('')
		.replace(/^\./v, '');
}

function getFirstLine(text: string): string {
	return text.split('\n')[0]!.replace(/^Invalid TOML document: /v, '');
}

function toViolations(schema: z.ZodType, value: unknown, issue: z.core.$ZodIssue): SchemaViolation[] {
	const path = issue.path.filter(part => typeof part !== 'symbol');
	if (issue.code === 'unrecognized_keys') {
		const known = getKnownKeys(schema, path);
		return issue.keys.map(key => ({kind: 'unknown', path: [...path, key], nearest: tryGetNearest(key, known)}));
	}

	if (issue.code === 'invalid_type' && tryGetValue(value, path) === undefined) {
		return [{kind: 'missing', path}];
	}

	return [{kind: 'invalid', path, detail: toDetail(issue.message)}];
}

function toDetail(message: string): string {
	const text = message.replace(/^Invalid (?:input|option): /v, '');
	return text.charAt(0).toLowerCase() + text.slice(1);
}

function tryGetValue(root: unknown, path: TomlPath): unknown {
	let value = root;
	for (const part of path) {
		value = isRecord(value) ? value[part] : undefined;
	}

	return value;
}

function isRecord(value: unknown): value is Record<string | number, unknown> {
	return typeof value === 'object' && Boolean(value);
}

function getKnownKeys(schema: z.core.$ZodType, path: TomlPath): string[] {
	let current = unwrap(schema);
	for (const part of path) {
		if (current instanceof z.core.$ZodObject && typeof part === 'string') {
			current = unwrap(checkDefined(getMembers(current).get(part), `the schema has the key ${part}`));
		} else if (current instanceof z.core.$ZodArray) {
			current = unwrap(current._zod.def.element);
		}
	}

	return current instanceof z.core.$ZodObject ? [...getMembers(current).keys()] : [];
}

function getMembers(schema: z.core.$ZodObject): ReadonlyMap<string, z.core.$ZodType> {
	return new Map(Object.entries(schema._zod.def.shape));
}

function unwrap(schema: z.core.$ZodType): z.core.$ZodType {
	if (schema instanceof z.core.$ZodPipe) {
		return unwrap(schema._zod.def.in);
	}

	return schema instanceof z.core.$ZodPrefault || schema instanceof z.core.$ZodDefault || schema instanceof z.core.$ZodOptional
		? unwrap(schema._zod.def.innerType)
		: schema;
}

type LineIndex = ReadonlyMap<string, number>;

/** Returns the lines of all tables and keys. Skips the text of multi-line strings. */
function indexLines(text: string): LineIndex {
	const lines = new Map<string, number>();
	const counts = new Map<string, number>();
	let table = '';
	let closingDelimiter: string | undefined;
	for (const [index, line] of text.split('\n').entries()) {
		if (closingDelimiter !== undefined) {
			closingDelimiter = line.includes(closingDelimiter) ? undefined : closingDelimiter;
			continue;
		}

		const [, array] = /^\s*\[\[\s*([\w\-.]+)\s*\]\]/v.exec(line) ?? [];
		const [, header] = /^\s*\[\s*([\w\-.]+)\s*\]/v.exec(line) ?? [];
		const [, key] = /^\s*([\w\-.]+)\s*=/v.exec(line) ?? [];
		if (array !== undefined) {
			const count = counts.get(array) ?? 0;
			counts.set(array, count + 1);
			table = `${array}[${count}]`;
			lines.set(table, index + 1);
		} else if (header !== undefined) {
			table = header;
			lines.set(table, index + 1);
		} else if (key !== undefined) {
			lines.set(table === '' ? key : `${table}.${key}`, index + 1);
			closingDelimiter = tryGetOpenDelimiter(line);
		}
	}

	return lines;
}

/** Returns the delimiter of a multi-line string that `line` opens but does not close; undefined if there is none. */
function tryGetOpenDelimiter(line: string): string | undefined {
	return ['"""', '\'\'\''].find(delimiter => line.split(delimiter).length % 2 === 0);
}

function tryGetLine(lines: LineIndex, path: TomlPath): number | undefined {
	for (let {length} = path; length > 0; length--) {
		const text = formatPath(path.slice(0, length));
		const line = lines.get(text) ?? lines.get(`${text}[0]`);
		if (line !== undefined) {
			return line;
		}
	}

	return undefined;
}
