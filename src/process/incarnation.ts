/**
 * Incarnations: names of single runs of a process. A restarted process is another incarnation.
 */
import {randomBytes} from 'node:crypto';

const randomLength = 10;

/** Creates a name that no other run of any process has. */
export function createIncarnation(): string {
	return BigInt(`0x${randomBytes(randomLength).toString('hex')}`).toString(36).padStart(16, '0');
}
