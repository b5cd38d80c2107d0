/**
 * Schema and output format of the answers that entries give to submissions.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {formatDiagnostic} from '../diagnostics.js';
import {diagnosticSchema} from './entry-call.js';

/** Schema of the body of an answer. */
export const answerSchema = z.object({
	ticket: z.string().optional(),
	state: z.enum(['complete', 'failed', 'refused', 'running']),
	ran: z.enum(['not-run', 'ran', 'may-have-run']),
	tasks: z.array(z.object({payload: z.string()})).optional(),
	diagnostic: diagnosticSchema.optional(),
	retryAfterMs: z.number().optional(),
});

/** One answer. */
export type AnswerJson = z.infer<typeof answerSchema>;

/** Formats an answer: its state, whether the work ran, each task's payload as text, and the reason for a failure. */
export function formatAnswer(answer: AnswerJson): readonly string[] {
	const payloads = answer.tasks ?? [];
	return [
		`${answer.state} (${answer.ran})`,
		...payloads.map(({payload}, index) => `task ${index}: ${Buffer.from(payload, 'base64').toString()}`),
		...(answer.diagnostic === undefined ? [] : [formatDiagnostic(answer.diagnostic)]),
		...(answer.retryAfterMs === undefined ? [] : [`Come back after ${answer.retryAfterMs} ms.`]),
	];
}
