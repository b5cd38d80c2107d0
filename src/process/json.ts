/**
 * Parses and validates JSON that comes from outside the process.
 */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {checkSchema, formatPath, type SchemaViolation} from './toml.js';

/** Longest description of what is wrong: input may have any number of violations, and names of any length. */
const maxReasonLength = 500;

/** Parses JSON text and validates it against `schema`. The error describes what is wrong. */
export function readJson<T>(schema: z.ZodType<T>, text: string): Result<T, string> {
	return parseJson(text).andThen(value => checkSchema(schema, value).mapErr(violations => formatViolations(violations)));
}

function parseJson(text: string): Result<unknown, string> {
	try {
		return ok(JSON.parse(text));
	} catch (err_) {
		return err(err_ instanceof Error ? err_.message : String(err_));
	}
}

function formatViolations(violations: readonly SchemaViolation[]): string {
	const text = violations.map(violation => formatViolation(violation)).join(', ');
	return text.length > maxReasonLength ? `${text.slice(0, maxReasonLength)}…` : text;
}

function formatViolation(violation: SchemaViolation): string {
	return `${formatPath(violation.path)} is ${violation.kind}`;
}
