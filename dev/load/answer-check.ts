/**
 * Checks whether an answer is complete and belongs to its submission.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {EntryAnswer} from './entry-client.js';

/**
 * The result of a check:
 *
 * - `right`: no fault was found.
 * - `partial`: a complete answer lacks the answers of some tasks.
 * - `crossed`: the answer of a task belongs to another task, or its payload was changed.
 * - `contradicted`: the answer contradicts an earlier answer to the same ticket.
 */
export type AnswerVerdict = 'right' | 'partial' | 'crossed' | 'contradicted';

/** Kind of the diagnostic of a complete answer whose payloads are no longer retained. */
const payloadsDroppedKind = 'AnswerNoLongerKept';

const echoSchema = z.object({task: z.string(), payload: z.string()});

/** Checks a final answer. `sent` are the payloads in base64; `earlier` is another final answer to the same ticket. */
export function checkAnswer(ticket: string, sent: readonly string[], answer: EntryAnswer, earlier?: EntryAnswer): AnswerVerdict {
	if (earlier !== undefined && contradicts(earlier, answer)) {
		return 'contradicted';
	}

	if (answer.state !== 'complete' || answer.diagnostic?.kind === payloadsDroppedKind) {
		return 'right';
	}

	if (answer.tasks?.length !== sent.length) {
		return 'partial';
	}

	return answer.tasks.every(({payload}, index) => isEchoOf(payload, `${ticket}/${index}`, sent[index])) ? 'right' : 'crossed';
}

/** Whether an answer is final: complete, failed, or refused without having run. */
export function isFinal({state, ran}: EntryAnswer): boolean {
	return state === 'complete' || state === 'failed' || (state === 'refused' && ran === 'not-run');
}

/** A refused submission may be accepted when it is sent again; any other answer must not change. */
function contradicts(earlier: EntryAnswer, later: EntryAnswer): boolean {
	return earlier.state !== 'refused' && (earlier.state !== later.state || earlier.ran !== later.ran);
}

function isEchoOf(answered: string, task: string, sent: string | undefined): boolean {
	try {
		const echo = echoSchema.parse(JSON.parse(Buffer.from(answered, 'base64').toString()));
		return echo.task === task && echo.payload === sent;
	} catch {
		return false;
	}
}
