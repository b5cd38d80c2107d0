/**
 * Reads what entries answer: a value in the expected form, or the refusal that the entry names.
 */
import {
	err, ok, type Result, type ResultAsync,
} from 'neverthrow';
import {z} from 'zod';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../diagnostics.js';
import type {EntryClient, EntryRequest, EntryResponse} from './types.js';

/** A diagnostic as entries send it. */
export const diagnosticSchema: z.ZodType<Diagnostic> = z.object({
	code: z.number(),
	kind: z.string(),
	message: z.string(),
	remedy: z.string(),
	file: z.string().optional(),
	line: z.number().optional(),
});

const refusalSchema = z.object({diagnostic: diagnosticSchema});

/** Calls an entry and reads a body of the form `schema`; a refusal becomes its diagnostic. */
export function callEntry<T>(client: EntryClient, req: EntryRequest, schema: z.ZodType<T>): ResultAsync<T, readonly Diagnostic[]> {
	return client.call(req)
		.mapErr((diagnostic): readonly Diagnostic[] => [diagnostic])
		.andThen(res => readResponse(res, req, schema));
}

function readResponse<T>(res: EntryResponse, req: EntryRequest, schema: z.ZodType<T>): Result<T, readonly Diagnostic[]> {
	const value = schema.safeParse(res.body);
	if (value.success) {
		return ok(value.data);
	}

	const refusal = refusalSchema.safeParse(res.body);
	return err([refusal.success
		? refusal.data.diagnostic
		: createDiagnostic(Diagnostics.Entry_answer_is_invalid, req.path, `status ${res.status}`)]);
}
