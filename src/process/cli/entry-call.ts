/**
 * Calls entries and parses their responses: a value of the expected schema, or the diagnostic of a refusal.
 */
import {
	err, ok, type Result, type ResultAsync,
} from 'neverthrow';
import {z} from 'zod';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../diagnostics.js';
import type {EntryClient, EntryRequest, EntryResponse} from './types.js';

/** Schema of a diagnostic as entries send it. */
export const diagnosticSchema: z.ZodType<Diagnostic> = z.object({
	code: z.number(),
	kind: z.string(),
	message: z.string(),
	remedy: z.string(),
	file: z.string().optional(),
	line: z.number().optional(),
});

const refusalSchema = z.object({diagnostic: diagnosticSchema});

/** Calls an entry and parses the body of the response by `schema`. Fails with the entry's diagnostic if it refuses the request. */
export function callEntry<T>(client: EntryClient, req: EntryRequest, schema: z.ZodType<T>): ResultAsync<T, readonly Diagnostic[]> {
	return client.call(req)
		.mapErr((diagnostic): readonly Diagnostic[] => [diagnostic])
		.andThen(res => parseResponse(res, req, schema));
}

function parseResponse<T>(res: EntryResponse, req: EntryRequest, schema: z.ZodType<T>): Result<T, readonly Diagnostic[]> {
	const value = schema.safeParse(res.body);
	if (value.success) {
		return ok(value.data);
	}

	const refusal = refusalSchema.safeParse(res.body);
	return err([refusal.success
		? refusal.data.diagnostic
		: createDiagnostic(Diagnostics.Entry_answer_is_invalid, req.path, `status ${res.status}`)]);
}
