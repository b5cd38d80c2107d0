/**
 * `kingcuplane submit SUBMISSION`: submits a job, waits for its answer and prints it.
 * The ticket is printed first; `--ticket` submits the same job again under that ticket, and it never runs twice.
 */
import {Buffer} from 'node:buffer';
import {
	err, ok, okAsync, safeTry, type Result, type ResultAsync,
} from 'neverthrow';
import {z} from 'zod';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../diagnostics.js';
import {answerSchema, formatAnswer, type AnswerJson} from './answer.js';
import {callEntry} from './entry-call.js';
import {
	getList, openEntry, tryGetCount, tryGetText,
} from './options.js';
import type {
	CliHost, Command, EntryClient, Options,
} from './types.js';

const ticketsSchema = z.object({tickets: z.array(z.string()).min(1)});
const pollWaitMs = 30_000;

/** Runs the command. */
export const runSubmit: Command = async (host, {args, options}) => safeTry(async function * () {
	const [submission = ''] = args;
	const client = yield * openEntry(host, options);
	const payloads = yield * readPayloads(host, options);
	const deadlineMs = yield * tryGetCount(host, options, 'deadline');
	const ticket = yield * getTicket(host, client, options);
	host.print(`ticket ${ticket}`);
	const body = {
		ticket,
		submission,
		reference: tryGetText(host, options, 'reference') ?? '',
		deadlineMs,
		tasks: payloads.map(payload => ({payload: Buffer.from(payload).toString('base64')})),
		wait: true,
	};
	let answer: AnswerJson = yield * callEntry(client, {method: 'POST', path: '/v1/submissions', body}, answerSchema);
	while (answer.state === 'running') {
		answer = yield * callEntry(client, {method: 'GET', path: `/v1/submissions/${ticket}?waitMs=${pollWaitMs}`}, answerSchema);
	}

	return printAnswer(host, answer);
});

/** Prints a final answer; the command fails unless the answer is complete. */
export function printAnswer(host: CliHost, answer: AnswerJson): Result<void, readonly Diagnostic[]> {
	for (const line of formatAnswer(answer)) {
		host.print(line);
	}

	return answer.state === 'complete' ? ok() : err([]);
}

function getTicket(host: CliHost, client: EntryClient, options: Options): ResultAsync<string, readonly Diagnostic[]> {
	const ticket = tryGetText(host, options, 'ticket');
	return ticket === undefined
		? callEntry(client, {method: 'POST', path: '/v1/tickets', body: {count: 1}}, ticketsSchema).map(({tickets}) => tickets[0]!)
		: okAsync(ticket);
}

/** Returns one payload for each --payload option and one for each line of the file that --payloads names. */
function readPayloads(host: CliHost, options: Options): Result<readonly string[], readonly Diagnostic[]> {
	const optionPayloads = getList(options, 'payload');
	const file = tryGetText(host, options, 'payloads');
	const read = file === undefined ? ok<readonly string[], Diagnostic>([]) : host.readFile(file).map(text => text.split('\n').filter(line => line !== ''));
	return read
		.mapErr((diagnostic): readonly Diagnostic[] => [diagnostic])
		.map(lines => [...optionPayloads, ...lines])
		.andThen(all => all.length === 0 ? err([createDiagnostic(Diagnostics.Option_is_missing, 'payload', ' or --payloads FILE')]) : ok(all));
}
