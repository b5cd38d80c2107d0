/**
 * `kingcuplane cancel TICKET`: cancels a submission and prints its answer.
 */
import {ok, safeTry} from 'neverthrow';
import {answerSchema, formatAnswer} from './answer.js';
import {callEntry} from './entry-call.js';
import {openEntry} from './options.js';
import type {Command} from './types.js';

/** Runs the command. It succeeds if the entry answers, even if the work had ended before. */
export const runCancel: Command = async (host, {args, options}) => safeTry(async function * () {
	const [ticket = ''] = args;
	const client = yield * openEntry(host, options);
	const answer = yield * callEntry(client, {method: 'DELETE', path: `/v1/submissions/${encodeURIComponent(ticket)}`}, answerSchema);
	for (const line of formatAnswer(answer)) {
		host.print(line);
	}

	return ok();
});
