/**
 * Reads JSON that comes from outside the process.
 */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {checkSchema, formatPath, type SchemaFault} from './toml.js';

/** Parses JSON text and checks it against `schema`; the error names what is wrong. */
export function readJson<T>(schema: z.ZodType<T>, text: string): Result<T, string> {
	return parseJson(text).andThen(value => checkSchema(schema, value).mapErr(faults => faults.map(fault => formatFault(fault)).join(', ')));
}

function parseJson(text: string): Result<unknown, string> {
	try {
		return ok(JSON.parse(text));
	} catch (err_) {
		return err(err_ instanceof Error ? err_.message : String(err_));
	}
}

function formatFault(fault: SchemaFault): string {
	return `${formatPath(fault.path)} is ${fault.kind}`;
}
