/**
 * `kingcuplane trace TICKET`: tells what became of a submission, through any entry.
 */
import {err, ok, safeTry} from 'neverthrow';
import {z} from 'zod';
import {formatRecord, formatRecordReport} from '../../request/record-format.js';
import {fromRecordJson, fromRecordReportJson} from '../../request/record-json.js';
import {diagnosticSchema, callEntry} from './entry-call.js';
import {openEntry} from './options.js';
import type {Command} from './types.js';

/** A record, a report about one, or a refusal, which alone has a diagnostic at the top. */
const bodySchema = z.record(z.string(), z.unknown()).refine(body => !diagnosticSchema.safeParse(body.diagnostic).success);

/** Runs the command. */
export const runTrace: Command = async (host, {args, options}) => safeTry(async function * () {
	const [ticket = ''] = args;
	const client = yield * openEntry(host, options);
	const body = yield * callEntry(client, {method: 'GET', path: `/v1/submissions/${encodeURIComponent(ticket)}/fate`}, bodySchema);
	const lines = fromRecordReportJson(body)
		.map(report => formatRecordReport(report))
		.orElse(() => fromRecordJson(body).map(fate => formatRecord(fate)));
	if (lines.isErr()) {
		return err([lines.error]);
	}

	for (const line of lines.value) {
		host.print(line);
	}

	return ok();
});
