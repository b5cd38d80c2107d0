/**
 * The key of the hash in tickets, shared by all entries through one row of the platform's table service.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import type {TableStore} from './platform/types.js';

const keyRow = 'keys/ticket';
const keyBytes = 32;

/** Reads the key, creating it if no entry has yet; undefined if the platform does not answer. */
export async function tryLoadTicketKey(table: TableStore): Promise<Uint8Array | undefined> {
	const row = await table.get(keyRow);
	if (row.isErr()) {
		return undefined;
	}

	if (row.value !== undefined) {
		return Buffer.from(row.value.value, 'base64');
	}

	const key = randomBytes(keyBytes);
	const outcome = await table.commit({
		conditions: [{key: keyRow, revision: 0}],
		writes: [{key: keyRow, value: key.toString('base64')}],
	});
	// On a conflict or a lost answer the row holds the key that counts; the caller asks again.
	return outcome.isOk() && outcome.value.kind === 'committed' ? key : undefined;
}
