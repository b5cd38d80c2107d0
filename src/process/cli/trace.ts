/**
 * `kingcuplane trace TICKET`: prints the record of a submission, which any entry can return.
 */
import {err, ok, safeTry} from 'neverthrow';
import {z} from 'zod';
import {formatRecord, formatRecordReport} from '../../request/record-format.js';
import {fromRecordJson, fromRecordReportJson} from '../../request/record-json.js';
import {diagnosticSchema, callEntry} from './entry-call.js';
import {openEntry} from './options.js';
import type {Command} from './types.js';

/** Schema of a record or of a report about one. Rejects refusals, which alone have a diagnostic at the top level. */
const bodySchema = z.record(z.string(), z.unknown()).refine(body => !diagnosticSchema.safeParse(body.diagnostic).success);

/** Runs the command. */
export const runTrace: Command = async (host, {args, options}) => safeTry(async function * () {
	const [ticket = ''] = args;
	const client = yield * openEntry(host, options);
	const body = yield * callEntry(client, {method: 'GET', path: `/v1/submissions/${encodeURIComponent(ticket)}/fate`}, bodySchema);
	const lines = fromRecordReportJson(body)
		.map(report => formatRecordReport(report))
		.orElse(() => fromRecordJson(body).map(record => formatRecord(record)));
	if (lines.isErr()) {
		return err([lines.error]);
	}

	for (const line of lines.value) {
		host.print(line);
	}

	return ok();
});
