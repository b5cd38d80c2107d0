/**
 * Checks whether an answer is whole and belongs to the submission that it was given for.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {EntryAnswer} from './entry-client.js';

/**
 * - `right`: nothing to object to.
 * - `partial`: a complete answer lacks tasks.
 * - `crossed`: a task's answer belongs to another task, or its payload was changed.
 * - `contradicted`: an earlier answer under the same ticket said something else.
 */
export type AnswerVerdict = 'right' | 'partial' | 'crossed' | 'contradicted';

/** Kind of the diagnostic of a complete answer whose payloads are no longer kept. */
const payloadsDroppedKind = 'AnswerNoLongerKept';

const echoSchema = z.object({task: z.string(), payload: z.string()});

/** Judges one final answer. `sent` are the payloads in base64; `earlier` is another final answer to the same ticket. */
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

/** Whether an answer settles the submission: it can be complete, failed, or refused without having run. */
export function isFinal({state, ran}: EntryAnswer): boolean {
	return state === 'complete' || state === 'failed' || (state === 'refused' && ran === 'not-run');
}

/** Work that was refused may be accepted when it is sent again; all else has to stay as it was said. */
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
