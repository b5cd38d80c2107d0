/**
 * Reads rows of the store that any process may have written. A row that cannot be read costs nothing but itself.
 */
import {err, ok} from 'neverthrow';
import type {z} from 'zod';
import {readJson} from './json.js';
import type {Log} from './log.js';
import type {TableRow} from './platform/types.js';

/** Returns the content of a row; undefined if it is invalid. */
export type RowReader<T> = (row: TableRow) => T | undefined;

/** Bound on the invalid rows that are remembered. */
const maxRemembered = 1000;

/**
 * Creates a reader that logs each revision of an invalid row once, however often the row is read. `tryGetFault` returns what is
 * wrong with content that fits the schema; undefined if nothing is.
 */
export function createRowReader<T>(schema: z.ZodType<T>, log: Pick<Log, 'warn'>, tryGetFault: (row: TableRow, content: T) => string | undefined = () => undefined): RowReader<T> {
	/** Revision of each row that was logged last, by key. */
	const logged = new Map<string, number>();

	return row => readJson(schema, row.value).andThen(content => {
		const fault = tryGetFault(row, content);
		return fault === undefined ? ok(content) : err(fault);
	}).match<T | undefined>(content => content, reason => {
		reportOnce(row, reason);
		return undefined;
	});

	function reportOnce({key, revision}: TableRow, reason: string): void {
		if (logged.get(key) === revision) {
			return;
		}

		if (logged.size >= maxRemembered) {
			logged.clear();
		}

		logged.set(key, revision);
		log.warn({row: key, revision, reason}, 'invalid row ignored');
	}
}
